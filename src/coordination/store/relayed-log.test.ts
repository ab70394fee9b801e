import {expect, test} from 'vitest';
import {createFakeKeyedLog} from '../../../tools/harness/fake-keyed-log.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	Err, createFailure, type EventLog, type KeyedLog,
} from '../../protocol/mod.js';
import {createStorePathTracker, createKeyedFollower, createRelayedLog} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

function createFixture() {
	const store = createFakeKeyedLog();
	let now = 0;
	let isDirectPathCut = false;
	let isDirectPathUnresponsive = false;
	const reachedPaths: string[] = [];
	const cutStore = createFakeKeyedLog();
	cutStore.isUnavailable = true;
	let wakeSleeper: () => void = () => undefined;
	const clock = {
		now: () => now,
		sleep: async (ms: number) => ms === 0
			? undefined
			: new Promise<void>(resolve => {
				wakeSleeper = resolve;
			}),
	};
	const direct = store.open();
	const log = createRelayedLog({
		direct: {
			name: 'grants',
			async readNewest() {
				reachedPaths.push('direct');
				if (isDirectPathUnresponsive) {
					await new Promise(() => undefined); // eslint-disable-line no-promise-executor-return
				}

				return (isDirectPathCut ? cutStore.open() : direct).readNewest();
			},
			read: async (from, options) => (isDirectPathCut ? cutStore.open() : direct).read(from, options),
			append: async (record, options) => (isDirectPathCut ? cutStore.open() : direct).append(record, options),
		},
		pathTracker: createStorePathTracker({clock, events}),
		clock,
		listRelays: () => ['cut', 'healthy'],
		openRelayedLog(address) {
			reachedPaths.push(address);
			return address === 'healthy' ? store.open() : cutStore.open();
		},
	});
	return {
		store, log, reachedPaths,
		setDirectPathCut(value: boolean) {
			isDirectPathCut = value;
		},
		setDirectPathUnresponsive(value: boolean) {
			isDirectPathUnresponsive = value;
		},
		advance(ms: number) {
			now += ms;
			wakeSleeper();
		},
	};
}

test('a gateway that is cut off from the store appends through a relay that reaches it', async () => {
	// Guards against refused callers in every partition between gateways and the
	// store, although the daemons beside the engines still reach the store.
	const fixture = createFixture();
	fixture.setDirectPathCut(true);
	const outcome = await fixture.log.append({key: 'a', value: '1'}, {expectedEnd: 0});
	expect(outcome.kind).toBe('appended');
	expect(fixture.store.records.length).toBe(1);
});

test('an append sent on both paths takes effect once', async () => {
	const fixture = createFixture();
	fixture.store.appendBehaviors.push('lost-after');
	const outcome = await fixture.log.append({key: 'a', value: '1'}, {expectedEnd: 0});
	expect(outcome.kind).toBe('behind');
	expect(fixture.store.records.length).toBe(1);
});

test('the direct path is not used for a while after a failure and then tried again', async () => {
	const fixture = createFixture();
	fixture.setDirectPathCut(true);
	await fixture.log.readNewest();
	fixture.reachedPaths.length = 0;
	await fixture.log.readNewest();
	expect(fixture.reachedPaths).toEqual(['healthy']);
	fixture.advance(1000);
	fixture.setDirectPathCut(false);
	fixture.reachedPaths.length = 0;
	await fixture.log.readNewest();
	expect(fixture.reachedPaths).toEqual(['direct', 'healthy']);
	fixture.reachedPaths.length = 0;
	await fixture.log.readNewest();
	expect(fixture.reachedPaths[0]).toBe('direct');
});

test('a call does not wait for an unresponsive direct path', async () => {
	// Guards against callers who wait a second for tokens whenever their gateway is
	// cut off: the call to the store hangs until its timeout and only then goes
	// through a relay.
	const fixture = createFixture();
	fixture.setDirectPathUnresponsive(true);
	const first = fixture.log.readNewest();
	fixture.advance(120);
	const newest = await first;
	expect(newest.ok).toBe(true);
	expect(fixture.reachedPaths).toEqual(['direct', 'cut', 'healthy']);
	fixture.reachedPaths.length = 0;
	await fixture.log.readNewest();
	expect(fixture.reachedPaths).toEqual(['healthy']);
});

test('a call that probes the direct path is not delayed by the probe', async () => {
	// Guards against a caller who waits for tokens, once a second, until the probe
	// of a path that is still unresponsive times out.
	const fixture = createFixture();
	fixture.setDirectPathUnresponsive(true);
	const first = fixture.log.readNewest();
	fixture.advance(120);
	await first;
	fixture.advance(1000);
	fixture.reachedPaths.length = 0;
	const newest = await fixture.log.readNewest();
	expect(newest.ok).toBe(true);
	expect(fixture.reachedPaths).toEqual(['direct', 'healthy']);
});

