import {expect, test} from 'vitest';
import {
	anyHolder, createGrantRegistry, createRouteTable, unstatedEpoch, type HolderRecord,
} from '../../state/mod.js';
import {
	buildUnknownGrantsRecord, buildRecoveryRecord, computeCovered, isLogComplete, listMissingHolders, type GrantReport,
} from '../mod.js';

const table = createRouteTable({
	version: 1, routes: [], services: [], customers: [{id: 'c1', keys: ['k'], bought: 1000}], limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
	},
});

function buildRecord(daemon: string, granted: number, epoch?: number): HolderRecord {
	return {
		role: 'gateway', daemon, incarnation: 'i1', address: daemon, failureDomain: 'd', version: 1, sequence: 1, granted: {c1: granted}, hasEnded: false, epoch,
	};
}

function createRegistry(records: readonly HolderRecord[]) {
	const grants = createGrantRegistry();
	for (const record of records) {
		grants.put(`${record.daemon}/${record.incarnation}`, record);
	}

	return grants;
}

const starting = {isFirstStart: false, isWitness: false};

test('a log that does not state its epoch is complete', () => {
	expect(isLogComplete(undefined, {grants: createRegistry([]), ...starting})).toBe(true);
});

test('a gateway that starts takes a log for complete if a writer of its epoch has written', () => {
	expect(isLogComplete(2, {grants: createRegistry([buildRecord('e1', 10, 2)]), ...starting})).toBe(true);
	expect(isLogComplete(2, {grants: createRegistry([buildRecord('e1', 10, 1)]), ...starting})).toBe(false);
	expect(isLogComplete(2, {grants: createRegistry([]), ...starting})).toBe(false);
	expect(isLogComplete(2, {grants: createRegistry([]), ...starting, isFirstStart: true})).toBe(true);
});

test('a log of gateways that do not know epochs is complete for a gateway that starts', () => {
	// Guards against budgets that are reserved as lost when the first gateway of this version starts.
	expect(isLogComplete(2, {grants: createRegistry([buildRecord('e1', 10)]), ...starting})).toBe(true);
	expect(isLogComplete(2, {grants: createRegistry([buildRecord('e1', 10, unstatedEpoch)]), ...starting})).toBe(false);
});

test('a gateway that has known all grants waits for the recovery of each epoch', () => {
	const grants = createRegistry([buildRecord('e1', 10, 1)]);
	expect(isLogComplete(2, {grants, isFirstStart: true, isWitness: true})).toBe(false);
	grants.putRecovery({
		epoch: 2, reserved: {}, missing: [], sequences: {},
	});
	expect(isLogComplete(2, {grants, isFirstStart: true, isWitness: true})).toBe(true);
	expect(isLogComplete(3, {grants, isFirstStart: true, isWitness: true})).toBe(false);
});

test('holders that do not report are missing unless they are presumed failed', () => {
	const holders = ['e1', 'e2', 'e3', 'e4'].map(daemon => ({daemon, incarnation: 'i1', address: daemon}));
	const report = (incarnation: string, isWitness: boolean): GrantReport => ({incarnation, isWitness, records: []});
	const reports = new Map([['e1', report('i1', true)], ['e2', report('i2', true)], ['e3', report('i2', false)]]);
	const listMissing = (failed: string) => listMissingHolders(holders, {reports, isPresumedFailed: daemon => daemon === failed}).map(({daemon}) => daemon);
	expect(listMissing('')).toEqual(['e3', 'e4']);
	expect(listMissing('e4')).toEqual(['e3']);
});

test('what is not known to be granted is reserved until the missing holder has written', () => {
	const grants = createRegistry([buildRecord('e1', 300, 1)]);
	const record = buildRecoveryRecord(2, {missing: ['e1/i1'], grants, table});
	expect(record.reserved).toEqual({c1: 700});
	grants.putRecovery(record);
	expect(grants.sumGranted('c1')).toBe(1000);
	grants.put('e1/i1', {...buildRecord('e1', 400, 2), sequence: 2});
	expect(grants.sumGranted('c1')).toBe(400);
});

test('what is reserved for a missing holder stays reserved in the next recovery', () => {
	const grants = createRegistry([buildRecord('e1', 300, 1)]);
	grants.putRecovery(buildRecoveryRecord(2, {missing: ['e1/i1'], grants, table}));
	const next = buildRecoveryRecord(3, {missing: [], grants, table});
	expect(next).toMatchObject({epoch: 3, reserved: {c1: 700}, missing: ['e1/i1']});
});

test('if no gateway remembers the grants, only what is bought later can be claimed', () => {
	const grants = createRegistry([buildRecord('e1', 300, 1)]);
	grants.putRecovery(buildUnknownGrantsRecord(2, {grants, table}));
	grants.put('e2/i1', buildRecord('e2', 0, 2));
	expect(grants.sumGranted('c1')).toBe(1000);
	expect(grants.listMissing()).toEqual([anyHolder]);
});

test('a gateway keeps what the recovery counts or reserves for it', () => {
	// Guards against tokens that a gateway has been granted in the lost history and that others claim again.
	const recovery = {
		epoch: 2, reserved: {c1: 700}, missing: ['e1/i1'], sequences: {},
	};
	expect(computeCovered(400, 'c1', {recovery, key: 'e1/i1', logged: undefined})).toBe(400);
	expect(computeCovered(400, 'c1', {recovery, key: 'e2/i1', logged: buildRecord('e2', 150)})).toBe(150);
	expect(computeCovered(400, 'c1', {recovery, key: 'e2/i1', logged: undefined})).toBe(0);
});

test('of two records of a holder the newer one holds, in whichever order they are read', () => {
	// Guards against a backup of the log that returns tokens which a holder has released.
	const grants = createRegistry([{...buildRecord('e1', 50), sequence: 3}]);
	grants.dropLogged();
	grants.put('e1/i1', {...buildRecord('e1', 200), sequence: 2});
	expect(grants.sumGranted('c1')).toBe(50);
	expect(grants.listUnlogged().map(({key}) => key)).toEqual(['e1/i1']);
});
