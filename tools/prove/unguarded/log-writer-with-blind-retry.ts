/**
 * Log writer that repeats an append whose answer was lost without checking whether
 * the record is already in the log.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createLogWriter as createGuarded, type CreateLogWriterOptions, type LogWriter} from '../../../src/coordination/store/log-writer.js';

export * from '../../../src/coordination/store/log-writer.js';

export function createLogWriter(options: CreateLogWriterOptions): LogWriter {
	const writer = createGuarded(options);
	return {
		...writer,
		async commit(record, commit) {
			let appended = await writer.append([record]);
			while (appended.err && !commit.signal.aborted) {
				appended = await writer.append([record]);
			}

			await options.follower.waitFor(commit.isFolded, commit.signal);
			return appended;
		},
	};
}
