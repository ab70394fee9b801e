/**
 * Follows a keyed log and delivers its records in order of offset.
 *
 * @module
 */
import {
	createFailure, type EventLog, type Failure, type KeyedLog, type StoredRecord,
} from '../protocol/mod.js';
import {waitWithTimeout, type Clock} from '../transport/mod.js';

/** A period in which the log did not answer; times are in milliseconds of the monotonic clock. */
export type LogOutage = {
	/** When the last successful read before the outage was sent. */
	readonly lastSuccessAt: number;
	/** When the last failed read was sent; the log was still unavailable then. */
	readonly lastFailureAt: number;
	/** When the first successful read after the outage was answered. */
	readonly recoveredAt: number;
};

/** Options of {@linkcode createKeyedFollower}. */
export type CreateKeyedFollowerOptions = {
	readonly log: KeyedLog;
	readonly clock: Clock;
	readonly events: EventLog;
	/** How long a read may wait for a new record, in milliseconds; 0 returns immediately. */
	readonly longPollMs: number;
	/** Pause after a successful read, in milliseconds. */
	readonly readIntervalMs: number;
	/**
	 * Milliseconds that a read may take beyond its wait for a new record. After
	 * that it counts as failed, and another read is sent while it stays pending;
	 * by default reads do not time out.
	 */
	readonly readTimeoutMs?: number;
	/** Called once for each record, in order of offset. */
	readonly onRecord: (record: StoredRecord) => void;
	/** Lists the known keys; those that are missing after a gap are reported as dropped. */
	readonly listKnownKeys?: () => string[];
	/** Called before records are delivered that follow a gap: earlier ones were missed. */
	readonly onGap?: () => void;
	/** Called when the log answers again, before its records are delivered. */
	readonly onRecovery?: (outage: LogOutage) => void;
};

/** Outcome of a read when it ends or times out; a hanging read is still pending. */
type ReadResult = 'answered' | 'failed' | 'hanging';

/** Follows a keyed log. */
export type KeyedFollower = ReturnType<typeof createKeyedFollower>;

/** Kept short so that a recovered store is noticed within a fraction of a second. */
const retryDelayMs = 200;
/** A timeout that expires later than this shows that this process was stalled, not that the log did not answer. */
const stallMs = 500;

/**
 * Creates a follower of a keyed log; `run` reads until its signal is aborted.
 *
 * @example
 * ```ts
 * const follower = createKeyedFollower({log, clock, events, longPollMs: 1500, readIntervalMs: 0, onRecord: fold});
 * void follower.run(signal);
 * ```
 *
 * @param options The log and the callbacks that receive its records
 * @returns The follower
 */
