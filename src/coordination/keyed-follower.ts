/**
 * Follows a keyed log and hands on its records in order.
 *
 * @module
 */
import {
	createFailure, type EventLog, type Failure, type KeyedLog, type StoredRecord,
} from '../protocol/mod.js';
import {waitAtMost, type Clock} from '../transport/mod.js';

/** A span in which the log did not answer, in milliseconds of the steady clock. */
export type Absence = {
	/** When the last read before it that was answered was sent. */
	readonly from: number;
	/** When the last read that failed was sent: the log was still away then. */
	readonly until: number;
	/** When a read was answered again. */
	readonly answeredAt: number;
};

/** Options of {@linkcode createKeyedFollower}. */
export type CreateKeyedFollowerOptions = {
	readonly log: KeyedLog;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Milliseconds that a read may wait for a new record; 0 asks and comes back. */
	readonly wait: number;
	/** Pause between reads, in milliseconds. */
	readonly every: number;
	/** A read that is not answered this long after its wait, in milliseconds, counts as failed and another is sent beside it; default never. */
	readonly patience?: number;
	/** Takes a record; called once for each, in order of offset. */
	readonly onRecord: (record: StoredRecord) => void;
	/** Names the keys known, so that those missing after a gap count as dropped. */
	readonly listKeys?: () => string[];
	/** Called when the log answers again, before records are handed on. */
	readonly onReturn?: (absence: Absence) => void;
};

/** What became of a read within its time. */
type ReadResult = 'answered' | 'failed' | 'hanging';

/** Follows a keyed log. */
export type KeyedFollower = ReturnType<typeof createKeyedFollower>;

/** Pause after a failed read, in milliseconds: a store that is back is noticed in a fraction of a second. */
const retryPause = 200;

/**
 * Creates a follower; `run` is its task.
 *
 * @example
 * ```ts
 * const follower = createKeyedFollower({log, clock, events, wait: 1500, every: 0, onRecord: fold});
 * void follower.run(signal);
 * ```
 *
 * @param options The log and what takes its records
 * @returns The follower
 */
export function createKeyedFollower(options: CreateKeyedFollowerOptions) {
	const {log, clock, events, onRecord} = options;
	let next: number | undefined;
	let isUp = false;
	let failedAt: number | undefined;
	let answeredAt: number | undefined;
	let reading: Promise<boolean> | undefined;
	// A read that hangs was waited for long enough.
	const pauses: Record<ReadResult, number> = {answered: options.every, failed: retryPause, hanging: 0};

	function noteReturn(): void {
		const now = clock.now();
		events.write('logBack', {log: log.name, next, awayMs: answeredAt === undefined ? undefined : Math.round(now - answeredAt)});
		if (answeredAt !== undefined && failedAt !== undefined) {
			options.onReturn?.({from: answeredAt, until: failedAt, answeredAt: now});
		}
	}

	// Called before an answer's records are handed on, so that their taker knows of the absence.
	function noteAnswer(): void {
		if (!isUp) {
			noteReturn();
		}

		isUp = true;
	}

	// Called after them: what they bring was unknown until now.
	function noteFolded(askedAt: number): void {
		answeredAt = Math.max(answeredAt ?? askedAt, askedAt);
	}

	// Of reads that overlap, one that was sent before the last answered one says nothing new by its failure.
	function noteFailure(askedAt: number, failure: Failure): void {
		if (answeredAt !== undefined && askedAt < answeredAt) {
			return;
		}

		if (isUp) {
			events.write('logLost', {
				log: log.name, next, ms: Math.round(clock.now() - askedAt), detail: failure.detail,
			});
		}

		isUp = false;
		failedAt = Math.max(failedAt ?? askedAt, askedAt);
	}

	function fold(records: readonly StoredRecord[], from: number): void {
		for (const record of records) {
			if (record.offset >= from) {
				onRecord(record);
			}
		}
	}

	async function readNewest(): Promise<boolean> {
		const askedAt = clock.now();
		const newest = await log.readNewest();
		if (newest.err) {
			noteFailure(askedAt, newest.val);
			return false;
		}

		noteAnswer();
		const {records, end} = newest.val;
		// An answer that was overtaken by a newer one lacks keys that are there by now.
		if (end < (next ?? 0)) {
			return true;
		}

		const missing = new Set(options.listKeys?.());
		for (const record of records) {
			missing.delete(record.key);
		}

		fold(records.toSorted((left, right) => left.offset - right.offset), next ?? 0);
		for (const key of missing) {
			onRecord({key, offset: end});
		}

		next = Math.max(next ?? 0, end);
		noteFolded(askedAt);
		return true;
	}

	async function readOn(from: number, wait: number, signal: AbortSignal): Promise<boolean> {
		const askedAt = clock.now();
		const page = await log.read(from, {wait, signal});
		if (page.ok) {
			noteAnswer();
			// A read that waited may end after another one has folded the same records.
			fold(page.val.records, next ?? from);
			next = Math.max(next ?? 0, (page.val.records.at(-1)?.offset ?? from - 1) + 1);
			noteFolded(askedAt);
			return true;
		}

		if (page.val.kind === 'gone') {
			return readNewest();
		}

		if (!signal.aborted) {
			noteFailure(askedAt, page.val.failure);
		}

		return false;
	}

	async function readNext(wait: number, signal: AbortSignal): Promise<boolean> {
		return next === undefined ? readNewest() : readOn(next, wait, signal);
	}

	// Guards against a read that hangs for seconds, on a way that fell silent, while new ones are answered: requests would
	// go by what was known before it, and a log that is back would be taken for away. The read itself goes on, since its
	// answer may still come first.
	async function readPatiently(signal: AbortSignal): Promise<ReadResult> {
		const askedAt = clock.now();
		const pending = readNext(options.wait, signal);
		if (options.patience === undefined) {
			return await pending ? 'answered' : 'failed';
		}

		const span = options.wait + options.patience;
		const isRead = await waitAtMost(pending, {clock, span});
		if (isRead === undefined && !signal.aborted) {
			noteFailure(askedAt, createFailure('log-unavailable', `A read was not answered within ${span} ms`));
			return 'hanging';
		}

		return isRead ? 'answered' : 'failed';
	}

	return {
		/** Offset of the next record wanted; undefined before the first read. */
		next: () => next,
		isUp: () => isUp,
		/** Whole milliseconds since the last answered read was sent: what is newer may be unknown. Undefined before the first. */
		countSinceAnswer: (): number | undefined => answeredAt === undefined ? undefined : Math.round(clock.now() - answeredAt),

		/** Reads what is new without waiting for more; false when the log does not answer. Calls at once share a read. */
		async catchUp(signal: AbortSignal): Promise<boolean> {
			reading ??= (async () => {
				try {
					return await readNext(0, signal);
				} finally {
					reading = undefined;
				}
			})();
			return reading;
		},

		/** Takes over an own record that the log has just put at the next offset. */
		takeOwn(record: StoredRecord): void {
			if (record.offset === next) {
				onRecord(record);
				next += 1;
			}
		},

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				const pause = pauses[await readPatiently(signal)];
				if (pause > 0) {
					await clock.sleep(pause, signal);
				}
			}
		},
	};
}
