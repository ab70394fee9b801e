/**
 * Registry of the parts of prompts during whose answers upstreams crashed.
 *
 * A record has the starts of upstreams that crashed while they ran a request
 * with the part, since an upstream last answered one completely. An answer
 * empties the record and starts a new round.
 *
 * Of two records of a part, the one with the later round takes precedence; within
 * a round the crashes of both are combined. Records may therefore arrive in any
 * order and more than once: registries that merged the same records agree.
 *
 * @module
 */

/** Crash of one start of an upstream. */
export type UpstreamCrash = {
	/** Identifies the start of the upstream, the same at all gateways. */
	readonly upstream: number;
	/** When it was seen, in milliseconds of the monotonic clock. */
	readonly at: number;
};

/** Crash record of one part. */
export type PartRecord = {
	/** Digest that identifies the part. */
	readonly digest: string;
	/** Increases with each answer. */
	readonly round: number;
	/** Number of trials of the part in this round. */
	readonly trials: number;
	/** The crashes of this round, in order of time. */
	readonly crashes: readonly UpstreamCrash[];
};

/** A crash record with the local time of its last change. */
export type TrackedPartRecord = PartRecord & {readonly changedAt: number};

/** A crash record as sent to other gateways and written to the log, which share no clock with this one. */
export type PartAnnouncement = Pick<PartRecord, 'digest' | 'round' | 'trials'> & {
	readonly crashes: ReadonlyArray<{readonly upstream: number; readonly ageMs: number}>;
};

/** Options of {@linkcode createPartCrashRegistry}. */
export type CreatePartCrashRegistryOptions = {
	/** Maximum number of records; default 2000. */
	readonly maxRecords?: number;
	/** Maximum number of parts that are known to have been read without a crash; default 5000. */
	readonly maxRead?: number;
};

/** Registry of the parts of prompts during whose answers upstreams crashed. */
export type PartCrashRegistry = ReturnType<typeof createPartCrashRegistry>;

/** That many records occupy about 1 MB. */
const defaultMaxRecords = 2000;
/** That many digests occupy about 500 KB. */
const defaultMaxRead = 5000;
/** Maximum number of crashes in a record; a part is held back after fewer. */
const maxCrashes = 16;
/** Two accounts of a crash that differ by less have the same time. */
const minTimeDifferenceMs = 50;
/** How long a record with crashes is kept after its last change. */
const crashRetentionMs = 86_400_000;
/** How long the record of an answered part is kept: older gossip about its crashes may still arrive. */
const answeredRetentionMs = 60_000;

/** @internal Orders records by crashes, most first, then by time of change, newest first. */
function compareRecords(left: TrackedPartRecord, right: TrackedPartRecord): number {
	return right.crashes.length - left.crashes.length || right.changedAt - left.changedAt;
}

/**
 * @internal Combines the crashes of two records; returns `known` itself if nothing
 * changes. An account that took longer to arrive makes a crash look later than it
 * was, so the earlier time is kept.
 */
function mergeCrashes(known: readonly UpstreamCrash[], added: readonly UpstreamCrash[]): readonly UpstreamCrash[] {
	const times = new Map(known.map(({upstream, at}) => [upstream, at]));
	let hasChanged = false;
	for (const {upstream, at} of added) {
		const knownAt = times.get(upstream);
		const isNew = knownAt === undefined && times.size < maxCrashes;
		if (isNew || (knownAt !== undefined && at < knownAt - minTimeDifferenceMs)) {
			times.set(upstream, at);
			hasChanged = true;
		}
	}

	return hasChanged ? [...times].map(([upstream, at]) => ({upstream, at})).sort((left, right) => left.at - right.at) : known;
}

/**
 * Creates an empty registry.
 *
 * @example
 * ```ts
 * const registry = createPartCrashRegistry();
 * registry.recordCrash('9c41d07b', {upstream: 7, now: 1200});
 * registry.get('9c41d07b')?.crashes.length; // 1
 * ```
 *
 * @param options Limits on memory
 * @returns The registry
 */
