/**
 * A keyed log in memory, for tests: appends under a condition, lost answers,
 * appends that are carried out late, and absences.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type AppendOutcome, type KeyedLog, type KeyedRecord, type StoredRecord,
} from '../../src/protocol/mod.js';

/** What happens to the next appends: the answer is lost after or before the effect, or the append is carried out later. */
export type AppendFate = 'done' | 'lost-after' | 'lost-before' | 'late';

/** A keyed log in memory. */
export type FakeKeyedLog = {
	readonly records: StoredRecord[];
	/** Fates of the next appends, in order; then all are done. */
	readonly fates: AppendFate[];
	/** Carries out the appends that were to be late, each if its condition still holds. */
	readonly releaseLate: () => void;
	/** While true, nothing is done and nothing answers. */
	isAway: boolean;
	/** Reads from before this offset are told that it is gone. */
	first: number;
	/** Called as an append arrives, before it takes effect. */
	onAppend: () => void;
	/** A client of it. */
	readonly open: () => KeyedLog;
};

/**
 * Creates an empty log.
 *
 * @example
 * ```ts
 * const log = createFakeKeyedLog();
 * await log.open().append({key: 'a', value: '1'}, {at: 0});
 * ```
 *
 * @returns The log
 */
export function createFakeKeyedLog(): FakeKeyedLog {
	const records: StoredRecord[] = [];
	const late: Array<{record: KeyedRecord; at: number | undefined}> = [];
	const away = createFailure('log-unavailable', 'The log is away');

	function put(record: KeyedRecord, at: number | undefined): AppendOutcome {
		if (at !== undefined && at !== records.length) {
			return {kind: 'behind', end: records.length};
		}

		records.push({...record, offset: records.length});
		return {kind: 'appended', offset: records.length - 1};
	}

	function append(record: KeyedRecord, at: number | undefined): AppendOutcome {
		if (fake.isAway) {
			return {kind: 'unknown', failure: away};
		}

		const fate = fake.fates.shift() ?? 'done';
		if (fate === 'done') {
			return put(record, at);
		}

		if (fate === 'lost-after') {
			put(record, at);
		} else if (fate === 'late') {
			late.push({record, at});
		}

		return {kind: 'unknown', failure: away};
	}

	function listNewest(): StoredRecord[] {
		const newest = new Map(records.map(record => [record.key, record]));
		return [...newest.values()].filter(({value}) => value !== undefined);
	}

	const fake: FakeKeyedLog = {
		records,
		fates: [],
		isAway: false,
		first: 0,
		onAppend: () => undefined,
		releaseLate() {
			for (const {record, at} of late.splice(0)) {
				put(record, at);
			}
		},
		open: () => ({
			name: 'fake',
			readNewest: async () => fake.isAway ? Err(away) : Ok({records: listNewest(), end: records.length}),
			async read(from) {
				if (fake.isAway) {
					return Err({kind: 'away', failure: away});
				}

				return from < fake.first ? Err({kind: 'gone'}) : Ok({records: records.slice(from), end: records.length});
			},
			async append(record, {expectedEnd}) {
				fake.onAppend();
				return append(record, expectedEnd);
			},
		}),
	};
	return fake;
}
