/**
 * What every gateway was granted of each customer's budget.
 *
 * Each incarnation of a gateway owns one record in a keyed log; it holds the
 * total granted to it, ever, of each budget. A record is appended only if the
 * log ends where its writer had read to, so the writer knows every other
 * total and the sum never passes what was bought. A grant is used up and never
 * expires: a paused holder cannot know that time passed. The totals of
 * incarnations that are gone stay counted.
 *
 * @module
 */
import * as z from 'zod';

/** Schema of a holder's record. */
export const holderRecordSchema = z.object({
	/** A relay holds no grants; its record only names it. */
	role: z.enum(['gateway', 'relay']),
	/** The daemon's name. */
	daemon: z.string(),
	/** One run of its process. */
	incarnation: z.string(),
	/** Where other gateways reach it: IP number and port. */
	address: z.string(),
	/** Where a gateway takes news from other gateways: IP number and port. */
	newsAddress: z.string().optional(),
	failureDomain: z.string(),
	/** The deployment version whose amounts the writer had seen. */
	version: z.number().int(),
	/** Rises with each record of the incarnation. */
	sequence: z.number().int(),
	/** Total tokens granted to it, by customer. */
	granted: z.record(z.string(), z.number().nonnegative()),
	/** Tokens a second that callers asked of it as it wrote, by customer; for the incarnation that comes after it. */
	rates: z.record(z.string(), z.number().nonnegative()).optional(),
	/** It has stopped; only what it used stays granted. */
	hasEnded: z.boolean(),
});

/** What one incarnation of a gateway was granted. */
export type HolderRecord = z.infer<typeof holderRecordSchema>;

/** What every gateway was granted. */
export type GrantBook = ReturnType<typeof createGrantBook>;

/**
 * Creates an empty book.
 *
 * @example
 * ```ts
 * const book = createGrantBook();
 * book.put('entry-1/i-9', record);
 * book.sumGranted('city-1');
 * ```
 *
 * @returns The book
 */
export function createGrantBook() {
	const holders = new Map<string, HolderRecord>();
	const sums = new Map<string, number>();
	let newestVersion = Number.NEGATIVE_INFINITY;
	let running: HolderRecord[] | undefined;

	function addGranted({granted}: HolderRecord, sign: 1 | -1): void {
		for (const [customer, tokens] of Object.entries(granted)) {
			sums.set(customer, (sums.get(customer) ?? 0) + (sign * tokens));
		}
	}

	function findRunning(): HolderRecord[] {
		const newest = new Map<string, HolderRecord>();
		for (const holder of holders.values()) {
			const known = newest.get(holder.daemon);
			if (!known || known.incarnation < holder.incarnation) {
				newest.set(holder.daemon, holder);
			}
		}

		return [...newest.values()].filter(holder => !holder.hasEnded);
	}

	return {
		put(key: string, record: HolderRecord): void {
			const known = holders.get(key);
			if (known) {
				addGranted(known, -1);
			}

			addGranted(record, 1);
			holders.set(key, record);
			newestVersion = Math.max(newestVersion, record.version);
			running = undefined;
		},

		get: (key: string): HolderRecord | undefined => holders.get(key),
		list: (): HolderRecord[] => [...holders.values()],

		/** Tokens of a customer's budget that were granted to holders other than the one named. */
		sumGranted(customer: string, except?: string): number {
			const own = except === undefined ? 0 : holders.get(except)?.granted[customer] ?? 0;
			return (sums.get(customer) ?? 0) - own;
		},

		/** The newest deployment version that any writer had seen. */
		findNewestVersion: (): number => newestVersion,

		/** The newest incarnation of a daemon before the one named. */
		findPredecessor(daemon: string, incarnation: string): HolderRecord | undefined {
			const earlier = [...holders.values()].filter(holder => holder.daemon === daemon && holder.incarnation < incarnation);
			return earlier.sort((left, right) => left.incarnation < right.incarnation ? 1 : -1)[0];
		},

		/** The newest incarnation of each daemon that has not stopped. */
		listRunning(): readonly HolderRecord[] {
			running ??= findRunning();
			return running;
		},
	};
}
