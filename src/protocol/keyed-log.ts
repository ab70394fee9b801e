/**
 * A log of keyed records that retains the newest record of each key indefinitely.
 *
 * @module
 */
import type {Failure} from './failures.js';
import type {Result} from './results.js';

/** A record. A record without a value deletes its key. */
export type KeyedRecord = {readonly key: string; readonly value?: string};

/** A record with its offset in the log. */
export type StoredRecord = KeyedRecord & {readonly offset: number};

/**
 * The history that an answer belongs to. The epoch increases when the log is
 * restored from a backup: later records are lost, and their offsets are assigned
 * again. An offset therefore has a meaning only within its epoch. Undefined if
 * the answer does not state it.
 */
export type LogEpoch = number | undefined;

/** Records from an offset on, and the end offset of the log. */
export type KeyedPage = {readonly records: readonly StoredRecord[]; readonly end: number; readonly epoch?: LogEpoch};

/** The newest record of each key up to `end`. Records after `end` may be included. */
export type NewestRecords = {readonly records: readonly StoredRecord[]; readonly end: number; readonly epoch?: LogEpoch};

/** Why a read failed. `away`: the log is unavailable; `gone`: the log does not have the requested offset. */
export type KeyedReadFailure =
	| {readonly kind: 'away'; readonly failure: Failure}
	| {readonly kind: 'gone'; readonly epoch?: LogEpoch};

/**
 * Outcome of an append:
 *
 * - `appended`: the record is in the log.
 * - `behind`: the log does not end at the expected offset. Nothing was appended.
 * - `refused`: nothing was appended.
 * - `unknown`: the record may have been appended, or may still be appended
 *   seconds later if the log then ends at the expected offset.
 */
export type AppendOutcome =
	| {readonly kind: 'appended'; readonly offset: number; readonly epoch?: LogEpoch}
	| {readonly kind: 'behind'; readonly end: number; readonly epoch?: LogEpoch}
	| {readonly kind: 'refused'; readonly failure: Failure}
	| {readonly kind: 'unknown'; readonly failure: Failure};

/** Options of {@linkcode KeyedLog.read}. */
export type ReadKeyedOptions = {
	/** Maximum time that the log waits for a new record before it answers, in milliseconds. */
	readonly waitMs: number;
	readonly signal: AbortSignal;
};

/** Options of {@linkcode KeyedLog.append}. */
export type AppendKeyedOptions = {
	/** Offset at which the log must end for the append to succeed; defaults to no condition. */
	readonly expectedEnd?: number;
};

/** Client of a keyed log. */
export type KeyedLog = {
	/** Name of the log in log events and metrics. */
	readonly name: string;
	readonly readNewest: () => Promise<Result<NewestRecords, Failure>>;
	readonly read: (from: number, options: ReadKeyedOptions) => Promise<Result<KeyedPage, KeyedReadFailure>>;
	readonly append: (record: KeyedRecord, options: AppendKeyedOptions) => Promise<AppendOutcome>;
};
