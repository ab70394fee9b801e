/**
 * Registry of requests during which upstreams crashed.
 *
 * A record counts consecutive crashes. A crash counts only if its run began
 * after the previous crash was known. Upstreams that crash together, for
 * example with their failure domain, therefore count once for a request that
 * ran at all of them. An answer resets the count and starts a new round.
 *
 * Of two records of a request, the one with the later round takes precedence,
 * and within a round the one with more crashes. Records may therefore arrive in
 * any order and more than once: registries that merged the same records agree.
 *
 * @module
 */

/** Crash record of one request. */
export type CrashRecord = {
	/** Digest that identifies equal requests. */
	readonly digest: string;
	/** Increases with each answer and each trial. */
	readonly round: number;
	/** Consecutive crashes; 0 after an answer. */
	readonly crashes: number;
};

/** A crash record with the local time of its last change. */
export type TrackedCrashRecord = CrashRecord & {readonly changedAt: number};

/** Options of {@linkcode createCrashRegistry}. */
export type CreateCrashRegistryOptions = {
	/** Maximum number of records; default 1000. */
	readonly maxRecords?: number;
};

/** Registry of requests during which upstreams crashed. */
export type CrashRegistry = ReturnType<typeof createCrashRegistry>;

/** That many records occupy about 150 KB. */
const defaultMaxRecords = 1000;
/** How long a record with crashes is kept after its last change. */
const crashRetentionMs = 3_600_000;
/** How long the record of an answered request is kept: older gossip about its crashes may still arrive. */
const answeredRetentionMs = 60_000;

/** @internal Returns true if a record takes precedence over another one of the same request. */
function isNewer(record: CrashRecord, known: CrashRecord): boolean {
	return record.round > known.round || (record.round === known.round && record.crashes > known.crashes);
}

/** @internal Orders records by crashes, most first, then by time of change, newest first. */
function compareRecords(left: TrackedCrashRecord, right: TrackedCrashRecord): number {
	return right.crashes - left.crashes || right.changedAt - left.changedAt;
}

/**
 * Creates an empty registry.
 *
 * @example
 * ```ts
 * const registry = createCrashRegistry();
 * registry.recordCrash('9c41d07b', {before: undefined, now: 1200});
 * registry.count('9c41d07b'); // 1
 * ```
 *
 * @param options The maximum number of records
 * @returns The registry
 */
export function createCrashRegistry({maxRecords = defaultMaxRecords}: CreateCrashRegistryOptions = {}) {
	const records = new Map<string, TrackedCrashRecord>();

	// A caller that varies a byte in each request could fill the memory. Evicts the records with the fewest crashes, oldest first.
	function evictOverLimit(): void {
		while (records.size > maxRecords) {
			records.delete([...records.values()].sort(compareRecords).at(-1)!.digest);
		}
	}

	function mergeRecord(record: CrashRecord, now: number): boolean {
		const known = records.get(record.digest);
		if (known ? !isNewer(record, known) : record.crashes === 0) {
			return false;
		}

		records.set(record.digest, {...record, changedAt: now});
		evictOverLimit();
		return true;
	}

	return {
		get: (digest: string): TrackedCrashRecord | undefined => records.get(digest),
		/** Returns the number of consecutive crashes. */
		count: (digest: string): number => records.get(digest)?.crashes ?? 0,
		isEmpty: (): boolean => records.size === 0,

		/**
		 * Records a crash during a run; `before` is the record that was known
		 * when the run began. Returns true if the record has changed.
		 */
		recordCrash(digest: string, {before, now}: {readonly before: CrashRecord | undefined; readonly now: number}): boolean {
			const round = records.get(digest)?.round ?? 0;
			const previousCrashes = before?.round === round ? before.crashes : 0;
			return mergeRecord({digest, round, crashes: previousCrashes + 1}, now);
		},

		/** Records a complete answer; returns true if the record has changed. */
		recordAnswer(digest: string, now: number): boolean {
			const known = records.get(digest);
			return known !== undefined && known.crashes > 0 && mergeRecord({digest, round: known.round + 1, crashes: 0}, now);
		},

		/** Records a trial of a held request: gateways that learn of it wait for the outcome. Returns true if the record has changed. */
		recordTrial(digest: string, now: number): boolean {
			const known = records.get(digest);
			return known !== undefined && mergeRecord({digest, round: known.round + 1, crashes: known.crashes}, now);
		},

		/** Merges a record received from elsewhere; returns true if the record has changed. */
		merge: mergeRecord,

		/** Returns all records, those with the most crashes first, then the newest. */
		list: (): TrackedCrashRecord[] => [...records.values()].sort(compareRecords),

		/** Deletes records that have not changed within their retention period. */
		prune(now: number): void {
			for (const {digest, crashes, changedAt} of records.values()) {
				if (now - changedAt > (crashes === 0 ? answeredRetentionMs : crashRetentionMs)) {
					records.delete(digest);
				}
			}
		},
	};
}