export function createPartCrashRegistry({maxRecords = defaultMaxRecords, maxRead = defaultMaxRead}: CreatePartCrashRegistryOptions = {}) {
	const records = new Map<string, TrackedPartRecord>();
	/** When parts were last read without a crash, the least recent first. */
	const readAt = new Map<string, number>();

	// Callers choose the parts of their prompts and could fill the memory. Evicts the records with the fewest crashes, oldest first.
	function evictOverLimit(): void {
		if (records.size <= maxRecords) {
			return;
		}

		for (const {digest} of [...records.values()].sort(compareRecords).slice(maxRecords)) {
			records.delete(digest);
		}
	}

	function recordRead(digest: string, now: number): void {
		// Deleted before it is set again, so that the map is in order of time.
		readAt.delete(digest);
		readAt.set(digest, now);
		if (readAt.size > maxRead) {
			readAt.delete(readAt.keys().next().value!);
		}
	}

	function mergeRecord(record: PartRecord, now: number): boolean {
		const known = records.get(record.digest);
		if (!known && record.crashes.length === 0) {
			return false;
		}

		if (known && record.round < known.round) {
			return false;
		}

		if (!known || record.round > known.round) {
			records.set(record.digest, {...record, crashes: mergeCrashes([], record.crashes), changedAt: now});
			evictOverLimit();
			return true;
		}

		const crashes = mergeCrashes(known.crashes, record.crashes);
		const trials = Math.max(known.trials, record.trials);
		const hasChanged = crashes !== known.crashes || trials > known.trials;
		if (hasChanged) {
			records.set(record.digest, {
				...known, crashes, trials, changedAt: now,
			});
		}

		return hasChanged;
	}

	function clear(digest: string, now: number): boolean {
		const known = records.get(digest);
		return known !== undefined && known.crashes.length > 0 && mergeRecord({
			digest, round: known.round + 1, trials: 0, crashes: [],
		}, now);
	}

	return {
		get: (digest: string): TrackedPartRecord | undefined => records.get(digest),
		isEmpty: (): boolean => records.size === 0,
		/** Returns when an upstream last read the part without a crash, in milliseconds of the clock; undefined if none is known to have. */
		getReadAt: (digest: string): number | undefined => readAt.get(digest),
		/** Returns the number of parts that upstreams are known to have read without a crash. */
		countRead: (): number => readAt.size,
		/** Lists the parts that upstreams have read without a crash since a time, the latest first. */
		listReadSince: (time: number, maxCount: number): string[] => [...readAt].filter(([, at]) => at >= time).reverse().slice(0, maxCount).map(([digest]) => digest),

		/** Records that an upstream has read the part without a crash so far. This does not empty its record, because the upstream may crash later in the answer. */
		recordRead,

		/** Records the crash of an upstream that ran a request with the part; returns true if the record has changed. */
		recordCrash(digest: string, {upstream, now}: {readonly upstream: number; readonly now: number}): boolean {
			const {round = 0, trials = 0} = records.get(digest) ?? {};
			return mergeRecord({
				digest, round, trials, crashes: [{upstream, at: now}],
			}, now);
		},

		/** Records a complete answer; returns true if the record has changed. */
		recordAnswer(digest: string, now: number): boolean {
			recordRead(digest, now);
			return clear(digest, now);
		},

		/** Empties a record without an answer; returns true if the record has changed. */
		clear,

		/** Records that a trial of a part has begun; returns true if the record has changed. */
		recordTrial(digest: string, now: number): boolean {
			const known = records.get(digest);
			return known !== undefined && mergeRecord({...known, trials: known.trials + 1}, now);
		},

		/** Merges a record received from elsewhere; returns true if the record has changed. */
		merge({crashes, ...record}: PartAnnouncement, now: number): boolean {
			return mergeRecord({...record, crashes: crashes.map(({upstream, ageMs}) => ({upstream, at: now - ageMs})).sort((left, right) => left.at - right.at)}, now);
		},

		/** Returns all records, those with the most crashes first, then the newest. */
		list: (): TrackedPartRecord[] => [...records.values()].sort(compareRecords),

		/** Deletes records that have not changed within their retention period. */
		prune(now: number): void {
			for (const {digest, crashes, changedAt} of records.values()) {
				if (now - changedAt > (crashes.length === 0 ? answeredRetentionMs : crashRetentionMs)) {
					records.delete(digest);
				}
			}
		},
	};
}

/**
 * Converts a record to the form in which it is sent to other gateways.
 *
 * @example
 * ```ts
 * announcePart({digest: 'd', round: 0, trials: 0, crashes: [{upstream: 7, at: 1000}]}, 1200).crashes; // [{upstream: 7, ageMs: 200}]
 * ```
 *
 * @param record The record
 * @param now The current time, in milliseconds of the monotonic clock
 * @returns The record with ages in place of times
 */
export function announcePart({digest, round, trials, crashes}: PartRecord, now: number): PartAnnouncement {
	return {
		digest, round, trials, crashes: crashes.map(({upstream, at}) => ({upstream, ageMs: Math.max(0, Math.round(now - at))})),
	};
}