test('a follower whose next record is gone reads the newest records and drops missing keys', async () => {
	// Guards against requests to an upstream that left long ago: the log dropped
	// the record of its removal before this gateway read it.
	const store = createFakeKeyedLog();
	const known = new Set<string>();
	const follower = createKeyedFollower({
		log: store.open(), clock: {now: () => 0, sleep: async () => undefined}, events, longPollMs: 0, readIntervalMs: 0, listKnownKeys: () => [...known],
		onRecord({key, value}) {
			if (value === undefined) {
				known.delete(key);
			} else {
				known.add(key);
			}
		},
	});
	const {signal} = new AbortController();
	store.records.push({key: 'a', value: '1', offset: 0}, {key: 'b', value: '1', offset: 1});
	await follower.catchUp(signal);
	store.records.push({key: 'a', offset: 2}, {key: 'c', value: '1', offset: 3});
	store.firstOffset = 3;
	await follower.catchUp(signal);
	expect([...known].toSorted()).toEqual(['b', 'c']);
});

/**
 * Longest duration of a read while any path works: an upstream serves for 2 s
 * after it leaves, upstreams are read every 0.5 s, and 0.5 s is a margin.
 */
const maxReadMs = 1000;

/** Creates a log in virtual time; paths named in `unresponsive` do not answer, and calls on them time out. */
function createVirtualFixture(relays: readonly string[]) {
	const time = createVirtualTime();
	const store = createFakeKeyedLog();
	const unresponsive = new Set<string>();
	const noAnswer = createFailure('log-unavailable', 'No answer');
	const log = createRelayedLog({
		direct: openPath('direct', 1000), pathTracker: createStorePathTracker({clock: time, events}), clock: time,
		listRelays: () => [...relays],
		openRelayedLog: address => openPath(address, 1200),
	});

	function openPath(name: string, timeoutMs: number): KeyedLog {
		return {
			...store.open(),
			async readNewest() {
				const isUnresponsive = unresponsive.has(name);
				await time.sleep(isUnresponsive ? timeoutMs : 4);
				return isUnresponsive ? Err(noAnswer) : store.open().readNewest();
			},
		};
	}

	return {
		time, unresponsive,
		/** Starts a read; its duration is set in the result once the read succeeds. */
		startRead() {
			const startedAt = time.now();
			const result: {tookMs: number | undefined} = {tookMs: undefined};
			void (async () => {
				const newest = await log.readNewest();
				result.tookMs = newest.ok ? time.now() - startedAt : undefined;
			})();

			return result;
		},
	};
}

test('an unresponsive relay does not delay the call to the next one', async () => {
	// Guards against a gateway that reads seconds late that an engine left: its
	// direct path to the store is partitioned, the host of the first relay has lost power,
	// and the next relay is tried only after that call has timed out.
	const {time, unresponsive, startRead} = createVirtualFixture(['dead', 'healthy']);
	unresponsive.add('direct').add('dead');
	const first = startRead();
	await time.runUntil(maxReadMs);
	expect(first.tookMs).toBeLessThan(maxReadMs);
});

test('unresponsive relays do not delay a call when the direct path works again', async () => {
	// Guards against a gateway that still considers the store unavailable after its
	// recovery: between two probes of the direct path all calls go through relays,
	// which are all unresponsive and are tried in sequence.
	const {time, unresponsive, startRead} = createVirtualFixture(['dead-1', 'dead-2', 'dead-3']);
	unresponsive.add('direct').add('dead-1').add('dead-2').add('dead-3');
	startRead();
	await time.runUntil(1100);
	unresponsive.delete('direct');
	const second = startRead();
	await time.runUntil(1100 + maxReadMs);
	expect(second.tookMs).toBeLessThan(maxReadMs);
});

test('unresponsive relays are tried after the others', async () => {
	// Guards against a gateway that never reaches the store although one relay
	// does: the first three relays are unresponsive, and each call tries the same three.
	const {time, unresponsive, startRead} = createVirtualFixture(['dead-1', 'dead-2', 'dead-3', 'healthy']);
	unresponsive.add('direct').add('dead-1').add('dead-2').add('dead-3');
	startRead();
	await time.runUntil(3000);
	const second = startRead();
	await time.runUntil(3000 + maxReadMs);
	expect(second.tookMs).toBeLessThan(maxReadMs);
});

// Guards against calls through relays that are all cut off: each call costs work in two processes, which could serve
// requests instead.
test('relays that are all cut off are not tried for a while', async () => {
	const time = createVirtualTime();
	const relayCallTimes: number[] = [];
	const cutOffFailure = createFailure('log-unavailable', 'The relay is cut off');
	const cutOffLog: KeyedLog = {
		name: 'grants',
		readNewest: async () => Err(cutOffFailure),
		read: async () => Err({kind: 'away', failure: cutOffFailure}),
		append: async () => ({kind: 'unknown', failure: cutOffFailure}),
	};
	const log = createRelayedLog({
		direct: cutOffLog,
		pathTracker: createStorePathTracker({clock: time, events}),
		clock: time,
		listRelays: () => ['a', 'b', 'c', 'd'],
		openRelayedLog() {
			relayCallTimes.push(time.now());
			return cutOffLog;
		},
	});
	const abortController = new AbortController();
	void (async () => {
		while (!abortController.signal.aborted) {
			await log.readNewest();
			await time.sleep(200);
		}
	})();

	await time.runUntil(20_000);
	abortController.abort();
	const callsPerSecond = relayCallTimes.filter(at => at > 10_000).length / 10;
	// Five calls per second with three relays each would be fifteen.
	expect(callsPerSecond).toBeLessThanOrEqual(3);
	expect(callsPerSecond).toBeGreaterThan(0);
});
