import {describe, expect, test} from 'vitest';
import {measureDecision} from '../../../tools/harness/decision-time.js';
import {createRandom} from '../../../tools/measure/random.js';
import {
	allocateToUrgencies, computeFairLevel, createAdmission, createFairShares, createRetrySchedule, createRouteTimes, type AdmissionRequest,
} from '../mod.js';
import type {PeerRoom} from './peer-room.js';

const noPeers: PeerRoom = {total: 0, withRoom: 0};

/** Creates an admission control with a limit of 20 running requests and nothing running. */
function createFixture(peers: PeerRoom = noPeers) {
	const state = {nowMs: 0, peers};
	const admission = createAdmission({
		clock: {now: () => state.nowMs}, countPeers: () => state.peers, findShortestObjective: () => 400, onChange: () => undefined,
	});
	const leaves = Array.from({length: 24}, () => admission.admit({
		priority: 0, customer: undefined, route: 'warm-up', timeoutMs: 4000, elapsedMs: 0,
	}).val as () => void);
	admission.recordLag(300);
	admission.recordLag(300);
	for (const leave of leaves) {
		leave();
	}

	state.nowMs += 30_000;
	return {state, admission};
}

/** One caller, who tries at most twice. */
type Caller = {
	readonly customer: string;
	readonly priority: number;
	readonly isLarge: boolean;
	readonly deadline: number;
	attempts: number;
	isServed: boolean;
	retryAfterMs?: number;
	returnedAt?: number;
};

const stepMs = 1;
const timeoutMs = 4000;
const heavyCustomer = 'customer-0';
const customers = Array.from({length: 10}, (_, index) => `customer-${index}`);

type LoadOptions = {
	readonly seed: number;
	/** Requests per second of each customer but the first, which sends ten times as many. */
	readonly requestsPerSecond: number;
	readonly durationMs?: number;
	/** Priorities, each sent equally often. */
	readonly priorities?: readonly number[];
	/** Probability that a retry reaches this gateway again. */
	readonly returnShare?: number;
	readonly peers?: PeerRoom;
};

/** Runs a load on one gateway whose requests take 100 to 300 ms, large ones three times as long. */
function simulateLoad({seed, requestsPerSecond, durationMs = 20_000, priorities = [0, 1, 2], returnShare = 1, peers}: LoadOptions) {
	const {state, admission} = createFixture(peers);
	const random = createRandom(seed);
	const callers: Caller[] = [];
	const pending: Array<{readonly at: number; readonly run: () => void}> = [];
	const startedAt = state.nowMs;

	function attempt(caller: Caller): void {
		caller.attempts += 1;
		const remainingMs = caller.deadline - state.nowMs;
		const entered = admission.admit({
			priority: caller.priority, customer: caller.customer, route: `route-${caller.priority}`, timeoutMs: remainingMs, elapsedMs: 0,
		});
		if (entered.ok) {
			caller.isServed = true;
			pending.push({at: state.nowMs + ((100 + (200 * random())) * (caller.isLarge ? 3 : 1)), run: entered.val});
		} else if (caller.attempts < 2) {
			const {retryAfterMs} = entered.val;
			caller.retryAfterMs = retryAfterMs;
			if (random() < returnShare) {
				pending.push({
					at: state.nowMs + retryAfterMs!, run() {
						caller.returnedAt = state.nowMs - startedAt;
						attempt(caller);
					},
				});
			}
		}
	}

	while (state.nowMs < startedAt + durationMs) {
		for (const customer of customers) {
			const rate = requestsPerSecond * (customer === heavyCustomer ? 10 : 1);
			if (random() < rate * stepMs / 1000) {
				const caller: Caller = {
					customer, priority: priorities[Math.floor(random() * priorities.length)]!, isLarge: random() < 0.2, deadline: state.nowMs + timeoutMs, attempts: 0, isServed: false,
				};
				callers.push(caller);
				attempt(caller);
			}
		}

		state.nowMs += stepMs;
		for (const {run} of pending.filter(({at}) => at <= state.nowMs)) {
			run();
		}

		pending.splice(0, pending.length, ...pending.filter(({at}) => at > state.nowMs));
	}

	return {callers, admission};
}

