import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createFakeKeyedLog, type FakeKeyedLog} from '../../tools/harness/fake-keyed-log.js';
import {createUnlimitedEligibility} from '../../tools/harness/unlimited-upstreams.js';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import {createUpstreamRegistry} from '../coordination/mod.js';
import {
	Err, Ok, createFailure, type EventLog, type GatewayService, type KeyedLog, type UpstreamRegistration,
} from '../protocol/mod.js';
import {createGatewayState} from './gateway-state.js';

// Tests, in virtual time, which upstreams a gateway considers available while its path to the store fails. An upstream
// serves for two seconds after the store has recorded that it leaves; no request may reach it later.

const unreadable: Array<Record<string, unknown>> = [];
const events: EventLog = {
	write(name, fields = {}) {
		if (name === 'recordUnreadable') {
			unreadable.push(fields);
		}
	},
	counts: new Map(),
};
const service: GatewayService = {id: 's', connectionLimit: 10};
/** Timeout of a call on an unresponsive path to the store. */
const unresponsiveCallTimeoutMs = 1000;
/** Interval at which an upstream renews its registration. */
const heartbeatIntervalMs = 1200;
/** Time for which an upstream serves after the store has recorded that it leaves. */
const drainDurationMs = 2000;

/** Creates the state of a gateway that follows logs with the given upstreams. */
function createFixture(upstreams: readonly string[]) {
	const time = createVirtualTime();
	const abortController = new AbortController();
	const logs = {deployment: createFakeKeyedLog(), upstreams: createFakeKeyedLog(), grants: createFakeKeyedLog()};
	let isPartitioned = false;
	let nextHangMs = 0;

	async function reachStore(waitMs = 0): Promise<boolean> {
		await time.sleep(isPartitioned ? unresponsiveCallTimeoutMs : waitMs);
		return !isPartitioned;
	}

	async function reachUpstreamLog(): Promise<boolean> {
		const hangMs = nextHangMs;
		nextHangMs = 0;
		await time.sleep(hangMs);
		return hangMs === 0 && reachStore();
	}

	function openPartitionable(fake: FakeKeyedLog, reachLog: (waitMs?: number) => Promise<boolean>): KeyedLog {
		const log = fake.open();
		const failure = createFailure('log-unavailable', 'The path to the store is unresponsive');
		return {
			...log,
			readNewest: async () => await reachLog() ? log.readNewest() : Err(failure),
			read: async (from, options) => await reachLog(options.waitMs) ? log.read(from, options) : Err({kind: 'away', failure}),
		};
	}

	const state = createGatewayState({
		adapter: {
			wire: undefined as never,
			logs: {deployment: openPartitionable(logs.deployment, reachStore), upstreams: openPartitionable(logs.upstreams, reachUpstreamLog), grants: openPartitionable(logs.grants, reachStore)},
			deploymentKey: 'deployment',
			decodeDeployment: () => undefined as never,
			decodeUpstream: (_id, text) => JSON.parse(text) as UpstreamRegistration,
			evacuationRecords: {
				findFailureDomain: key => key.startsWith('out/') ? key.slice('out/'.length) : undefined,
				formatKey: failureDomain => `out/${failureDomain}`,
				check(text) {
					JSON.parse(text);
				},
			},
			close: async () => undefined,
		},
		self: {
			role: 'gateway', daemon: 'g', incarnation: 'i', address: 'a', failureDomain: 'd',
		},
		upstreamHeartbeatMs: heartbeatIntervalMs, isFirstStart: false, clock: time, events,
		onDeployment: () => undefined,
		onOwnRecord: () => undefined,
		onQuarantineRecord: () => undefined,
		onRecoveryRecord: () => undefined, onOriginsRecord: () => undefined,
		onGrantsRestored: () => undefined,
	});
	const registry = createUpstreamRegistry({
		eligibility: createUnlimitedEligibility({directory: state.directory, clock: time, evacuations: state.evacuations}), directory: state.directory, clock: time, failureDomain: 'd', sumPeerUse: upstream => ({upstream, inFlight: 0, waitingTokens: 0}),
	});
	state.run(abortController.signal);

	function put(id: string, value: string | undefined): void {
		logs.upstreams.records.push({key: id, value, offset: logs.upstreams.records.length});
	}

	function putDeploymentRecord(key: string, value: string | undefined): void {
		logs.deployment.records.push({key, value, offset: logs.deployment.records.length});
	}

	function add(id: string, failureDomain = 'd'): void {
		const registration: UpstreamRegistration = {
			id, service: 's', address: id, failureDomain, slots: 4, isDraining: false, warmUp: 0,
		};
		put(id, JSON.stringify(registration));
	}

	for (const id of upstreams) {
		add(id);
	}

	return {
		time, add, put, putDeploymentRecord, logs, state,
		/** Partitions the gateway from the store on all paths, or ends the partition. */
		setPartitioned(value: boolean) {
			isPartitioned = value;
		},
		/** Makes the next read of upstreams hang for the given time and then fail; later reads succeed. */
		setNextHang(durationMs: number) {
			nextHangMs = durationMs;
		},
		/** Removes an upstream's registration from the store. */
		remove(id: string) {
			put(id, undefined);
		},
		/** Lists the upstreams to which a request could be sent now. */
		listCandidates: () => registry.listCandidates({service, generation: undefined, excluded: new Set()}).map(({id}) => id),
		stop() {
			abortController.abort();
		},
	};
}

