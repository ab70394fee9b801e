/**
 * Appends records to the platform's log, in groups, and finds out what became
 * of an append whose answer was lost.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type LogRecord, type Result,
} from '../protocol/mod.js';
import type {FleetState} from '../state/mod.js';
import type {Clock, LogClient} from '../transport/mod.js';
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
	/** Tells from the folded state that the record has been folded, whatever it came to. */
	readonly isFolded: (state: FleetState) => boolean;
	/** Ends the attempt; the record may stand on the log all the same. */
	readonly signal: AbortSignal;
};

/** Appends records. */
export type LogWriter = ReturnType<typeof createLogWriter>;

type Waiting = {
	readonly records: readonly LogRecord[];
	readonly resolve: (result: Result<undefined, Failure>) => void;
};

const retryPause = 250;

/**
 * Creates a writer.
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
	let waiting: Waiting[] = [];
	let isWriting = false;
	let appends = 0;

	// Group commit: whatever arrives during one append goes out with the next, so a burst costs two appends.
	async function drain(): Promise<void> {
		isWriting = true;
		while (waiting.length > 0) {
			const group = waiting;
			waiting = [];
			appends += 1;
			const result = await log.append(group.flatMap(item => item.records));
			for (const item of group) {
				item.resolve(result);
			}
		}

		isWriting = false;
	}

	async function append(records: readonly LogRecord[]): Promise<Result<undefined, Failure>> {
		return new Promise(resolve => {
			waiting.push({records, resolve});
			if (!isWriting) {
				void drain();
			}
		});
	}

	// The answer was lost, not necessarily the record: only a read that began later can tell.
	async function readAfterLoss(signal: AbortSignal): Promise<void> {
		do {
			await clock.sleep(retryPause, signal);
		} while (!signal.aborted && !await follower.catchUp());
	}

	return {
		append,
		countAppends: () => appends,

		/**
		 * Appends a record and waits until it was read back.
		 *
		 * An append whose answer is lost may have taken effect. It is looked
		 * for in the log and appended again only when it is not there; a copy
		 * that arrives late all the same folds to nothing.
		 */
		async commit(record: LogRecord, commit: CommitOptions): Promise<Result<undefined, Failure>> {
			const {isFolded, signal} = commit;
			while (!signal.aborted) {
				const appended = await append([record]);
				if (appended.ok) {
					if (await follower.waitFor(isFolded, signal)) {
						return Ok(undefined);
					}

					break;
				}

				events.write('answerLost', {kind: record.kind});
				await readAfterLoss(signal);
				if (isFolded(follower.state())) {
					return Ok(undefined);
				}
			}

			return Err(createFailure('log-unavailable', `The log did not confirm a "${record.kind}" record in time`, {ran: 'unknown', retryAfterMs: 2000}));
		},
	};
}
