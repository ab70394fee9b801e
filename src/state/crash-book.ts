/**
 * Requests under which upstreams crashed.
 *
 * A record counts crashes in a row: each under a run that began after the
 * crash before it was known. So upstreams that crash together, for instance
 * with their failure domain, count once for a request that ran at all of them.
 * An answer ends the row and begins a new round.
 *
 * Of two records of a request the one of the later round holds, and in the
 * same round the one with more crashes. Records may therefore arrive in any
 * order and more than once, and all that hold the same records agree.
 *
 * @module
 */

/** What is known of one request. */
export type CrashRecord = {
	/** Digest of what makes it the same request. */
	readonly digest: string;
	/** Rises with each answer and each trial. */
	readonly round: number;
	/** Crashes in a row; 0 once it has been answered. */
	readonly crashes: number;
};

/** A record, and when it last changed here. */
export type KnownCrashes = CrashRecord & {readonly changedAt: number};

/** Options of {@linkcode createCrashBook}. */
export type CreateCrashBookOptions = {
	/** Most records that are kept. */
	readonly limit?: number;
};

/** Requests under which upstreams crashed. */
export type CrashBook = ReturnType<typeof createCrashBook>;

/** About 150 KB. */
const defaultLimit = 1000;
/** How long a request without a new crash is remembered, in milliseconds. */
const recordLife = 3_600_000;
/** How long an answered one is remembered, in milliseconds: older news of its crashes is still under way. */
const answeredLife = 60_000;

/** @internal True if a record holds over another one of the same request. */
function isNewer(record: CrashRecord, known: CrashRecord): boolean {
	return record.round > known.round || (record.round === known.round && record.crashes > known.crashes);
}

/** @internal The most crashes first, and of equals the newest. */
function compareRecords(left: KnownCrashes, right: KnownCrashes): number {
	return right.crashes - left.crashes || right.changedAt - left.changedAt;
}

/**
 * Creates an empty book.
 *
 * @example
 * ```ts
 * const book = createCrashBook();
 * book.noteCrash('9c41d07b', {before: undefined, now: 1200});
 * book.count('9c41d07b'); // 1
 * ```
 *
 * @param options The book's bound
 * @returns The book
 */
export function createCrashBook({limit = defaultLimit}: CreateCrashBookOptions = {}) {
	const records = new Map<string, KnownCrashes>();

	// Guards against a caller who varies a byte each time: what has the fewest crashes, and of that the oldest, makes room.
	function makeRoom(): void {
		while (records.size > limit) {
			records.delete([...records.values()].sort(compareRecords).at(-1)!.digest);
		}
	}

	function put(record: CrashRecord, now: number): boolean {
		const known = records.get(record.digest);
		if (known ? !isNewer(record, known) : record.crashes === 0) {
			return false;
		}

		records.set(record.digest, {...record, changedAt: now});
		makeRoom();
		return true;
	}

	return {
		get: (digest: string): KnownCrashes | undefined => records.get(digest),
		/** Crashes in a row. */
		count: (digest: string): number => records.get(digest)?.crashes ?? 0,
		isEmpty: (): boolean => records.size === 0,

		/**
		 * Notes a crash under a run, and what was known as that run began;
		 * returns true if the record has changed.
		 */
		noteCrash(digest: string, {before, now}: {readonly before: CrashRecord | undefined; readonly now: number}): boolean {
			const round = records.get(digest)?.round ?? 0;
			const after = before?.round === round ? before.crashes : 0;
			return put({digest, round, crashes: after + 1}, now);
		},

		/** Notes a whole answer. */
		noteAnswered(digest: string, now: number): boolean {
			const known = records.get(digest);
			return known !== undefined && known.crashes > 0 && put({digest, round: known.round + 1, crashes: 0}, now);
		},

		/** Notes that a request that was held back is tried: whoever hears of it waits for the outcome. */
		noteTrial(digest: string, now: number): boolean {
			const known = records.get(digest);
			return known !== undefined && put({digest, round: known.round + 1, crashes: known.crashes}, now);
		},

		/** Takes a record from elsewhere. */
		take: put,

		/** All records, the most crashes first and of equals the newest. */
		list: (): KnownCrashes[] => [...records.values()].sort(compareRecords),

		/** Drops what has not changed for long. */
		prune(now: number): void {
			for (const {digest, crashes, changedAt} of records.values()) {
				if (now - changedAt > (crashes === 0 ? answeredLife : recordLife)) {
					records.delete(digest);
				}
			}
		},
	};
}