function computeServedShare(callers: readonly Caller[]): number {
	return callers.filter(({isServed}) => isServed).length / callers.length;
}

function countServed(callers: readonly Caller[], customer: string): number {
	return callers.filter(caller => caller.customer === customer && caller.isServed).length;
}

function findKind(callers: readonly Caller[], priority: number): Caller[] {
	return callers.filter(caller => caller.priority === priority);
}

describe.each([1, 2, 3])('twice as many requests as a gateway can run, seed %i', seed => {
	const {callers, admission} = simulateLoad({seed, requestsPerSecond: 8});
	const heavy = callers.filter(({customer}) => customer === heavyCustomer);

	// Guards against fairness that is paid for with idle room: 71 requests a second fit, and 152 come.
	test('the room is used', () => {
		expect(callers.filter(({isServed}) => isServed).length / 20).toBeGreaterThan(71 * 0.9);
	});

	// Guards against urgent requests that take everything, and against all urgencies being refused alike.
	test('more urgent requests are served first, and no kind is starved', () => {
		const mean = computeServedShare(callers);
		const shares = [0, 1, 2].map(priority => computeServedShare(findKind(callers, priority)));
		expect(shares[0]).toBeGreaterThan(0.8);
		expect(Math.min(...shares)).toBeGreaterThan(mean / 4);
		expect(shares[0]).toBeGreaterThan(Math.max(shares[1]!, shares[2]!) * 2);
	});

	// Guards against a customer that is served ten times as often because it asks ten times as often.
	test('customers of equal urgency are served equally often', () => {
		for (const priority of [1, 2]) {
			const kind = findKind(callers, priority);
			const counts = customers.map(customer => countServed(kind, customer));
			const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
			expect(Math.min(...counts)).toBeGreaterThan(mean * 0.75);
			expect(Math.max(...counts)).toBeLessThan(mean * 1.6);
		}
	});

	// Guards against refusals of customers that ask for less than an equal share.
	test('urgent requests of customers below their share are served', () => {
		const light = findKind(callers, 0).filter(({customer}) => customer !== heavyCustomer);
		expect(computeServedShare(light)).toBeGreaterThan(0.95);
	});

	// Guards against callers that lose both attempts to callers who have a second one left.
	test('returning callers are served before new ones of their customer', () => {
		for (const priority of [1, 2]) {
			const kind = findKind(heavy, priority);
			const returned = kind.filter(({returnedAt}) => returnedAt !== undefined);
			const firstServed = kind.filter(({attempts, isServed}) => attempts === 1 && isServed).length;
			expect(computeServedShare(returned)).toBeGreaterThan(firstServed / kind.length);
		}
	});

	// Guards against an admission that favours requests that end sooner.
	test('large requests are served as often as small ones of their customer', () => {
		const large = computeServedShare(heavy.filter(({isLarge}) => isLarge));
		const small = computeServedShare(heavy.filter(({isLarge}) => !isLarge));
		expect(large).toBeGreaterThan(small * 0.7);
	});

	// Guards against callers that return as a herd, and against times that callers ignore.
	test('returns are spread, in times that callers honour', () => {
		const refused = callers.filter(({retryAfterMs}) => retryAfterMs !== undefined);
		const waits = refused.map(({retryAfterMs}) => retryAfterMs!);
		expect(Math.min(...waits)).toBeGreaterThanOrEqual(50);
		expect(Math.max(...waits)).toBeLessThanOrEqual(timeoutMs / 3);
		const returns = Array.from({length: 200}, () => 0);
		for (const {returnedAt} of callers) {
			if (returnedAt !== undefined) {
				returns[Math.min(199, Math.floor(returnedAt / 100))]! += 1;
			}
		}

		const mean = returns.reduce((sum, count) => sum + count, 0) / returns.length;
		expect(Math.max(...returns)).toBeLessThan(mean * 2.5);
	});

	test('refusals are counted by reason', () => {
		const counts = new Map(admission.listRefusals().map(({reason, count}) => [reason, count]));
		expect(counts.get('over-share')).toBeGreaterThan(counts.get('full')!);
	});
});

