/**
 * The streams whose origin a gateway knows, by the ID of the attempt that
 * received the first event.
 *
 * @module
 */
import type {StreamOrigin} from './stream-origin.js';

/** What a gateway knows of one stream. */
export type StreamRecord = {
	readonly origin: StreamOrigin;
	/** The gateway that sent the first event to the caller, or one that continued the stream. */
	readonly source: string;
	/** When this gateway learned of it, in milliseconds of the monotonic clock. */
	readonly recordedAt: number;
	readonly expiresAt: number;
};

/** Options of {@linkcode createStreamRecords}. */
export type CreateStreamRecordsOptions = {
	/** Maximum number of records. */
	readonly maxRecords: number;
	/** Called when a record is evicted before it expires, with its remaining time in milliseconds. */
	readonly onEvicted: (remainingMs: number) => void;
};

/** The streams whose origin a gateway knows. */
export type StreamRecords = ReturnType<typeof createStreamRecords>;

/**
 * Creates an empty collection.
 *
 * @example
 * ```ts
 * const records = createStreamRecords({maxRecords: 1000, onEvicted});
 * records.put('a-1', {origin, source: 'front-1', recordedAt: 0, expiresAt: 20_000});
 * records.get('a-1', 5000)?.origin;
 * ```
 *
 * @param options The size of the collection
 * @returns The collection
 */
export function createStreamRecords({maxRecords, onEvicted}: CreateStreamRecordsOptions) {
	/** In order of the last put, so that the first one is the oldest. */
	const records = new Map<string, StreamRecord>();

	// Accounts that contradict each other leave no version that is certain.
	function mergeOrigins(known: StreamOrigin, told: StreamOrigin): StreamOrigin {
		const isSame = known.service === told.service && known.softwareVersion === told.softwareVersion;
		if (isSame) {
			return known.start === undefined ? known : told;
		}

		return {service: known.service, softwareVersion: undefined};
	}

	function get(stream: string, now: number): StreamRecord | undefined {
		const record = records.get(stream);
		return record && now < record.expiresAt ? record : undefined;
	}

	function evictOldest(now: number): void {
		const [oldest] = records;
		if (!oldest) {
			return;
		}

		const [stream, {expiresAt}] = oldest;
		records.delete(stream);
		if (expiresAt > now) {
			onEvicted(expiresAt - now);
		}
	}

	return {
		get,

		put(stream: string, record: StreamRecord): void {
			const now = record.recordedAt;
			const known = get(stream, now);
			records.delete(stream);
			if (records.size >= maxRecords) {
				evictOldest(now);
			}

			records.set(stream, known
				? {...record, origin: mergeOrigins(known.origin, record.origin), expiresAt: Math.max(known.expiresAt, record.expiresAt)}
				: record);
		},

		count: (): number => records.size,

		prune(now: number): void {
			for (const [stream, {expiresAt}] of records) {
				if (expiresAt <= now) {
					records.delete(stream);
				}
			}
		},
	};
}