test('an upstream that leaves soon after a partition gets no requests after its drain time', async () => {
	// Guards against a request that reaches an engine more than two seconds after
	// the store recorded that it leaves. The gateway is partitioned from the store
	// for some seconds. Two seconds later an engine leaves without having announced
	// that it drains, and the gateway reads the removal of its registration in time.
	// The removal was mistaken for an expired registration because a read had failed
	// in the 3 s before, which granted the upstream 2 s more from the time of the
	// read. In a day with partitions every late request was sent in such a grace
	// period (isOnGrace in its log line), by data less than 0.5 s old.
	const {time, setPartitioned, remove, listCandidates, stop} = createFixture(['u1', 'u2']);
	await time.runUntil(3000);
	setPartitioned(true);
	await time.runUntil(7000);
	setPartitioned(false);
	await time.runUntil(9000);
	remove('u1');
	await time.runUntil(9000 + drainDurationMs);
	expect(listCandidates()).toEqual(['u2']);
	stop();
});

test('an upstream that leaves after a single failed read gets no more requests', async () => {
	// A registration cannot expire in the time of one failed read, so an upstream
	// that is removed afterwards has left.
	const {time, setPartitioned, remove, listCandidates, stop} = createFixture(['u1', 'u2']);
	await time.runUntil(3000);
	setPartitioned(true);
	await time.runUntil(4600);
	setPartitioned(false);
	await time.runUntil(5600);
	remove('u1');
	await time.runUntil(6200);
	expect(listCandidates()).toEqual(['u2']);
	stop();
});

test('upstreams whose registrations expired while the store was unavailable get requests until two seconds after its recovery', async () => {
	// Guards against refusing all callers after an outage of the store: no upstream
	// can renew its registration, all are removed, and each registers again a second
	// after the store's recovery.
	const {time, setPartitioned, add, remove, listCandidates, stop} = createFixture(['u1', 'u2']);
	await time.runUntil(3000);
	setPartitioned(true);
	await time.runUntil(7000);
	remove('u1');
	remove('u2');
	await time.runUntil(8000);
	setPartitioned(false);
	await time.runUntil(9000);
	expect(listCandidates()).toEqual(['u1', 'u2']);
	add('u1');
	await time.runUntil(8000 + drainDurationMs);
	expect(listCandidates()).toEqual(['u1']);
	stop();
});

test('a read that hangs does not hide that an upstream left', async () => {
	// Guards against a request that reaches an engine that has exited. The
	// gateway's read of the upstreams hung for seconds, first on an unresponsive
	// path and then at relays that had exited, while new calls were answered; the
	// gateway read that the engine had left only after the hanging read had ended.
	const {time, setNextHang, remove, listCandidates, stop} = createFixture(['u1', 'u2']);
	await time.runUntil(3100);
	setNextHang(3700);
	await time.runUntil(3600);
	remove('u1');
	await time.runUntil(3600 + drainDurationMs);
	expect(listCandidates()).toEqual(['u2']);
	stop();
});