// Guards against retry-after times by the load of this gateway when the retry reaches another one.
test('callers return soon while most other gateways have room', () => {
	const {callers} = simulateLoad({
		seed: 4, requestsPerSecond: 8, durationMs: 5000, returnShare: 0, peers: {total: 23, withRoom: 20},
	});
	const waits = callers.flatMap(({retryAfterMs}) => retryAfterMs === undefined ? [] : [retryAfterMs]);
	expect(Math.min(...waits)).toBeGreaterThanOrEqual(50);
	expect(Math.max(...waits)).toBeLessThanOrEqual(200);
	expect(new Set(waits).size).toBeGreaterThan(100);
});

const request: AdmissionRequest = {
	priority: 1, customer: 'c', route: 'r', timeoutMs, elapsedMs: 0,
};

// Guards against a limit by customer or urgency at a gateway that is not overloaded.
test('without a limit everything is admitted', () => {
	const admission = createAdmission({
		clock: {now: () => 0}, countPeers: () => noPeers, findShortestObjective: () => 400, onChange: () => undefined,
	});
	const results = Array.from({length: 1000}, (_, index) => admission.admit({...request, priority: index % 3, timeoutMs: timeoutMs - (index % 2 * 2000)}));
	expect(results.every(({ok}) => ok)).toBe(true);
});

// Guards against a first second of one urgency that leaves nothing to the others until its long requests end.
test('a burst of urgent requests leaves room within a second', () => {
	const {state, admission} = createFixture();
	const leaves: Array<{readonly at: number; readonly leave: () => void}> = [];
	let servedLeastUrgent = 0;
	for (let tick = 0; tick < 2000; tick++) {
		state.nowMs += 1;
		for (const {leave} of leaves.filter(({at}) => at === state.nowMs)) {
			leave();
		}

		for (const priority of tick % 40 === 0 ? [0, 0, 0, 0, 0, 0, 0, 0, 0, 2] : [0]) {
			const entered = admission.admit({...request, priority, customer: `customer-${tick % 10}`});
			if (entered.ok) {
				leaves.push({at: state.nowMs + 200, leave: entered.val});
				servedLeastUrgent += priority === 2 && tick >= 1000 ? 1 : 0;
			}
		}
	}

	expect(servedLeastUrgent).toBeGreaterThan(0);
});

// Guards against retries that run although no answer can arrive in time, and against first attempts refused by ends of others that timed out.
test('a retry with less time than any recent request took is refused at once', () => {
	const {state, admission} = createFixture();
	const times = createRouteTimes({clock: {now: () => state.nowMs}});
	times.recordArrival('r', timeoutMs);
	for (let index = 0; index < 16; index++) {
		times.recordEnd('r', 1000);
	}

	expect([times.isTooLate('r', 900), times.isTooLate('r', 1100), times.isTooLate('other', 900)]).toEqual([true, false, false]);
	state.nowMs += 5001;
	expect(times.isTooLate('r', 900)).toBe(false);

	for (let index = 0; index < 16; index++) {
		const entered = admission.admit(request);
		state.nowMs += 300;
		(entered.val as () => void)();
	}

	Array.from({length: 4}, () => admission.admit(request));
	const retry = {...request, timeoutMs: 200};
	expect([admission.admit(retry).ok, admission.admit({...retry, timeoutMs: 400}).ok, admission.admit(request).ok]).toEqual([false, true, true]);
	expect(admission.listRefusals()).toContainEqual({reason: 'too-late', count: 1});
});

