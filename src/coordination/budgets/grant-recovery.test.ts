import {expect, test} from 'vitest';
import {createFakeKeyedLog} from '../../../tools/harness/fake-keyed-log.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {
	createGrantRegistry, createRouteTable, createTokenAccount, holderRecordSchema, type HolderRecord,
} from '../../state/mod.js';
import {
	createGrantRecovery, createKeyedFollower, isRecoveryKey, type GrantQuery, type GrantReport,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const table = createRouteTable({
	version: 1, routes: [], services: [], customers: [{id: 'c1', keys: ['k'], bought: 1000}], limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
	},
});

type FixtureOptions = {
	readonly isFirstStart?: boolean;
	readonly queryPeer?: (address: string, query: GrantQuery) => Promise<GrantReport>;
	readonly granted?: number;
};

function buildRecord(daemon: string, granted: number, sequence = 1): HolderRecord {
	return {
		role: 'gateway', daemon, incarnation: 'i1', address: daemon, failureDomain: 'd', version: 1, sequence, granted: {c1: granted}, hasEnded: false, epoch: 1,
	};
}

/** Creates the recovery of the gateway `e1` over a log of epoch 1. */
function createFixture({isFirstStart = true, queryPeer, granted = 0}: FixtureOptions = {}) {
	const time = createVirtualTime();
	const log = createFakeKeyedLog();
	log.epoch = 1;
	const grants = createGrantRegistry();
	const account = createTokenAccount();
	account.setGranted('c1', granted);
	const {signal} = new AbortController();
	const follower = createKeyedFollower({
		log: log.open(), clock: time, events, longPollMs: 0, readIntervalMs: 100, onRestore: grants.dropLogged,
		onRecord(stored) {
			if (isRecoveryKey(stored.key)) {
				recovery.applyRecord(stored);
			} else {
				grants.put(stored.key, holderRecordSchema.parse(JSON.parse(stored.value!)));
			}
		},
	});
	const recovery = createGrantRecovery({
		self: buildRecord('e1', 0), log: log.open(), follower, grants, account, findRouteTable: () => table, isFirstStart,
		listPeers: () => [],
		isPresumedFailed: () => false,
		buildOwnRecord: () => buildRecord('e1', granted, 9),
		queryPeer: queryPeer ?? (async () => {
			throw new Error('The gateway does not answer');
		}),
		clock: time, events,
	});
	const put = (record: HolderRecord) => {
		log.records.push({key: `${record.daemon}/${record.incarnation}`, value: JSON.stringify(record), offset: log.records.length});
	};

	return {
		time, log, grants, account, follower, recovery, put,
		run() {
			void follower.run(signal);
			void recovery.run(signal);
		},
	};
}

test('records that the log has lost are appended again before the recovery ends', async () => {
	const {time, log, grants, recovery, put, run} = createFixture({
		granted: 70,
		queryPeer: async () => ({incarnation: 'i1', isWitness: true, records: [{key: 'e2/i1', record: buildRecord('e2', 400, 5)}]}),
	});
	put(buildRecord('e2', 300, 2));
	run();
	await time.runUntil(500);
	log.restore(1);
	expect(recovery.checkComplete()).toBe(true);
	await time.runUntil(1500);
	expect(recovery.checkComplete()).toBe(true);
	expect(grants.sumGranted('c1')).toBe(470);
	expect(log.records.map(({key}) => key).sort()).toEqual(['@history/2', 'e1/i1', 'e2/i1', 'e2/i1']);
});

test('a gateway that starts after a restore reserves all if nobody remembers the grants', async () => {
	// Guards against tokens that are spent again after all gateways have lost power.
	const {time, log, grants, recovery, put, run} = createFixture({isFirstStart: false});
	put(buildRecord('e2', 300, 2));
	log.epoch = 2;
	run();
	await time.runUntil(5000);
	expect(recovery.checkComplete()).toBe(false);
	await time.runUntil(10_000);
	expect(recovery.checkComplete()).toBe(true);
	expect(grants.sumGranted('c1')).toBe(1000);
});

test('a recovery that the log loses again is repeated', async () => {
	// Guards against two restores in a row.
	const {time, log, recovery, run} = createFixture();
	run();
	await time.runUntil(500);
	log.restore(0);
	await time.runUntil(1000);
	expect(recovery.checkComplete()).toBe(true);
	log.restore(0);
	await time.runUntil(2000);
	expect(recovery.checkComplete()).toBe(true);
	expect(log.records.map(({key}) => key)).toContain('@history/3');
});

test('what was reserved in an epoch that the recovering gateway has not seen stays reserved', async () => {
	// Guards against a gateway that was paused through one restore and recovers the grants after the next.
	const recoveryOfSecond = {
		epoch: 2, reserved: {c1: 600}, missing: ['e3/i1'], sequences: {},
	};
	const {time, log, grants, put, run} = createFixture({
		queryPeer: async () => ({
			incarnation: 'i1', isWitness: true, records: [], recovery: recoveryOfSecond,
		}),
	});
	put(buildRecord('e2', 300, 2));
	run();
	await time.runUntil(500);
	log.epoch = 2;
	log.restore(1);
	await time.runUntil(1500);
	expect(grants.getRecovery()).toMatchObject({epoch: 3, reserved: {c1: 600}, missing: ['e3/i1']});
	expect(grants.sumGranted('c1')).toBe(900);
});

test('a gateway keeps no tokens that the recovery has missed', async () => {
	// Guards against a gateway that was cut off from all others and whose last claim is lost.
	const {time, log, account, put, run} = createFixture({granted: 500});
	run();
	await time.runUntil(500);
	log.restore(0);
	put(buildRecord('e1', 200));
	log.records.push({
		key: '@history/2', value: JSON.stringify({
			epoch: 2, reserved: {}, missing: [], sequences: {},
		}), offset: 1,
	});
	await time.runUntil(1500);
	expect(account.get('c1').granted).toBe(200);
});

test('a gateway that has not read the log reports that it knew no grants', () => {
	const {recovery, follower} = createFixture();
	expect(recovery.report({epoch: 2, known: new Map()}).isWitness).toBe(false);
	expect(follower.getEpoch()).toBeUndefined();
});

test('a report of an earlier epoch is refused', async () => {
	const {time, log, recovery, run} = createFixture();
	run();
	await time.runUntil(500);
	log.restore(0);
	await time.runUntil(1000);
	expect(() => recovery.report({epoch: 1, known: new Map()})).toThrow(RangeError);
	expect(recovery.report({epoch: 2, known: new Map()}).isWitness).toBe(true);
});

test('a record that a late append of an earlier epoch has replaced is appended again', async () => {
	const {time, log, grants, put, run} = createFixture();
	put(buildRecord('e2', 300, 5));
	run();
	await time.runUntil(500);
	put(buildRecord('e2', 100, 4));
	await time.runUntil(1500);
	expect(grants.sumGranted('c1')).toBe(300);
	expect(JSON.parse(log.records.at(-1)!.value!)).toMatchObject({sequence: 5, granted: {c1: 300}});
});
