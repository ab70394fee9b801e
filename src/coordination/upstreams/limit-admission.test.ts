import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createUpstreamLimits} from '../../state/mod.js';
import {createLimitAdmission} from './limit-admission.js';
import {SubstitutedShare, UnlimitedShare, type SharePolicy} from './share-policy.js';

const upstream = 'u';
const windowMs = 4000;
/** Time from the first naming of a limit until it must be kept. */
const settleMs = 3000;
/** Time from an answer that names a limit until its gateway must know it. */
const toldMs = 500;
const namedFrom = 6000;
const namedUntil = 26_000;
const endsAt = 46_000;
const announcementIntervalMs = 500;

/** How one gateway behaves; times in milliseconds. */
const gatewayArbitrary = fc.record({
	attemptIntervalMs: fc.integer({min: 20, max: 4000}),
	offsetMs: fc.nat(4000),
	answerMs: fc.integer({min: 1, max: 1500}),
	/** Delay of its announcements on their way to the others. */
	gossipMs: fc.integer({min: 10, max: 2000}),
	isGossipLost: fc.boolean(),
	/** Others know the gateway only from this time on. */
	knownFrom: fc.constantFrom(0, 0, 0, 9000, 13_000),
});

type SimulatedGateway = typeof gatewayArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** When a request reached the upstream, and when its gateway had first been told of a limit. */
type Arrival = {readonly at: number; readonly toldAt: number};

type PlayOptions = {readonly requestsPerSecond: number; readonly policy?: SharePolicy};

/** Runs steps in order of time, also those that are added meanwhile. */
function createTimeline() {
	const steps: Array<Array<() => void> | undefined> = [];
	const state = {now: 0};
	return {
		state,
		add(at: number, run: () => void): void {
			(steps[at] ??= []).push(run);
		},
		run(): void {
			for (state.now = 0; state.now < steps.length; state.now += 1) {
				for (const step of steps[state.now] ?? []) {
					step();
				}
			}
		},
	};
}

/** Plays gateways that send to one upstream, which names a limit for some time. */
function play(gateways: readonly SimulatedGateway[], {requestsPerSecond, policy = new SubstitutedShare()}: PlayOptions) {
	const {state, add, run} = createTimeline();
	const clock = {now: () => state.now, sleep: async () => undefined};
	const arrivals: Arrival[] = [];
	const members = gateways.map((gateway, index) => {
		const limits = createUpstreamLimits();
		const listGateways = () => gateways.flatMap(({knownFrom}, other) => other === index || knownFrom <= state.now ? [`g${other}`] : []);
		return {
			...gateway, limits, toldAt: Number.POSITIVE_INFINITY,
			admission: createLimitAdmission({
				clock, processStartedAt: 0, daemon: `g${index}`, policy, limits, listGateways,
			}),
		};
	});
	type Member = typeof members[number];

	function receiveAnswer(member: Member, {sentAt, isNamed}: {readonly sentAt: number; readonly isNamed: boolean}): void {
		if (isNamed) {
			member.toldAt = Math.min(member.toldAt, state.now);
			member.limits.recordNamed(upstream, {requestsPerSecond, now: state.now});
		} else {
			member.limits.recordUnnamed(upstream, sentAt);
		}
	}

	function sendRequest(member: Member): void {
		if (member.admission.computeWaitMs(upstream) > 0) {
			return;
		}

		const sentAt = state.now;
		const isNamed = sentAt >= namedFrom && sentAt < namedUntil;
		member.admission.recordSend(upstream);
		arrivals.push({at: sentAt, toldAt: member.toldAt});
		add(sentAt + member.answerMs, () => {
			receiveAnswer(member, {sentAt, isNamed});
		});
	}

	function announce(member: Member): void {
		const announcements = member.limits.listAnnouncements(state.now);
		add(state.now + member.gossipMs, () => {
			for (const other of members.filter(candidate => candidate !== member)) {
				for (const announcement of announcements) {
					other.limits.merge(announcement, state.now);
				}
			}
		});
	}

	for (const member of members) {
		for (let at = Math.max(member.offsetMs, member.knownFrom); at < endsAt; at += member.attemptIntervalMs) {
			add(at, () => {
				sendRequest(member);
			});
		}

		for (let at = 0; at < endsAt && !member.isGossipLost; at += announcementIntervalMs) {
			add(at, () => {
				announce(member);
			});
		}
	}

	run();
	return {arrivals, members};
}

