import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createGrantRegistry, holderRecordSchema, recoveryRecordSchema, type HolderRecord,
} from './mod.js';

const customers = ['c1', 'c2'];

function buildRecord(daemon: string, granted: Record<string, number>, options: {readonly version?: number; readonly hasEnded?: boolean} = {}): HolderRecord {
	const {version = 1, hasEnded = false} = options;
	return {
		role: 'gateway', daemon, incarnation: 'i', address: 'a', failureDomain: 'd', version, sequence: 1, granted, hasEnded,
	};
}

// If the sum deviated from the records, a budget would be overspent, or would look spent while tokens remain.
test('sums and versions match the newest records', () => {
	const change = fc.record({
		daemon: fc.constantFrom('e1', 'e2', 'e3'), c1: fc.nat(1000), c2: fc.option(fc.nat(1000)), version: fc.nat(9),
	});
	fc.assert(fc.property(fc.array(change), changes => {
		const registry = createGrantRegistry();
		for (const {daemon, c1, c2, version} of changes) {
			registry.put(daemon, buildRecord(daemon, c2 === null ? {c1} : {c1, c2}, {version}));
		}

		for (const customer of customers) {
			for (const except of [undefined, 'e1']) {
				const counted = registry.list().filter(({daemon}) => daemon !== except).map(({granted}) => granted[customer] ?? 0);
				expect(registry.sumGranted(customer, except)).toBe(counted.reduce((sum, tokens) => sum + tokens, 0));
			}
		}

		expect(registry.findNewestVersion()).toBe(Math.max(...changes.map(({version}) => version)));
	}));
});

test('listRunning() omits a holder that has stopped', () => {
	const registry = createGrantRegistry();
	registry.put('e1', buildRecord('e1', {}));
	expect(registry.listRunning().map(({daemon}) => daemon)).toEqual(['e1']);
	registry.put('e1', buildRecord('e1', {}, {hasEnded: true}));
	expect(registry.listRunning()).toEqual([]);
});

test('a holder whose record cannot be read may have been granted all that was left', () => {
	// Guards against overspending while two versions of the program, of which one cannot read the records of the other, run together.
	const registry = createGrantRegistry();
	registry.put('e1', buildRecord('e1', {c1: 300}));
	registry.putUnreadable('e2');
	registry.reserveForUnreadable('c1', 1000);
	expect(registry.sumGranted('c1')).toBe(1000);
	registry.reserveForUnreadable('c1', 1400);
	expect(registry.sumGranted('c1')).toBe(1000);
	// The holder may have claimed what was bought since with its next record.
	registry.putUnreadable('e2');
	registry.reserveForUnreadable('c1', 1400);
	expect(registry.sumGranted('c1')).toBe(1400);
	registry.put('e2', buildRecord('e2', {c1: 50}));
	expect(registry.sumGranted('c1')).toBe(350);
});

test('an earlier record of a holder still counts when its next one cannot be read', () => {
	const registry = createGrantRegistry();
	registry.put('e1', buildRecord('e1', {c1: 300}));
	registry.putUnreadable('e1');
	registry.reserveForUnreadable('c1', 200);
	expect(registry.sumGranted('c1')).toBe(300);
	registry.reserveForUnreadable('c2', 200);
	expect(registry.sumGranted('c2')).toBe(200);
});

test('a record that is older than the one counted by a recovery may hide any grant', () => {
	// Guards against an append of an earlier epoch that takes effect late, when only a gateway that starts reads the log.
	const registry = createGrantRegistry();
	registry.putRecovery({
		epoch: 2, reserved: {}, missing: [], sequences: {e1: 6},
	});
	registry.put('e1', {...buildRecord('e1', {c1: 16}), sequence: 4});
	registry.reserveForUnreadable('c1', 1000);
	expect(registry.sumGranted('c1')).toBe(1000);
	registry.put('e1', {...buildRecord('e1', {c1: 29}), sequence: 6});
	expect(registry.sumGranted('c1')).toBe(29);
});

// Guards against a budget without a sum, or one whose grants nobody counts, because its customer has the name of a property
// that objects inherit.
test('the grants of customers who are named as a property of objects are counted as those of others', () => {
	const registry = createGrantRegistry();
	for (const customer of ['constructor', '__proto__', 'toString']) {
		registry.put('e1', buildRecord('e1', {}));
		expect(registry.sumGranted(customer, 'e1')).toBe(0);
		const written = JSON.stringify(buildRecord('e1', Object.fromEntries([[customer, 300]])));
		registry.put('e1', holderRecordSchema.parse(JSON.parse(written)));
		expect([registry.sumGranted(customer), registry.sumGranted(customer, 'e1')]).toEqual([300, 0]);
		registry.putRecovery(recoveryRecordSchema.parse(JSON.parse('{"epoch": 2, "reserved": {}, "missing": ["*"], "sequences": {}}')));
		expect(registry.sumGranted(customer, 'e1')).toBe(0);
		registry.putRecovery(recoveryRecordSchema.parse(JSON.parse(`{"epoch": 2, "reserved": {"${customer}": 70}, "missing": ["*"], "sequences": {}}`)));
		expect(registry.sumGranted(customer, 'e1')).toBe(70);
	}
});

test('a record with an amount that is no number or below zero is refused', () => {
	const record = buildRecord('e1', {c1: 5});
	expect(holderRecordSchema.safeParse(record).success).toBe(true);
	for (const granted of [{c1: -1}, {c1: '5'}, {c1: Number.NaN}, {c1: Number.POSITIVE_INFINITY}, {c1: null}, [5], null, undefined, 'c1']) {
		expect(holderRecordSchema.safeParse({...record, granted}).success, JSON.stringify(granted)).toBe(false);
	}
});
