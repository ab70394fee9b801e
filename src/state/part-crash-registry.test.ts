import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	announcePart, createPartCrashRegistry, type PartAnnouncement, type PartCrashRegistry,
} from './mod.js';

const crashArbitrary = fc.record({upstream: fc.nat(4), ageMs: fc.constant(0)});
const recordArbitrary = fc.record({
	digest: fc.constantFrom('a', 'b'), round: fc.nat(2), trials: fc.nat(2), crashes: fc.uniqueArray(crashArbitrary, {selector: ({upstream}) => upstream}),
});

function listSorted(registry: PartCrashRegistry) {
	return registry.list().map(({digest, round, trials, crashes}) => ({
		digest, round, trials, upstreams: crashes.map(({upstream}) => upstream).sort((left, right) => left - right),
	})).sort((left, right) => left.digest < right.digest ? -1 : 1);
}

test('registries that merged the same records in any order agree', () => {
	fc.assert(fc.property(fc.array(recordArbitrary), fc.array(fc.nat()), (records, keys) => {
		// A registry does not store records without crashes of unknown parts, so both parts start with a crash.
		const first: PartAnnouncement[] = ['a', 'b'].map(digest => ({
			digest, round: 0, trials: 0, crashes: [{upstream: 0, ageMs: 0}],
		}));
		const shuffled = records.map((record, index) => ({record, key: keys[index] ?? 0})).sort((left, right) => left.key - right.key).map(({record}) => record);
		const [registry, other] = [[...first, ...records], [...first, ...shuffled, ...shuffled]].map(list => {
			const created = createPartCrashRegistry();
			for (const record of list) {
				created.merge(record, 0);
			}

			return created;
		});
		expect(listSorted(registry!)).toEqual(listSorted(other!));
	}));
});

// Guards against counting one crash as often as gateways had requests at the upstream.
test('the crash of one start of an upstream counts once', () => {
	const registry = createPartCrashRegistry();
	expect(registry.recordCrash('a', {upstream: 1, now: 0})).toBe(true);
	expect(registry.recordCrash('a', {upstream: 1, now: 5})).toBe(false);
	expect(registry.merge({
		digest: 'a', round: 0, trials: 0, crashes: [{upstream: 1, ageMs: 3}, {upstream: 2, ageMs: 1}],
	}, 10)).toBe(true);
	expect(registry.get('a')?.crashes).toEqual([{upstream: 1, at: 0}, {upstream: 2, at: 9}]);
});

// Guards against counting separate crashes as simultaneous ones, because a record of the log is read long after it was written.
test('of two accounts of a crash the earlier time is kept', () => {
	const registry = createPartCrashRegistry();
	const account = (ageMs: number) => ({
		digest: 'a', round: 0, trials: 0, crashes: [{upstream: 1, ageMs}],
	});
	registry.recordCrash('a', {upstream: 2, now: 900});
	registry.merge(account(100), 1000);
	expect(registry.merge(account(600), 1100)).toBe(true);
	expect(registry.get('a')?.crashes).toEqual([{upstream: 1, at: 500}, {upstream: 2, at: 900}]);
	expect(registry.merge(account(310), 1200)).toBe(false);
	expect(registry.merge(account(740), 1200)).toBe(false);
	expect(registry.get('a')?.crashes[0]).toEqual({upstream: 1, at: 500});
});

test('an answer empties the record and takes precedence over older ones', () => {
	const registry = createPartCrashRegistry();
	registry.recordCrash('a', {upstream: 1, now: 0});
	const older = announcePart(registry.get('a')!, 100);
	expect(older.crashes).toEqual([{upstream: 1, ageMs: 100}]);
	expect(registry.recordAnswer('a', 200)).toBe(true);
	expect(registry.merge(older, 300)).toBe(false);
	expect(registry.get('a')).toMatchObject({round: 1, trials: 0, crashes: []});
	expect(registry.getReadAt('a')).toBe(200);
});

// Guards against a caller who makes the fleet forget a held part with prompts of ever new parts.
test('a full registry evicts the records with the fewest crashes first, and keeps a limited number of parts that were read', () => {
	const registry = createPartCrashRegistry({maxRecords: 10, maxRead: 10});
	for (const upstream of [1, 2, 3]) {
		registry.recordCrash('held', {upstream, now: upstream});
	}

	for (let index = 0; index < 100; index += 1) {
		registry.recordCrash(`varied-${index}`, {upstream: 9, now: 10 + index});
		registry.recordAnswer(`answered-${index}`, index);
	}

	expect(registry.list()).toHaveLength(10);
	expect(registry.get('held')?.crashes).toHaveLength(3);
	expect([registry.getReadAt('answered-0'), registry.getReadAt('answered-99')]).toEqual([undefined, 99]);
	expect(registry.listReadSince(95, 3)).toEqual(['answered-99', 'answered-98', 'answered-97']);
});

test('a record has at most sixteen crashes', () => {
	const registry = createPartCrashRegistry();
	for (let upstream = 0; upstream < 20; upstream += 1) {
		registry.recordCrash('a', {upstream, now: upstream});
	}

	expect(registry.get('a')?.crashes).toHaveLength(16);
	expect(registry.recordCrash('a', {upstream: 20, now: 20})).toBe(false);
});

test('prune() deletes records unchanged for a day, and those of answered parts after a minute', () => {
	const registry = createPartCrashRegistry();
	registry.recordCrash('a', {upstream: 1, now: 0});
	registry.recordCrash('b', {upstream: 1, now: 0});
	registry.recordAnswer('b', 0);
	registry.prune(60_001);
	expect(registry.list().map(({digest}) => digest)).toEqual(['a']);
	registry.prune(86_400_001);
	expect(registry.isEmpty()).toBe(true);
});