test('a request with clearly less time than the longest of its route is a retry', () => {
	const times = createRouteTimes({clock: {now: () => 0}});
	expect([4000, 3990, 3800, 4000].map(waitMs => times.recordArrival('r', waitMs))).toEqual([false, false, true, false]);
	expect(times.recordArrival('other', 1500)).toBe(false);
});

// Guards against refusals of a customer below its share in favour of one above it.
test('capacity is divided by max-min fairness and every urgency keeps a part', () => {
	expect(computeFairLevel([1, 10, 10], 11)).toBe(5);
	expect(computeFairLevel([1, 2, 3], 6)).toBe(Number.POSITIVE_INFINITY);
	expect(computeFairLevel([], 6)).toBe(Number.POSITIVE_INFINITY);
	expect(allocateToUrgencies([10, 10], 10)).toEqual([7.5, 2.5]);
	expect(allocateToUrgencies([100, 0, 1], 10).map(part => Math.round(part * 1000) / 1000)).toEqual([9.95, 0, 0.05]);
	expect(allocateToUrgencies([2, 3], 10)).toEqual([2, 3]);
});

// Guards against one time for all refused callers.
test('refused callers are given times in order, spaced by the rate of ends', () => {
	const state = {nowMs: 0};
	const schedule = createRetrySchedule({clock: {now: () => state.nowMs}, countPeers: () => ({total: 2, withRoom: 1})});
	for (let index = 0; index < 1000; index++) {
		state.nowMs += 20;
		schedule.recordEnd();
	}

	const waits = Array.from({length: 20}, () => schedule.scheduleReturn({remainingMs: 3000, mayReturn: true, endsNeeded: 1}));
	expect(waits[0]).toBe(50);
	for (const [index, wait] of waits.slice(1).entries()) {
		expect(Math.abs(wait - waits[index]! - 20)).toBeLessThanOrEqual(2);
	}
});

