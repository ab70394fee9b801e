/**
 * A log of keyed records, of which the newest of each key is kept for good.
 *
 * @module
 */
import type {Failure} from './failures.js';
import type {Result} from './results.js';

/** A record; without a value it drops its key. */
export type KeyedRecord = {readonly key: string; readonly value?: string};

/** A record where it stands. */
export type StoredRecord = KeyedRecord & {readonly offset: number};

/** Records from an offset on, and where the log ends. */
export type KeyedPage = {readonly records: readonly StoredRecord[]; readonly end: number};

/** The newest record of each key; records after `end` may or may not be among them. */
export type NewestRecords = {readonly records: readonly StoredRecord[]; readonly end: number};

/** Why a read failed: the log is away, or it no longer keeps the offset asked for. */
export type KeyedReadFailure = {readonly kind: 'away'; readonly failure: Failure} | {readonly kind: 'gone'};

/**
 * What became of an append: `appended`; `behind`, as the log ends elsewhere
 * and nothing was done; `refused`, nothing was done; or `unknown`, it may have
 * been done or be done seconds later if the log still ends at the offset.
 */
export type AppendOutcome =
	| {readonly kind: 'appended'; readonly offset: number}
	| {readonly kind: 'behind'; readonly end: number}
	| {readonly kind: 'refused'; readonly failure: Failure}
	| {readonly kind: 'unknown'; readonly failure: Failure};

/** Options of {@linkcode KeyedLog.read}. */
export type ReadKeyedOptions = {
	/** Milliseconds for which the log may hold the answer back for a new record. */
	readonly wait: number;
	readonly signal: AbortSignal;
};

/** Options of {@linkcode KeyedLog.append}. */
export type AppendKeyedOptions = {
	/** Append only if the log ends here; default wherever it ends. */
	readonly at?: number;
};

/** Client of one keyed log. */
export type KeyedLog = {
	/** Its name in logs and metrics. */
	readonly name: string;
	readonly readNewest: () => Promise<Result<NewestRecords, Failure>>;
	readonly read: (from: number, options: ReadKeyedOptions) => Promise<Result<KeyedPage, KeyedReadFailure>>;
	readonly append: (record: KeyedRecord, options: AppendKeyedOptions) => Promise<AppendOutcome>;
};
