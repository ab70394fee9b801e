/**
 * Repeats an append whose answer was lost without looking for it. For a proof without its guard.
 *
 * @module
 */
import {createLogWriter as createGuarded, type CreateLogWriterOptions, type LogWriter} from '../../../src/coordination/log-writer.js';

export * from '../../../src/coordination/log-writer.js';

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
