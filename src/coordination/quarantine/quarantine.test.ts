import {expect, test} from 'vitest';
import {createCrashRegistry, type CrashRecord} from '../../state/mod.js';
import {createQuarantine, rankByRendezvous} from '../mod.js';

const gateways = ['g1', 'g2', 'g3'];
const digest = 'poison';
/** The gateways in the order in which they may run trials of the request. */
const trialOrder = rankByRendezvous(digest, gateways);

function createFixture(daemon = trialOrder[0]!) {
	const state = {now: 0, changes: 0, logged: [] as unknown[]};
	const quarantine = createQuarantine({
		crashRegistry: createCrashRegistry(), daemon, listPeers: () => gateways.filter(name => name !== daemon),
		clock: {now: () => state.now, sleep: async () => undefined},
		events: {
			write(_event, fields) {
				state.logged.push(fields?.cause);
			},
			counts: new Map(),
		},
		onChange() {
			state.changes += 1;
		},
		onCrash: () => undefined,
	});

	function crash(count: number): void {
		for (let index = 0; index < count; index += 1) {
			quarantine.trackRun(digest).recordCrash(`u${index}`);
		}
	}

	return {state, quarantine, crash};
}

test('a request is held back after three consecutive crashes', () => {
	const {quarantine, crash} = createFixture();
	crash(2);
	expect(quarantine.admit(digest).ok).toBe(true);
	crash(1);
	const refused = quarantine.admit(digest);
	expect(refused.err && refused.val).toMatchObject({type: 'quarantined', ran: 'no', retryAfterMs: undefined});
	expect(quarantine.admit('other').ok).toBe(true);
});

// Guards against holding back a harmless request because several upstreams crash in succession while it succeeds at others.
test('an answer between crashes resets the count', () => {
	const {quarantine, crash} = createFixture();
	for (let round = 0; round < 10; round += 1) {
		crash(2);
		quarantine.trackRun(digest).recordAnswer();
	}

	expect(quarantine.admit(digest).ok).toBe(true);
	expect(quarantine.isSuspected(digest)).toBe(false);
});

// Guards against holding back a request that many callers send when all upstreams of a service crash at the same time.
test('simultaneous crashes count once', () => {
	const {quarantine} = createFixture();
	const runs = Array.from({length: 20}, () => quarantine.trackRun(digest));
	for (const run of runs) {
		run.recordCrash('u1');
	}

	expect(quarantine.listHeld()).toEqual([]);
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('an answer to a run that began before its request was held back releases the request', () => {
	const {quarantine, crash} = createFixture();
	const early = quarantine.trackRun(digest);
	crash(3);
	early.recordAnswer();
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('after two crashes a request is not retried at another upstream', () => {
	const {quarantine, crash} = createFixture();
	crash(1);
	expect([quarantine.mayRetry(digest), quarantine.isSuspected(digest)]).toEqual([true, false]);
	crash(1);
	expect([quarantine.mayRetry(digest), quarantine.isSuspected(digest)]).toEqual([false, true]);
});

// Guards against refusing a request forever that would succeed by now, and against one more crash per gateway that tries it.
test('one gateway tries a held request once, and again after twice the interval', () => {
	const {state, quarantine, crash} = createFixture();
	const second = createFixture(trialOrder[1]);
	crash(3);
	second.quarantine.merge(quarantine.listRecent()[0]!, 'peer');
	state.now = 30_000;
	second.state.now = 30_000;
	expect(second.quarantine.admit(digest).ok).toBe(false);
	expect(quarantine.admit(digest).ok).toBe(true);
	expect(quarantine.admit(digest).ok).toBe(false);
	quarantine.trackRun(digest).recordCrash('u4');
	state.now += 59_999;
	expect(quarantine.admit(digest).ok).toBe(false);
	state.now += 1;
	expect(quarantine.admit(digest).ok).toBe(true);
	quarantine.trackRun(digest).recordAnswer();
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('the second gateway in the order tries a held request that the first one has not received', () => {
	const {state, quarantine, crash} = createFixture(trialOrder[1]);
	crash(3);
	state.now = 59_999;
	expect(quarantine.admit(digest).ok).toBe(false);
	state.now = 60_000;
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('gateways advertise crashes and answers to each other', () => {
	const sender = createFixture();
	const receiver = createFixture(trialOrder[1]);
	const sendGossip = () => {
		for (const record of sender.quarantine.listRecent()) {
			receiver.quarantine.merge(record, 'peer');
		}
	};

	sender.crash(3);
	sendGossip();
	expect(receiver.quarantine.admit(digest).ok).toBe(false);
	const {changes} = receiver.state;
	sendGossip();
	expect(receiver.state.changes).toBe(changes);
	sender.quarantine.trackRun(digest).recordAnswer();
	sendGossip();
	expect(receiver.quarantine.admit(digest).ok).toBe(true);
});

// Guards against a log line at every gateway for every request that was running during a crash.
test('crashes seen by other gateways are logged only when the request becomes held or is released', () => {
	const {state, quarantine} = createFixture();
	for (const record of [{round: 0, crashes: 1}, {round: 0, crashes: 2}, {round: 0, crashes: 3}, {round: 1, crashes: 0}]) {
		quarantine.merge({digest, ...record}, 'peer');
	}

	expect(state.logged).toEqual(['peer', 'peer']);
	expect(state.changes).toBe(4);
});

// Guards against a log that cannot show what the requests that crash upstreams have in common.
test('the log names the request, the upstream and the parts of the prompt of a crash', () => {
	const logged: unknown[] = [];
	const quarantine = createQuarantine({
		crashRegistry: createCrashRegistry(),
		daemon: 'g1',
		listPeers: () => [],
		clock: {now: () => 0, sleep: async () => undefined},
		events: {
			write(_event, fields) {
				logged.push(fields);
			},
			counts: new Map(),
		},
		onChange: () => undefined,
		onCrash: () => undefined,
	});
	quarantine.trackRun(digest, {request: 'r1', parts: 'a1 b2'}).recordCrash('u1');
	expect(logged).toMatchObject([{
		request: 'r1', parts: 'a1 b2', upstream: 'u1', cause: 'crash',
	}]);
});

test('a record is advertised for ten seconds after its last change', () => {
	const {state, quarantine, crash} = createFixture();
	crash(1);
	state.now = 9999;
	expect(quarantine.listRecent()).toHaveLength(1);
	state.now = 10_000;
	expect(quarantine.listRecent()).toEqual([]);
	expect(quarantine.listAll()).toHaveLength(1);
});

test('an operator can list and release held requests', () => {
	const {state, quarantine, crash} = createFixture();
	crash(3);
	state.now = 10_000;
	expect(quarantine.listHeld()).toEqual([{
		digest, round: 0, crashes: 3, heldMs: 10_000, trialMs: 20_000,
	}]);
	expect(quarantine.release(digest)).toBe(true);
	expect(quarantine.release(digest)).toBe(false);
	expect(quarantine.admit(digest).ok).toBe(true);
});

test('at most twelve records are advertised, those with the most crashes first', () => {
	const {quarantine, crash} = createFixture();
	crash(3);
	for (let index = 0; index < 40; index += 1) {
		quarantine.trackRun(`varied-${index}`).recordCrash('u1');
	}

	const records: CrashRecord[] = quarantine.listRecent();
	expect(records).toHaveLength(12);
	expect(records[0]!.digest).toBe(digest);
});
