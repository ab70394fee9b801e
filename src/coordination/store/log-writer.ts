/**
 * Appends records to the platform's log in batches, and determines the outcome
 * of an append whose answer was lost.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type LogRecord, type Result,
} from '../../protocol/mod.js';
import type {FleetState} from '../../state/mod.js';
import type {Clock, LogClient} from '../../transport/mod.js';
import type {LogFollower} from './log-follower.js';

/** Options of {@linkcode createLogWriter}. */
export type CreateLogWriterOptions = {
	readonly log: LogClient;
	readonly follower: LogFollower;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Options of {@linkcode LogWriter.commit}. */
export type CommitOptions = {
	/** Returns whether the record has been folded into the state, whatever its effect was. */
	readonly isFolded: (state: FleetState) => boolean;
	/** Aborts the attempt; the record may be recorded in the log all the same. */
	readonly signal: AbortSignal;
};

/** Appends records to the platform's log. */
export type LogWriter = ReturnType<typeof createLogWriter>;

type PendingAppend = {
	readonly records: readonly LogRecord[];
	readonly resolve: (result: Result<undefined, Failure>) => void;
};

const retryDelayMs = 250;

/**
 * Creates a writer to the platform's log.
 *
 * @example
 * ```ts
 * const writer = createLogWriter({log, follower, clock, events});
 * await writer.commit(claim, {isFolded: state => state.ledger.findGrant(claim.grant) !== undefined, signal});
 * ```
 *
 * @param options The log and its follower
 * @returns The writer
 */
export function createLogWriter(options: CreateLogWriterOptions) {
	const {log, follower, clock, events} = options;
	let pending: PendingAppend[] = [];
	let isWriting = false;
	let appends = 0;

	// Group commit: records that arrive during an append are sent together in the next one, so a burst costs two appends.
	async function flush(): Promise<void> {
		isWriting = true;
		while (pending.length > 0) {
			const batch = pending;
			pending = [];
			appends += 1;
			const result = await log.append(batch.flatMap(item => item.records));
			for (const item of batch) {
				item.resolve(result);
			}
		}

		isWriting = false;
	}

	async function append(records: readonly LogRecord[]): Promise<Result<undefined, Failure>> {
		return new Promise(resolve => {
			pending.push({records, resolve});
			if (!isWriting) {
				void flush();
			}
		});
	}

	// The answer was lost, but the record may be in the log; only a read that starts later can show whether it is.
	async function catchUpAfterLostAnswer(signal: AbortSignal): Promise<void> {
		do {
			await clock.sleep(retryDelayMs, signal);
		} while (!signal.aborted && !await follower.catchUp());
	}

	return {
		append,
		countAppends: () => appends,

		/**
		 * Appends a record and waits until it has been read back.
		 *
		 * An append whose answer is lost may have taken effect. The record is
		 * appended again only if a later read of the log does not find it. If
		 * the first append is still carried out after that, the duplicate has
		 * no effect when it is folded.
		 */
		async commit(record: LogRecord, commitOptions: CommitOptions): Promise<Result<undefined, Failure>> {
			const {isFolded, signal} = commitOptions;
			while (!signal.aborted) {
				const appended = await append([record]);
				if (appended.ok) {
					if (await follower.waitFor(isFolded, signal)) {
						return Ok(undefined);
					}

					break;
				}

				events.write('answerLost', {kind: record.kind});
				await catchUpAfterLostAnswer(signal);
				if (isFolded(follower.state())) {
					return Ok(undefined);
				}
			}

			return Err(createFailure('log-unavailable', `The log did not confirm a "${record.kind}" record in time`, {ran: 'unknown', retryAfterMs: 2000}));
		},
	};
}