function countMaxInWindow(arrivals: readonly Arrival[]): number {
	const counted = arrivals.filter(({at, toldAt}) => at >= namedFrom + settleMs && at < namedUntil && at >= toldAt + toldMs);
	return Math.max(0, ...counted.map(({at: start}) => counted.filter(({at}) => at >= start && at < start + windowMs).length));
}

function createGateway(overrides: Partial<SimulatedGateway> = {}): SimulatedGateway {
	return {
		attemptIntervalMs: 100, offsetMs: 0, answerMs: 50, gossipMs: 100, isGossipLost: false, knownFrom: 0, ...overrides,
	};
}

const runCount = Number(process.env.FIREFLYLANE_SOAK_SEEDS ?? 60);

test('an upstream that named a limit gets no more than allowed in any interleaving of sends, answers and announcements', () => {
	// Guards against pressing on an upstream in need, by gateways that learn of its limit one after the other.
	fc.assert(fc.property(fc.array(gatewayArbitrary, {minLength: 1, maxLength: 31}), fc.constantFrom(0, 0.5, 1, 2.5, 8), (gateways, requestsPerSecond) => {
		const {arrivals} = play(gateways, {requestsPerSecond});
		expect(countMaxInWindow(arrivals)).toBeLessThanOrEqual((requestsPerSecond * 1.5 * (windowMs / 1000)) + 5);
	}), {numRuns: runCount, endOnFailure: true});
});

test('without shares the same gateways exceed the limit', () => {
	const {arrivals} = play(Array.from({length: 4}, () => createGateway()), {requestsPerSecond: 1, policy: new UnlimitedShare()});
	expect(countMaxInWindow(arrivals)).toBeGreaterThan(11);
});

test.each([1, 4, 8, 27])('with %i gateways a limited upstream gets what it takes', gatewayCount => {
	const {arrivals} = play(Array.from({length: gatewayCount}, () => createGateway()), {requestsPerSecond: 2});
	const served = arrivals.filter(({at}) => at >= 10_000 && at < namedUntil).length / ((namedUntil - 10_000) / 1000);
	expect(served).toBeGreaterThan(1.5);
	expect(served).toBeLessThanOrEqual(2);
});

test('all gateways know of the end of a limit within seconds, also those that own no share', () => {
	// Guards against a limit that stays in force at gateways that no longer send to the upstream.
	const {members} = play(Array.from({length: 27}, () => createGateway()), {requestsPerSecond: 1});
	expect(members.map(({limits}) => limits.findInForce(upstream))).toEqual(members.map(() => undefined));
});

test('a limit whose owners send nothing ends by the requests of other gateways', () => {
	// Guards against a limit that stays in force for good because its owners have failed or have no requests.
	const gateways = Array.from({length: 6}, (_, index) => createGateway({attemptIntervalMs: index < 3 ? 60_000 : 100, isGossipLost: true}));
	const {members} = play(gateways, {requestsPerSecond: 0.5});
	expect(members.slice(3).map(({limits}) => limits.findInForce(upstream))).toEqual([undefined, undefined, undefined]);
});

test('a process that has just started sends nothing to a limited upstream for one window', () => {
	const limits = createUpstreamLimits();
	limits.recordNamed(upstream, {requestsPerSecond: 1, now: 100});
	const admission = createLimitAdmission({
		clock: {now: () => 100, sleep: async () => undefined}, processStartedAt: 0, daemon: 'g', policy: new SubstitutedShare(), listGateways: () => ['g'], limits,
	});
	expect(admission.computeWaitMs(upstream)).toBe(4100);
	expect(admission.computeRetryAfterMs(upstream)).toBe(1000);
});