/** Time after a partition for which a gateway may still use its old data. */
const maxStaleMs = 3000;
const scenarioEndMs = 25_000;
const timeArbitrary = fc.integer({min: 1000, max: 20_000});

test('no sequence of partitions, hanging reads and removals leaves a removed upstream available too long', async () => {
	// Whatever fails between the gateway and the store, an upstream that left two
	// seconds ago gets no requests once the gateway's path to the store has worked
	// for three seconds.
	const scenarioArbitrary = fc.record({
		partitions: fc.array(fc.record({at: timeArbitrary, durationMs: fc.integer({min: 100, max: 6000})}), {maxLength: 3}),
		hangs: fc.array(fc.record({at: timeArbitrary, durationMs: fc.integer({min: 500, max: 3700})}), {maxLength: 3}),
		removals: fc.array(timeArbitrary, {minLength: 1, maxLength: 4}),
	});
	await fc.assert(fc.asyncProperty(scenarioArbitrary, async ({partitions, hangs, removals}) => {
		const {time, setPartitioned, setNextHang, remove, listCandidates, stop} = createFixture(removals.map((_, index) => `u${index}`));
		const isPartitionedAt = (now: number) => partitions.some(({at, durationMs}) => at <= now && now < at + durationMs);
		const wasRecentlyPartitioned = (now: number) => partitions.some(({at, durationMs}) => at <= now && now < at + durationMs + maxStaleMs);
		const steps = [...partitions.flatMap(({at, durationMs}) => [at, at + durationMs]), ...hangs.map(({at}) => at), ...removals];
		for (const now of new Set([...steps, ...Array.from({length: scenarioEndMs / 100}, (_, index) => index * 100)].toSorted((left, right) => left - right))) {
			await time.runUntil(now);
			setPartitioned(isPartitionedAt(now));
			for (const {durationMs} of hangs.filter(({at}) => at === now)) {
				setNextHang(durationMs);
			}

			for (const [index, at] of removals.entries()) {
				if (at === now) {
					remove(`u${index}`);
				}
			}

			const overdue = new Set(removals.flatMap((at, index) => at + drainDurationMs <= now ? [`u${index}`] : []));
			if (!wasRecentlyPartitioned(now)) {
				expect(listCandidates().filter(id => overdue.has(id)), `at ${now} ms`).toEqual([]);
			}
		}

		stop();
	}), {numRuns: 200});
});

// An evacuated failure domain gets no requests from the time at which its record is read.

test('an evacuated failure domain gets no requests until it returns', async () => {
	// Guards against requests to upstreams that operators have taken out of service.
	const {time, add, putDeploymentRecord, listCandidates, stop} = createFixture(['u1']);
	add('u2', 'e');
	await time.runUntil(3000);
	expect(listCandidates()).toEqual(['u1', 'u2']);
	putDeploymentRecord('out/e', '{}');
	await time.runUntil(5000);
	expect(listCandidates()).toEqual(['u1']);
	putDeploymentRecord('out/e', undefined);
	await time.runUntil(7000);
	expect(listCandidates()).toEqual(['u1', 'u2']);
	stop();
});

test('an evacuation holds in a partition and is known after a start', async () => {
	// Guards against forgetting an evacuation while the store is unavailable.
	const {time, add, putDeploymentRecord, setPartitioned, listCandidates, stop} = createFixture(['u1']);
	add('u2', 'e');
	putDeploymentRecord('out/e', '{}');
	await time.runUntil(2000);
	expect(listCandidates()).toEqual(['u1']);
	setPartitioned(true);
	await time.runUntil(12_000);
	expect(listCandidates()).toEqual(['u1']);
	stop();
});