export function createKeyedFollower(options: CreateKeyedFollowerOptions) {
	const {log, clock, events, onRecord} = options;
	let nextOffset: number | undefined;
	let isUp = false;
	let lastFailureAt: number | undefined;
	let lastSuccessAt: number | undefined;
	/** Whether a timeout has expired late since the last successful read. */
	let wasStalled = false;
	let pendingCatchUp: Promise<boolean> | undefined;
	const maxReadMs = options.longPollMs + (options.readTimeoutMs ?? Number.POSITIVE_INFINITY);
	// A hanging read has already used up its timeout, so the next one is sent at once.
	const pausesMs: Record<ReadResult, number> = {answered: options.readIntervalMs, failed: retryDelayMs, hanging: 0};

	function reportRecovery(): void {
		const now = clock.now();
		events.write('logBack', {log: log.name, next: nextOffset, awayMs: lastSuccessAt === undefined ? undefined : Math.round(now - lastSuccessAt)});
		if (lastSuccessAt !== undefined && lastFailureAt !== undefined) {
			options.onRecovery?.({lastSuccessAt, lastFailureAt, recoveredAt: now});
		}
	}

	// Called before the records of an answer are delivered, so that the outage is reported first.
	function markAvailable(): void {
		if (!isUp) {
			reportRecovery();
		}

		isUp = true;
	}

	// Called after the records are delivered: the view is only as recent as the records already processed.
	function recordSuccess(sentAt: number): void {
		wasStalled = false;
		lastSuccessAt = Math.max(lastSuccessAt ?? sentAt, sentAt);
	}

	// Ignores the failure of a read that was sent before the last successful one; reads can overlap.
	function recordFailure(sentAt: number, failure: Failure): void {
		if (lastSuccessAt !== undefined && sentAt < lastSuccessAt) {
			return;
		}

		if (isUp) {
			events.write('logLost', {
				log: log.name, next: nextOffset, ms: Math.round(clock.now() - sentAt), detail: failure.detail,
			});
		}

		isUp = false;
		lastFailureAt = Math.max(lastFailureAt ?? sentAt, sentAt);
	}

	function deliverRecords(records: readonly StoredRecord[], from: number): void {
		for (const record of records) {
			if (record.offset >= from) {
				onRecord(record);
			}
		}
	}

	async function readNewest(): Promise<boolean> {
		const sentAt = clock.now();
		const newest = await log.readNewest();
		if (newest.err) {
			recordFailure(sentAt, newest.val);
			return false;
		}

		markAvailable();
		const {records, end} = newest.val;
		// Ignores an answer older than what has been delivered: keys added since then would look dropped.
		if (end < (nextOffset ?? 0)) {
			return true;
		}

		if (nextOffset !== undefined) {
			options.onGap?.();
		}

		const missingKeys = new Set(options.listKnownKeys?.());
		for (const record of records) {
			missingKeys.delete(record.key);
		}

		deliverRecords(records.toSorted((left, right) => left.offset - right.offset), nextOffset ?? 0);
		// The exact offset of the deletion is unknown, but it precedes `end`.
		for (const key of missingKeys) {
			onRecord({key, offset: end - 1});
		}

		nextOffset = Math.max(nextOffset ?? 0, end);
		recordSuccess(sentAt);
		return true;
	}

	async function readFrom(from: number, longPollMs: number, signal: AbortSignal): Promise<boolean> {
		const sentAt = clock.now();
		const page = await log.read(from, {waitMs: longPollMs, signal});
		if (page.ok) {
			markAvailable();
			// An overlapping read may already have delivered the same records.
			deliverRecords(page.val.records, nextOffset ?? from);
			nextOffset = Math.max(nextOffset ?? 0, (page.val.records.at(-1)?.offset ?? from - 1) + 1);
			recordSuccess(sentAt);
			return true;
		}

		if (page.val.kind === 'gone') {
			return readNewest();
		}

		// A read that exceeded its timeout has been recorded then, unless this process was stalled.
		if (!signal.aborted && clock.now() - sentAt <= maxReadMs) {
			recordFailure(sentAt, page.val.failure);
		}

		return false;
	}

	async function readNext(longPollMs: number, signal: AbortSignal): Promise<boolean> {
		return nextOffset === undefined ? readNewest() : readFrom(nextOffset, longPollMs, signal);
	}

	// A read on an unresponsive connection can hang for seconds while new reads would be answered. Without a timeout,
	// requests would be handled on a stale view, and a log that has recovered would still count as unavailable. The
	// hanging read is not cancelled, since its answer may still arrive first.
	async function readWithTimeout(signal: AbortSignal): Promise<ReadResult> {
		const sentAt = clock.now();
		const pending = readNext(options.longPollMs, signal);
		if (options.readTimeoutMs === undefined) {
			return await pending ? 'answered' : 'failed';
		}

		const isAnswered = await waitWithTimeout(pending, {clock, timeoutMs: maxReadMs});
		if (isAnswered === undefined && !signal.aborted) {
			const isStalled = clock.now() - sentAt > maxReadMs + stallMs;
			// A process that is always slow must still notice that the log does not answer.
			if (!isStalled || wasStalled) {
				recordFailure(sentAt, createFailure('log-unavailable', `A read was not answered within ${maxReadMs} ms`));
			}

			wasStalled = isStalled;
			return 'hanging';
		}

		return isAnswered ? 'answered' : 'failed';
	}

	return {
		/** Returns the offset of the next record to deliver; undefined before the first successful read. */
		getNextOffset: () => nextOffset,
		isUp: () => isUp,
		/**
		 * Returns the whole milliseconds since the last successful read was sent;
		 * later records may be missing. Undefined before the first.
		 */
		computeStalenessMs: (): number | undefined => lastSuccessAt === undefined ? undefined : Math.round(clock.now() - lastSuccessAt),

		/** Returns true if a read that was sent at `time` or later, in milliseconds of the clock, has been answered and delivered. */
		hasReadSince: (time: number): boolean => lastSuccessAt !== undefined && lastSuccessAt >= time,

		/** Reads new records without waiting for more; false if the log does not answer. Concurrent calls share one read. */
		async catchUp(signal: AbortSignal): Promise<boolean> {
			pendingCatchUp ??= (async () => {
				try {
					return await readNext(0, signal);
				} finally {
					pendingCatchUp = undefined;
				}
			})();
			return pendingCatchUp;
		},

		/** Delivers a record that this process has just appended, if the log put it at the next offset. */
		applyOwnRecord(record: StoredRecord): void {
			if (record.offset === nextOffset) {
				onRecord(record);
				nextOffset += 1;
			}
		},

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				const pauseMs = pausesMs[await readWithTimeout(signal)];
				if (pauseMs > 0) {
					await clock.sleep(pauseMs, signal);
				}
			}
		},
	};
}
