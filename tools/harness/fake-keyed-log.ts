/**
 * In-memory keyed log for tests. It supports conditional appends and simulates
 * lost answers, delayed appends, outages and restores from a backup.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type AppendOutcome, type KeyedLog, type KeyedRecord, type StoredRecord,
} from '../../src/protocol/mod.js';

/**
 * How the log handles an append: it succeeds (`done`), takes effect without an
 * answer (`lost-after`), has no effect and no answer (`lost-before`), or takes
 * effect later without an answer (`late`).
 */
export type AppendBehavior = 'done' | 'lost-after' | 'lost-before' | 'late';

/** An in-memory keyed log with simulated faults. */
export type FakeKeyedLog = {
	readonly records: StoredRecord[];
	/** Behavior of the next appends, in order; the appends after them succeed. */
	readonly appendBehaviors: AppendBehavior[];
	/** Applies the delayed appends whose condition still holds. */
	readonly applyDelayedAppends: () => void;
	/** While true, reads and appends fail and nothing is stored. */
	isUnavailable: boolean;
	/** First retained offset; reads from an earlier one fail with `gone`. */
	firstOffset: number;
	/** Number of times that the log was restored; undefined if its answers do not state it. */
	epoch: number | undefined;
	/** Called when an append arrives, before it takes effect. */
	onAppend: () => void;
	/** Restores the log from a backup of its first `length` records, which begins the next epoch. */
	readonly restore: (length: number) => void;
	/** Creates a client of this log. */
	readonly open: () => KeyedLog;
};

/**
 * Creates an empty in-memory log.
 *
 * @example
 * ```ts
 * const log = createFakeKeyedLog();
 * await log.open().append({key: 'a', value: '1'}, {expectedEnd: 0});
 * ```
 *
 * @returns The log
 */
export function createFakeKeyedLog(): FakeKeyedLog {
	const records: StoredRecord[] = [];
	const delayedAppends: Array<{record: KeyedRecord; expectedEnd: number | undefined}> = [];
	const unavailable = createFailure('log-unavailable', 'The log is unavailable');

	function appendIfExpected(record: KeyedRecord, expectedEnd: number | undefined): AppendOutcome {
		if (expectedEnd !== undefined && expectedEnd !== records.length) {
			return {kind: 'behind', end: records.length, epoch: fake.epoch};
		}

		records.push({...record, offset: records.length});
		return {kind: 'appended', offset: records.length - 1, epoch: fake.epoch};
	}

	function simulateAppend(record: KeyedRecord, expectedEnd: number | undefined): AppendOutcome {
		if (fake.isUnavailable) {
			return {kind: 'unknown', failure: unavailable};
		}

		const behavior = fake.appendBehaviors.shift() ?? 'done';
		if (behavior === 'done') {
			return appendIfExpected(record, expectedEnd);
		}

		if (behavior === 'lost-after') {
			appendIfExpected(record, expectedEnd);
		} else if (behavior === 'late') {
			delayedAppends.push({record, expectedEnd});
		}

		return {kind: 'unknown', failure: unavailable};
	}

	function listNewest(): StoredRecord[] {
		const newest = new Map(records.map(record => [record.key, record]));
		return [...newest.values()].filter(({value}) => value !== undefined);
	}

	const fake: FakeKeyedLog = {
		records,
		appendBehaviors: [],
		isUnavailable: false,
		firstOffset: 0,
		epoch: undefined,
		onAppend: () => undefined,
		restore(length) {
			records.splice(length);
			fake.epoch = (fake.epoch ?? 0) + 1;
		},
		applyDelayedAppends() {
			for (const {record, expectedEnd} of delayedAppends.splice(0)) {
				appendIfExpected(record, expectedEnd);
			}
		},
		open: () => ({
			name: 'fake',
			readNewest: async () => fake.isUnavailable ? Err(unavailable) : Ok({records: listNewest(), end: records.length, epoch: fake.epoch}),
			async read(from) {
				if (fake.isUnavailable) {
					return Err({kind: 'away', failure: unavailable});
				}

				return from < fake.firstOffset || from > records.length
					? Err({kind: 'gone', epoch: fake.epoch})
					: Ok({records: records.slice(from), end: records.length, epoch: fake.epoch});
			},
			async append(record, {expectedEnd}) {
				fake.onAppend();
				return simulateAppend(record, expectedEnd);
			},
		}),
	};
	return fake;
}