test('a return that the log no longer retains ends an evacuation', async () => {
	// Guards against avoiding a failure domain for good because its return was compacted away.
	const {time, add, putDeploymentRecord, setPartitioned, listCandidates, logs, stop} = createFixture(['u1']);
	add('u2', 'e');
	putDeploymentRecord('out/e', '{}');
	await time.runUntil(3000);
	setPartitioned(true);
	await time.runUntil(6000);
	putDeploymentRecord('out/e', undefined);
	putDeploymentRecord('other', '{}');
	logs.deployment.firstOffset = logs.deployment.records.length;
	setPartitioned(false);
	await time.runUntil(12_000);
	expect(listCandidates()).toEqual(['u1', 'u2']);
	stop();
});

test('a malformed evacuation changes nothing', async () => {
	// Guards against taking a failure domain out of service, or back into it, by a record that cannot be read.
	const {time, add, putDeploymentRecord, listCandidates, stop} = createFixture(['u1']);
	add('u2', 'e');
	putDeploymentRecord('out/e', '{"half');
	await time.runUntil(3000);
	expect(listCandidates()).toEqual(['u1', 'u2']);
	putDeploymentRecord('out/e', '{}');
	putDeploymentRecord('out/e', '{"half');
	putDeploymentRecord('out/unknown', '{}');
	await time.runUntil(6000);
	expect(listCandidates()).toEqual(['u1']);
	stop();
});

test('a holder\'s record that cannot be read holds the rest of every budget, a deleted one what it held before', async () => {
	// Guards against tokens that two versions of the program grant twice.
	const {time, logs, state, stop} = createFixture(['u1']);
	const putGrants = (key: string, value: string | undefined) => {
		logs.grants.records.push({key, value, offset: logs.grants.records.length});
	};

	putGrants('e1/i1', JSON.stringify({
		role: 'gateway', daemon: 'e1', incarnation: 'i1', address: 'a', failureDomain: 'd', version: 1, sequence: 1, granted: {c: 300}, hasEnded: false,
	}));
	await time.runUntil(3000);
	putGrants('e1/i1', undefined);
	await time.runUntil(6000);
	state.grantRegistry.reserveForUnreadable('c', 1000);
	expect(state.grantRegistry.sumGranted('c')).toBe(300);
	putGrants('e2/i1', '{"granted":"of another version"}');
	await time.runUntil(9000);
	state.grantRegistry.reserveForUnreadable('c', 1000);
	expect(state.grantRegistry.sumGranted('c')).toBe(1000);
	stop();
});

test('a gateway in a partition receives evacuations and returns from peers, and an older state changes nothing', async () => {
	const {time, add, setPartitioned, listCandidates, state, stop} = createFixture(['u1']);
	add('u2', 'e');
	await time.runUntil(3000);
	setPartitioned(true);
	await time.runUntil(5000);
	state.adoptDomainFromPeer({failureDomain: 'e', offset: 7, isEvacuated: true}, 'peer');
	expect(listCandidates()).toEqual(['u1']);
	state.adoptDomainFromPeer({failureDomain: 'e', offset: 6, isEvacuated: false}, 'peer');
	expect(listCandidates()).toEqual(['u1']);
	state.adoptDomainFromPeer({failureDomain: 'e', offset: 8, isEvacuated: false}, 'peer');
	expect(listCandidates()).toEqual(['u1', 'u2']);
	stop();
});

/** Restores all logs from a backup of the records that `keep` counts. */
function restoreLogs({logs}: Pick<ReturnType<typeof createFixture>, 'logs'>, keep: {readonly upstreams: number; readonly deployment: number}): void {
	logs.upstreams.restore(keep.upstreams);
	logs.deployment.restore(keep.deployment);
	logs.grants.restore(0);
}

test('an upstream that left gets no requests after a restore of the log', async () => {
	// Guards against requests to an upstream whose removal is lost with the history after the backup.
	const fixture = createFixture(['u1', 'u2']);
	const {time, remove, listCandidates, stop} = fixture;
	await time.runUntil(1000);
	remove('u1');
	await time.runUntil(2000);
	restoreLogs(fixture, {upstreams: 2, deployment: 0});
	await time.runUntil(2600);
	expect(listCandidates()).toEqual(['u2']);
	await time.runUntil(6000);
	expect(listCandidates()).toEqual(['u2']);
	stop();
});

