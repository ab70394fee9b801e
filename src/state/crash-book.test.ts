import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createCrashBook, type CrashBook, type CrashRecord} from './mod.js';

const recordArbitrary = fc.record({digest: fc.constantFrom('a', 'b'), round: fc.nat(3), crashes: fc.nat(4)});

function listPlain(records: readonly CrashRecord[]): CrashRecord[] {
	return records.map(({digest, round, crashes}) => ({digest, round, crashes})).sort((left, right) => left.digest < right.digest ? -1 : 1);
}

function noteCrashes(book: CrashBook, digest: string, count: number): void {
	for (let crash = 0; crash < count; crash += 1) {
		book.noteCrash(digest, {before: book.get(digest), now: 0});
	}
}

test('books that took the same records in any order agree', () => {
	fc.assert(fc.property(fc.array(recordArbitrary), fc.array(fc.nat()), (records, keys) => {
		const book = createCrashBook();
		const other = createCrashBook();
		// A request that was only ever answered need not be known.
		const known = [{digest: 'a', round: 0, crashes: 1}, {digest: 'b', round: 0, crashes: 1}, ...records];
		const shuffled = known.map((record, index) => ({record, key: keys[index] ?? 0})).sort((left, right) => left.key - right.key).map(({record}) => record);
		for (const record of known) {
			book.take(record, 0);
		}

		for (const record of [...known.slice(0, 2), ...shuffled, ...shuffled]) {
			other.take(record, 0);
		}

		expect(listPlain(book.list())).toEqual(listPlain(other.list()));
	}));
});

test('a crash under a run that began before the last one was known does not count again', () => {
	const book = createCrashBook();
	book.noteCrash('a', {before: undefined, now: 0});
	expect(book.noteCrash('a', {before: undefined, now: 5})).toBe(false);
	expect(book.count('a')).toBe(1);
	book.noteCrash('a', {before: book.get('a'), now: 10});
	expect(book.count('a')).toBe(2);
});

test('a crash under a run that began before an answer counts as the first', () => {
	const book = createCrashBook();
	noteCrashes(book, 'a', 2);
	const before = book.get('a');
	book.noteAnswered('a', 5);
	book.noteCrash('a', {before, now: 10});
	expect(book.count('a')).toBe(1);
});

test('an answer ends the row, also against older news of it', () => {
	const book = createCrashBook();
	const other = createCrashBook();
	noteCrashes(book, 'a', 3);
	other.take(book.get('a')!, 0);
	book.noteAnswered('a', 10);
	expect(book.take(other.get('a')!, 20)).toBe(false);
	expect(book.count('a')).toBe(0);
	expect(other.take(book.get('a')!, 20)).toBe(true);
	expect(other.count('a')).toBe(0);
});

// Guards against a memory that grows with each request that a caller varies by a byte.
test('at its bound the book drops what has the fewest crashes first', () => {
	const book = createCrashBook({limit: 10});
	noteCrashes(book, 'held', 3);

	for (let index = 0; index < 100; index += 1) {
		book.noteCrash(`varied-${index}`, {before: undefined, now: index + 1});
	}

	expect(book.list()).toHaveLength(10);
	expect(book.count('held')).toBe(3);
	expect(book.count('varied-99')).toBe(1);
	expect(book.count('varied-0')).toBe(0);
});

test('what has not changed for an hour is forgotten, what was answered after a minute', () => {
	const book = createCrashBook();
	noteCrashes(book, 'a', 1);
	noteCrashes(book, 'b', 1);
	book.noteAnswered('b', 0);
	book.prune(60_001);
	expect(book.get('b')).toBeUndefined();
	expect(book.count('a')).toBe(1);
	book.prune(3_600_001);
	expect(book.isEmpty()).toBe(true);
});
