import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createCrashRegistry, type CrashRegistry, type CrashRecord} from './mod.js';

const recordArbitrary = fc.record({digest: fc.constantFrom('a', 'b'), round: fc.nat(3), crashes: fc.nat(4)});

function listSortedRecords(records: readonly CrashRecord[]): CrashRecord[] {
	return records.map(({digest, round, crashes}) => ({digest, round, crashes})).sort((left, right) => left.digest < right.digest ? -1 : 1);
}

function recordCrashes(registry: CrashRegistry, digest: string, count: number): void {
	for (let crash = 0; crash < count; crash += 1) {
		registry.recordCrash(digest, {before: registry.get(digest), now: 0});
	}
}

test('registries that merged the same records in any order agree', () => {
	fc.assert(fc.property(fc.array(recordArbitrary), fc.array(fc.nat()), (records, keys) => {
		const registry = createCrashRegistry();
		const otherRegistry = createCrashRegistry();
		// A registry does not store records without crashes of unknown requests, so both requests start with a crash.
		const known = [{digest: 'a', round: 0, crashes: 1}, {digest: 'b', round: 0, crashes: 1}, ...records];
		const shuffled = known.map((record, index) => ({record, key: keys[index] ?? 0})).sort((left, right) => left.key - right.key).map(({record}) => record);
		for (const record of known) {
			registry.merge(record, 0);
		}

		for (const record of [...known.slice(0, 2), ...shuffled, ...shuffled]) {
			otherRegistry.merge(record, 0);
		}

		expect(listSortedRecords(registry.list())).toEqual(listSortedRecords(otherRegistry.list()));
	}));
});

test('a crash during a run that began before the last crash was known is not counted again', () => {
	const registry = createCrashRegistry();
	registry.recordCrash('a', {before: undefined, now: 0});
	expect(registry.recordCrash('a', {before: undefined, now: 5})).toBe(false);
	expect(registry.count('a')).toBe(1);
	registry.recordCrash('a', {before: registry.get('a'), now: 10});
	expect(registry.count('a')).toBe(2);
});

test('a crash during a run that began before an answer counts as the first crash', () => {
	const registry = createCrashRegistry();
	recordCrashes(registry, 'a', 2);
	const before = registry.get('a');
	registry.recordAnswer('a', 5);
	registry.recordCrash('a', {before, now: 10});
	expect(registry.count('a')).toBe(1);
});

test('an answer resets the count and takes precedence over older records', () => {
	const registry = createCrashRegistry();
	const otherRegistry = createCrashRegistry();
	recordCrashes(registry, 'a', 3);
	otherRegistry.merge(registry.get('a')!, 0);
	registry.recordAnswer('a', 10);
	expect(registry.merge(otherRegistry.get('a')!, 20)).toBe(false);
	expect(registry.count('a')).toBe(0);
	expect(otherRegistry.merge(registry.get('a')!, 20)).toBe(true);
	expect(otherRegistry.count('a')).toBe(0);
});

// Memory must not grow with each request that a caller varies by a byte.
test('a full registry evicts the records with the fewest crashes first', () => {
	const registry = createCrashRegistry({maxRecords: 10});
	recordCrashes(registry, 'held', 3);

	for (let index = 0; index < 100; index += 1) {
		registry.recordCrash(`varied-${index}`, {before: undefined, now: index + 1});
	}

	expect(registry.list()).toHaveLength(10);
	expect(registry.count('held')).toBe(3);
	expect(registry.count('varied-99')).toBe(1);
	expect(registry.count('varied-0')).toBe(0);
});

test('prune() deletes records unchanged for an hour, and those of answered requests after a minute', () => {
	const registry = createCrashRegistry();
	recordCrashes(registry, 'a', 1);
	recordCrashes(registry, 'b', 1);
	registry.recordAnswer('b', 0);
	registry.prune(60_001);
	expect(registry.get('b')).toBeUndefined();
	expect(registry.count('a')).toBe(1);
	registry.prune(3_600_001);
	expect(registry.isEmpty()).toBe(true);
});