test('an upstream that a restored log lacks gets requests for two seconds, and longer if it registers again', async () => {
	// Guards against a service without upstreams until they have registered again.
	const fixture = createFixture(['u1', 'u2', 'u3']);
	const {time, add, listCandidates, stop} = fixture;
	await time.runUntil(1000);
	restoreLogs(fixture, {upstreams: 1, deployment: 0});
	await time.runUntil(2000);
	expect(listCandidates()).toEqual(['u1', 'u2', 'u3']);
	add('u2');
	await time.runUntil(1600 + (2 * drainDurationMs));
	expect(listCandidates()).toEqual(['u1', 'u2']);
	stop();
});

test('an evacuation that a restored log lacks holds until operators had time to write it again', async () => {
	const fixture = createFixture(['u1']);
	const {time, putDeploymentRecord, state, stop} = fixture;
	putDeploymentRecord('out/a', '{}');
	putDeploymentRecord('out/b', '{}');
	await time.runUntil(1000);
	restoreLogs(fixture, {upstreams: 1, deployment: 0});
	await time.runUntil(2000);
	expect(state.evacuations.listEvacuated()).toEqual(['a', 'b']);
	putDeploymentRecord('out/a', '{}');
	await time.runUntil(7000);
	expect(state.evacuations.listEvacuated()).toEqual(['a']);
	putDeploymentRecord('out/a', undefined);
	await time.runUntil(9000);
	expect(state.evacuations.listEvacuated()).toEqual([]);
	stop();
});

test('an odd entry in place of an upstream\'s own takes neither it nor another out of service', async () => {
	// Guards against an upstream that is lost for good: it does not write an entry again that has not changed.
	const fixture = createFixture(['u1', 'u2']);
	const {time, put, remove, listCandidates, stop} = fixture;
	await time.runUntil(1000);
	put('u1', '{');
	put('u3', 'odd');
	await time.runUntil(2000);
	expect(listCandidates()).toEqual(['u1', 'u2']);
	remove('u1');
	await time.runUntil(3000);
	expect(listCandidates()).toEqual(['u2']);
	stop();
});

test('an odd entry in a backup of the log does not replace a later one', async () => {
	const fixture = createFixture(['u1', 'u2']);
	const {time, add, put, listCandidates, stop} = fixture;
	put('u1', '{');
	await time.runUntil(1000);
	add('u1');
	await time.runUntil(2000);
	restoreLogs(fixture, {upstreams: 3, deployment: 0});
	await time.runUntil(2700);
	expect(listCandidates()).toEqual(['u2', 'u1']);
	stop();
});

test('an odd entry that is written again and again is reported once', async () => {
	// Guards against a log that another writer fills.
	unreadable.length = 0;
	const {time, put, stop} = createFixture(['u1']);
	for (let written = 0; written < 20; written += 1) {
		put('odd', '{');
		await time.runUntil(1000 + (written * 500));
	}

	expect(unreadable.map(({key}) => key)).toEqual(['odd']);
	put('odd', 'odd');
	await time.runUntil(12_000);
	expect(unreadable.length).toBe(2);
	expect(unreadable.every(({detail}) => typeof detail === 'string' && detail.length <= 200)).toBe(true);
	stop();
});

test('a gateway that is heard from before its record was read is looked up in the log', async () => {
	// Guards against a gateway that takes itself for the only one until the next read of the grants, seconds after its start.
	const {time, logs, state, stop} = createFixture([]);
	const listDaemons = () => state.grantRegistry.listRunning().map(({daemon}) => daemon);
	const {signal} = new AbortController();
	await time.runUntil(500);
	logs.grants.records.push({
		key: 'g2/i', offset: 0, value: JSON.stringify({
			role: 'gateway', daemon: 'g2', incarnation: 'i', address: '127.0.0.1:1', newsAddress: '127.0.0.1:2', failureDomain: 'd', version: 1, sequence: 1, granted: {}, hasEnded: false,
		}),
	});
	await time.runUntil(1000);
	expect(listDaemons()).toEqual([]);
	state.syncGateway('g2', signal);
	await time.runUntil(1010);
	expect(listDaemons()).toEqual(['g2']);
	stop();
});