describe('failures', () => {
	// Guards against a clock that stands still or jumps back, which must neither stop admission nor give times far ahead.
	test.each([0, -1, -10_000, -100_000_000])('a clock that changes by %i ms at each request', stepOfClockMs => {
		const {state, admission} = createFixture();
		const leaves: Array<() => void> = [];
		let served = 0;
		for (let index = 0; index < 5000; index++) {
			state.nowMs += stepOfClockMs;
			const entered = admission.admit({...request, customer: `customer-${index % 10}`, priority: index % 3});
			if (entered.ok) {
				served += 1;
				leaves.push(entered.val);
			} else {
				const {retryAfterMs} = entered.val;
				expect(retryAfterMs).toBeGreaterThanOrEqual(50);
				expect(retryAfterMs).toBeLessThanOrEqual(timeoutMs / 3);
			}

			if (index % 2 === 0) {
				leaves.shift()?.();
			}
		}

		expect(served).toBeGreaterThan(2000);
	});

	// Guards against an order of returns that stays ahead after the clock has jumped back.
	test('the order of returns starts again after a jump of the clock', () => {
		const state = {nowMs: 1_000_000};
		const schedule = createRetrySchedule({clock: {now: () => state.nowMs}, countPeers: () => noPeers});
		const refused = {remainingMs: 15_000, mayReturn: true, endsNeeded: 1};
		schedule.scheduleReturn(refused);
		state.nowMs = 0;
		expect(schedule.scheduleReturn(refused)).toBe(1000);
	});

	// Guards against memory that grows with customers and routes, and against decisions that slow down with them.
	test('thousands of distinct customers and routes', () => {
		const clock = {nowMs: 0, now: () => clock.nowMs};
		const shares = createFairShares({clock});
		const times = createRouteTimes({clock});
		for (let index = 0; index < 20_000; index++) {
			clock.nowMs += index % 3;
			shares.recordDemand({priority: index % 100, customer: `customer-${index}`, isRetry: false}, 1);
			shares.recordAdmitted({priority: index % 100, customer: `customer-${index}`, isRetry: false});
			times.recordArrival(`route-${index}`, timeoutMs);
		}

		expect(shares.countTracked()).toBeLessThanOrEqual(8 * 64);
		expect(times.countTracked()).toBeLessThanOrEqual(64);
		clock.nowMs += 100_000;
		shares.recordDemand({priority: 0, customer: 'c', isRetry: false}, 1);
		expect(shares.countTracked()).toBe(1);
	});

	/** Sends one request per millisecond to a gateway whose requests take 200 ms; returns how many of each customer were served. */
	function countServedOf({state, admission}: ReturnType<typeof createFixture>, durationMs: number, getCustomer: (tick: number) => string): Map<string, number> {
		const running: Array<{readonly at: number; readonly leave: () => void}> = [];
		const served = new Map<string, number>();
		for (let tick = 0; tick < durationMs; tick++) {
			state.nowMs += 1;
			while (running.length > 0 && running[0]!.at <= state.nowMs) {
				running.shift()!.leave();
			}

			const customer = getCustomer(tick);
			const entered = admission.admit({...request, customer});
			if (entered.ok) {
				running.push({at: state.nowMs + 200, leave: entered.val});
				served.set(customer, (served.get(customer) ?? 0) + 1);
			}
		}

		for (const {leave} of running) {
			leave();
		}

		return served;
	}

	// Guards against a customer that uses more than its share by the order in which others are evicted.
	test('a customer that sends half of all requests does not get half among thousands of distinct ones', () => {
		const served = countServedOf(createFixture(), 10_000, tick => tick % 2 === 0 ? 'heavy' : `customer-${tick}`);
		const total = [...served.values()].reduce((sum, count) => sum + count, 0);
		expect(served.get('heavy')).toBeLessThan(total / 2);
		expect(total).toBeGreaterThan(800);
	});

	// Guards against shares kept for customers that no longer exist.
	test('the shares of customers that were removed go to the others within seconds', () => {
		const fixture = createFixture();
		const random = createRandom(1);
		const send = (ids: readonly string[], durationMs: number) => countServedOf(fixture, durationMs, () => ids[Math.floor(random() * ids.length)]!);
		send(['a', 'b', 'c', 'd', 'e'], 10_000);
		send(['a', 'x', 'y'], 4000);
		const counts = [...send(['a', 'x', 'y'], 10_000).values()];
		expect(counts.reduce((sum, count) => sum + count, 0)).toBeGreaterThan(800);
		expect(Math.min(...counts)).toBeGreaterThan(Math.max(...counts) * 0.8);
	});
});

// Guards against a decision that costs a noticeable part of a request at a gateway whose processor is already full.
test('a decision takes less than 50 microseconds with 24 customers and three urgencies', () => {
	const clock = {nowMs: 0, now: () => clock.nowMs};
	const shares = createFairShares({clock});
	const times = createRouteTimes({clock});
	const schedule = createRetrySchedule({clock, countPeers: () => ({total: 90, withRoom: 40})});
	const {p99Ms} = measureDecision(index => {
		clock.nowMs += 1;
		const isRetry = times.recordArrival('r', index % 2 === 0 ? 4000 : 3000);
		const shareRequest = {priority: index % 3, customer: `customer-${index % 24}`, isRetry};
		shares.recordDemand(shareRequest, 0.9);
		const isWithinShare = !times.isTooLate('r', 3000) && shares.computeStanding(shareRequest).isWithinShare;
		if (isWithinShare && index % 3 === 0) {
			shares.recordAdmitted(shareRequest);
			schedule.recordEnd();
			times.recordEnd('r', 200);
		} else {
			schedule.scheduleReturn({remainingMs: 3000, mayReturn: true, endsNeeded: 1});
		}
	});
	expect(p99Ms).toBeLessThan(0.05);
});
