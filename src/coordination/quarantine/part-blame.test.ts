import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {PartRecord} from '../../state/mod.js';
import {countSeparateCrashes, decideBlame, type LastRead} from '../mod.js';

/** Interval between crashes that count separately. */
const intervalMs = 1000;

/** Builds the record of a part that was present when the upstreams crashed, one crash a second. */
function buildRecord(digest: string, upstreams: readonly number[]): PartRecord {
	return {
		digest, round: 0, trials: 0, crashes: upstreams.map(upstream => ({upstream, at: upstream * intervalMs})),
	};
}

function decide(records: readonly PartRecord[], lastRead: Readonly<Record<string, LastRead>> = {}) {
	return Object.fromEntries(decideBlame(records, {findLastRead: digest => lastRead[digest] ?? 'never'}).map(({level, digests}) => [digests.join('+'), level]));
}

test('a part is suspected after two crashes and held back after three', () => {
	expect(decide([buildRecord('bad', [1])])).toEqual({});
	expect(decide([buildRecord('bad', [1, 2])])).toEqual({bad: 'suspected'});
	expect(decide([buildRecord('bad', [1, 2, 3])])).toEqual({bad: 'held'});
});

// Guards against holding back sound parts that were present at the same crashes as their cause.
test('crashes that another part explains count against no other', () => {
	expect(decide([buildRecord('common', [2, 3, 4]), buildRecord('bad', [1, 2, 3, 4]), buildRecord('rare', [1, 3, 4])])).toEqual({bad: 'held'});
});

// Guards against refusing nearly all requests because nothing was answered between the first crashes.
test('of parts that were present at the same crashes, those never answered are blamed', () => {
	const records = [buildRecord('common', [1, 2, 3]), buildRecord('bad', [1, 2, 3])];
	expect(decide(records, {common: 'earlier'})).toEqual({bad: 'held'});
	expect(decideBlame(records, {findLastRead: () => 'never'})).toEqual([{level: 'held', digests: ['common', 'bad']}]);
});

// Guards against blaming the common part because the record of the cause has not reached all gateways.
test('a part that was answered before is not blamed for one crash more than another explains', () => {
	expect(decide([buildRecord('common', [1, 2, 3]), buildRecord('bad', [2, 3])], {common: 'earlier'})).toEqual({bad: 'suspected'});
});

// Guards against a part that becomes harmful with a release and is never held back because it was answered before it.
test('a part that was answered before is held back after five crashes', () => {
	expect(decide([buildRecord('bad', [1, 2, 3, 4])], {bad: 'earlier'})).toEqual({bad: 'suspected'});
	expect(decide([buildRecord('bad', [1, 2, 3, 4, 5])], {bad: 'earlier'})).toEqual({bad: 'held'});
});

// Guards against blaming the common part after a restart of all gateways.
test('a part is held back after five crashes where it is unknown whether upstreams have read it', () => {
	expect(decide([buildRecord('bad', [1, 2, 3, 4])], {bad: 'unknown'})).toEqual({bad: 'suspected'});
	expect(decide([buildRecord('bad', [1, 2, 3, 4, 5])], {bad: 'unknown'})).toEqual({bad: 'held'});
});

// Guards against blaming the common part when no answers come for a while, as after a crash of all upstreams.
test('a part that was read a moment ago is held back after eight crashes', () => {
	const common = (count: number) => buildRecord('common', Array.from({length: count}, (_, index) => index));
	expect(decide([common(4), buildRecord('bad', [1, 2, 3])], {common: 'recently'})).toEqual({bad: 'held'});
	expect(decide([common(7)], {common: 'recently'})).toEqual({common: 'suspected'});
	expect(decide([common(8)], {common: 'recently'})).toEqual({common: 'held'});
});

test('two parts that crash upstreams are both held back', () => {
	expect(decide([buildRecord('bad', [1, 3, 5]), buildRecord('worse', [2, 4, 6, 7]), buildRecord('rare', [3, 4])])).toEqual({bad: 'held', worse: 'held'});
});

// Guards against blaming the parts of all requests when a failure domain or a whole service crashes at once.
test('crashes that happen together count once', () => {
	const crashes = [0, 10, 40, 90, 149].map((at, upstream) => ({upstream, at}));
	expect(countSeparateCrashes(crashes)).toBe(1);
	expect(decide([{
		digest: 'common', round: 0, trials: 0, crashes,
	}])).toEqual({});
});

test('crashes that follow each other without a pause still count', () => {
	expect(countSeparateCrashes(Array.from({length: 31}, (_, upstream) => ({upstream, at: upstream * 10})))).toBe(3);
});

// A wrong first choice among parts of the same requests must correct itself with the next crash.
test('the part that is present at every crash is held back, whatever stands beside it', () => {
	const companions = fc.subarray(['p1', 'p2', 'p3', 'p4', 'p5']);
	fc.assert(fc.property(fc.array(companions, {minLength: 5, maxLength: 12}), requests => {
		const crashesByPart = new Map<string, number[]>();
		for (const [index, parts] of requests.entries()) {
			for (const part of ['bad', ...parts]) {
				crashesByPart.set(part, [...crashesByPart.get(part) ?? [], index]);
			}
		}

		const records = [...crashesByPart].map(([digest, upstreams]) => buildRecord(digest, upstreams));
		const [first] = decideBlame(records, {findLastRead: () => 'never'});
		expect(first?.level).toBe('held');
		expect(first?.digests).toContain('bad');
		// A part in the same group was in every request.
		expect(first!.digests.every(digest => digest === 'bad' || requests.every(parts => parts.includes(digest)))).toBe(true);
	}));
});
