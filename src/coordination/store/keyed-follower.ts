/**
 * Follows a keyed log and delivers its records in order of offset.
 *
 * A log may be restored from a backup, which begins a new epoch: later records
 * are lost, and their offsets are assigned again. A follower then reads the
 * newest records again. What their writers had written later is missing until
 * they write it again, so that a key that is missing then has not been dropped.
 *
 * @module
 */
import {
	createFailure, type EventLog, type Failure, type KeyedLog, type LogEpoch, type StoredRecord,
} from '../../protocol/mod.js';
import {waitWithTimeout, type Clock} from '../../transport/mod.js';

/** A period in which the log did not answer; times are in milliseconds of the monotonic clock. */
export type LogOutage = {
	/** When the last successful read before the outage was sent. */
	readonly lastSuccessAt: number;
	/** When the last failed read was sent; the log was still unavailable then. */
	readonly lastFailureAt: number;
	/** When the first successful read after the outage was answered. */
	readonly recoveredAt: number;
};

/** How a record was read. */
export type RecordOrigin = {
	/** True if the log was restored from a backup that the record may come from: it may be older than records delivered before. */
	readonly mayBeOlder: boolean;
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
	readonly onRecord: (record: StoredRecord, origin: RecordOrigin) => void;
	/**
	 * Lists the known keys. Those that are missing after a gap are reported as
	 * dropped; after a restore, once their writers had time to write them again.
	 */
	readonly listKnownKeys?: () => string[];
	/** Called before records are delivered that follow a gap: earlier ones were missed. */
	readonly onGap?: () => void;
	/** Called when an answer shows that the log was restored, before the records of its new epoch are delivered. */
	readonly onRestore?: (epoch: LogEpoch) => void;
	/** Called when the log answers again, before its records are delivered. */
	readonly onRecovery?: (outage: LogOutage) => void;
};

/** Outcome of a read when it ends or times out; a hanging read is still pending. */
type ReadResult = 'answered' | 'failed' | 'hanging';

/** Follows a keyed log. */
export type KeyedFollower = ReturnType<typeof createKeyedFollower>;

