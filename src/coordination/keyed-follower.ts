/**
 * Follows a keyed log and hands on its records in order.
 *
 * @module
 */
import type {EventLog, KeyedLog, StoredRecord} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createKeyedFollower}. */
export type CreateKeyedFollowerOptions = {
	readonly log: KeyedLog;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Milliseconds that a read may wait for a new record; 0 asks and comes back. */
	readonly wait: number;
	/** Pause between reads, in milliseconds. */
	readonly every: number;
	/** Takes a record; called once for each, in order of offset. */
	readonly onRecord: (record: StoredRecord) => void;
	/** Names the keys known, so that those missing after a gap count as dropped. */
	readonly listKeys?: () => string[];
};

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
	let lostAt = Number.NEGATIVE_INFINITY;
	let reading: Promise<boolean> | undefined;

	function noteUp(nowUp: boolean): void {
		if (nowUp !== isUp) {
			events.write(nowUp ? 'logBack' : 'logLost', {log: log.name, next});
		}

		isUp = nowUp;
		if (!nowUp) {
			lostAt = clock.now();
		}
	}

	function fold(records: readonly StoredRecord[], from: number): void {
		for (const record of records) {
			if (record.offset >= from) {
				onRecord(record);
			}
		}
	}

	async function readNewest(): Promise<boolean> {
		const newest = await log.readNewest();
		noteUp(newest.ok);
		if (newest.err) {
			return false;
		}

		const {records, end} = newest.val;
		const missing = new Set(options.listKeys?.());
		for (const record of records) {
			missing.delete(record.key);
		}

		fold(records.toSorted((left, right) => left.offset - right.offset), next ?? 0);
		for (const key of missing) {
			onRecord({key, offset: end});
		}

		next = Math.max(next ?? 0, end);
		return true;
	}

	async function readOn(from: number, wait: number, signal: AbortSignal): Promise<boolean> {
		const page = await log.read(from, {wait, signal});
		if (page.ok) {
			noteUp(true);
			// A read that waited may end after another one has folded the same records.
			fold(page.val.records, next ?? from);
			next = Math.max(next ?? 0, (page.val.records.at(-1)?.offset ?? from - 1) + 1);
			return true;
		}

		if (page.val.kind === 'gone') {
			return readNewest();
		}

		if (!signal.aborted) {
			noteUp(false);
		}

		return false;
	}

	return {
		/** Offset of the next record wanted; undefined before the first read. */
		next: () => next,
		isUp: () => isUp,
		/** True when a read failed within the span, in milliseconds. */
		wasLostWithin: (span: number): boolean => clock.now() - lostAt < span,

		/** Reads what is new without waiting for more; false when the log does not answer. Calls at once share a read. */
		async catchUp(signal: AbortSignal): Promise<boolean> {
			reading ??= (async () => {
				try {
					return next === undefined ? await readNewest() : await readOn(next, 0, signal);
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
				const isRead = next === undefined ? await readNewest() : await readOn(next, options.wait, signal);
				const pause = isRead ? options.every : retryPause;
				if (pause > 0) {
					await clock.sleep(pause, signal);
				}
			}
		},
	};
}
