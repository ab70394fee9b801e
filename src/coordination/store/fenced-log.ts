/**
 * A log to which a process stops writing once it can no longer vouch for its
 * records.
 *
 * @module
 */
import {createFailure, type KeyedLog} from '../../protocol/mod.js';

/** Options of {@linkcode createFencedLog}. */
export type CreateFencedLogOptions = {
	/** Returns true once nothing may be written any more. */
	readonly isFenced: () => boolean;
};

/**
 * Wraps a log whose appends are refused from some time on.
 *
 * @example
 * ```ts
 * const log = createFencedLog(direct, {isFenced: () => hasFailed});
 * ```
 *
 * @param log The log
 * @param options When appends are refused
 * @returns The wrapped log, whose reads go on
 */
export function createFencedLog(log: KeyedLog, {isFenced}: CreateFencedLogOptions): KeyedLog {
	return {
		...log,
		append: async (record, options) => isFenced()
			? {kind: 'refused', failure: createFailure('leaving', 'This daemon records nothing after an unexpected error', {retryAfterMs: 0})}
			: log.append(record, options),
	};
}