/** Kept short so that a recovered store is noticed within a fraction of a second. */
const retryDelayMs = 200;
/** Time in which writers write again what a restored log has lost. */
const rewriteGraceMs = 2000;
/** Abort reason that ends a pause; shared, because an abort without a reason creates a new error each time. */
const readDue = new Error('The next read of the log is due');
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
	let epoch: LogEpoch;
	/** When keys that a restored log lacks count as dropped. */
	let dropsDueAt: number | undefined;
	let pauseController = new AbortController();
	let isUp = false;
	let lastFailureAt: number | undefined;
	let lastSuccessAt: number | undefined;
	/** Whether a timeout has expired late since the last successful read. */
	let wasStalled = false;
	let pendingCatchUp: Promise<boolean> | undefined;
	const maxReadMs = options.longPollMs + (options.readTimeoutMs ?? Number.POSITIVE_INFINITY);
	// A hanging read has already used up its timeout, so the next one is sent at once.
	const pausesMs: Record<ReadResult, number> = {answered: options.readIntervalMs, failed: retryDelayMs, hanging: 0};

	function beginEpoch(nextEpoch: LogEpoch): void {
		events.write('logRestored', {
			log: log.name, epoch: nextEpoch, previousEpoch: epoch, next: nextOffset,
		});
		epoch = nextEpoch;
		nextOffset = undefined;
		dropsDueAt = clock.now() + rewriteGraceMs;
		pauseController.abort(readDue);
		options.onRestore?.(nextEpoch);
	}

	function isNewer(other: LogEpoch): boolean {
		return other !== undefined && (epoch === undefined ? nextOffset !== undefined : other > epoch);
	}

	// An answer may arrive after one of a newer epoch. One that does not state its epoch counts as outdated once another
	// has stated it: its offsets may be of any epoch.
	function checkEpoch(answerEpoch: LogEpoch): 'current' | 'restored' | 'outdated' {
		if (isNewer(answerEpoch)) {
			beginEpoch(answerEpoch);
			return 'restored';
		}

		epoch ??= nextOffset === undefined ? answerEpoch : undefined;
		return answerEpoch === epoch ? 'current' : 'outdated';
	}

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

	function deliverRecords(records: readonly StoredRecord[], from: number, mayBeOlder = false): void {
		for (const record of records) {
			if (record.offset >= from) {
				onRecord(record, {mayBeOlder});
			}
		}
	}

	function dropMissingKeys(records: readonly StoredRecord[], end: number): void {
		const missingKeys = new Set(options.listKnownKeys?.());
		for (const record of records) {
			missingKeys.delete(record.key);
		}

		// The exact offset of the deletion is unknown, but it precedes `end`.
		for (const key of missingKeys) {
			onRecord({key, offset: end - 1}, {mayBeOlder: false});
		}
	}

	function deliverNewest(records: readonly StoredRecord[], end: number): void {
		const isFirstOfEpoch = nextOffset === undefined;
		if (!isFirstOfEpoch || dropsDueAt !== undefined) {
			options.onGap?.();
		}

		deliverRecords(records.toSorted((left, right) => left.offset - right.offset), nextOffset ?? 0, isFirstOfEpoch && dropsDueAt !== undefined);
		if (dropsDueAt === undefined || clock.now() >= dropsDueAt) {
			dropMissingKeys(records, end);
			dropsDueAt = undefined;
		}
	}

	async function readNewest(): Promise<boolean> {
		const sentAt = clock.now();
		const newest = await log.readNewest();
		if (newest.err) {
			recordFailure(sentAt, newest.val);
			return false;
		}

		const {records, end} = newest.val;
		// Ignores an answer older than what has been delivered: keys added since then would look dropped.
		if (checkEpoch(newest.val.epoch) === 'outdated' || end < (nextOffset ?? 0)) {
			return false;
		}

		markAvailable();
		deliverNewest(records, end);
		nextOffset = Math.max(nextOffset ?? 0, end);
		recordSuccess(sentAt);
		return true;
	}

	async function readFrom(from: number, longPollMs: number, signal: AbortSignal): Promise<boolean> {
		const sentAt = clock.now();
		const sentEpoch = epoch;
		const page = await log.read(from, {waitMs: longPollMs, signal});
		if (page.ok) {
			// The offset has another meaning in an epoch that began during the read.
			if (checkEpoch(page.val.epoch) !== 'current' || sentEpoch !== epoch) {
				return false;
			}

			markAvailable();
			// An overlapping read may already have delivered the same records.
			deliverRecords(page.val.records, nextOffset ?? from);
			nextOffset = Math.max(nextOffset ?? 0, (page.val.records.at(-1)?.offset ?? from - 1) + 1);
			recordSuccess(sentAt);
			return true;
		}

		if (page.val.kind === 'gone') {
			return checkEpoch(page.val.epoch) === 'outdated' ? false : readNewest();
		}

		// A read that exceeded its timeout has been recorded then, unless this process was stalled.
		if (!signal.aborted && clock.now() - sentAt <= maxReadMs) {
			recordFailure(sentAt, page.val.failure);
		}

		return false;
	}

	async function readDirectly(longPollMs: number, signal: AbortSignal): Promise<boolean> {
		const untilDropsMs = dropsDueAt === undefined ? Number.POSITIVE_INFINITY : dropsDueAt - clock.now();
		return nextOffset === undefined || untilDropsMs <= 0
			? readNewest()
			: readFrom(nextOffset, Math.min(longPollMs, Math.ceil(untilDropsMs)), signal);
	}

	// An exception here would end the process or, if it were only caught around the loop, the following of this log.
	async function readNext(longPollMs: number, signal: AbortSignal): Promise<boolean> {
		const sentAt = clock.now();
		try {
			return await readDirectly(longPollMs, signal);
		} catch (error) {
			recordFailure(sentAt, createFailure('log-unavailable', `A read failed: ${(error as Error).message}`));
			return false;
		}
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
		/** Returns the epoch that the next offset belongs to; undefined if the log does not state it. */
		getEpoch: (): LogEpoch => epoch,
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

		/** Delivers a record that this process has just appended, if the log put it at the next offset of the current epoch. */
		applyOwnRecord(record: StoredRecord, recordEpoch?: LogEpoch): void {
			if (record.offset === nextOffset && recordEpoch === epoch) {
				onRecord(record, {mayBeOlder: false});
				nextOffset += 1;
			}
		},

		/** Records that another call to the same store has shown its epoch; a newer one ends the pause before the next read. */
		recordEpoch(other: LogEpoch): void {
			if (isNewer(other)) {
				beginEpoch(other);
			}
		},

		async run(signal: AbortSignal): Promise<void> {
			signal.addEventListener('abort', () => {
				pauseController.abort(readDue);
			});
			while (!signal.aborted) {
				pauseController = new AbortController();
				const startedAt = clock.now();
				const startOffset = nextOffset;
				const result = await readWithTimeout(signal);
				const hasProgressed = nextOffset !== startOffset || clock.now() - startedAt >= retryDelayMs;
				// A log that answers a long poll at once without a record must not be read in a loop.
				const pauseMs = result === 'answered' && !hasProgressed ? Math.max(options.readIntervalMs, retryDelayMs) : pausesMs[result];
				if (pauseMs > 0) {
					await clock.sleep(pauseMs, pauseController.signal);
				}
			}
		},
	};
}
