/**
 * Tokens of each customer's budget that have been granted to each gateway.
 *
 * Each incarnation of a gateway owns one record in a keyed log. It holds the
 * cumulative total granted to that incarnation from each budget. A record is
 * appended only if its writer has read the log to the end, so the writer knows
 * all other totals and their sum never exceeds the tokens bought. A grant is
 * used up and never expires, because a paused holder cannot know how much time
 * has passed. The totals of ended incarnations continue to count.
 *
 * A log that was restored from a backup lacks its last records. Of two records
 * of an incarnation the one with the higher sequence number holds, so that the
 * older one in the backup returns no tokens. What nobody remembers is counted by
 * a recovery record (see `coordination/grant-recovery.ts`).
 *
 * @module
 */
import * as z from 'zod';
import type {LogEpoch} from '../protocol/mod.js';
import {customerTokensSchema, getTokens} from './customer-tokens.js';

/** Schema of a holder's record. */
export const holderRecordSchema = z.object({
	/** A relay holds no grants; its record only announces it. */
	role: z.enum(['gateway', 'relay']),
	/** The daemon's name. */
	daemon: z.string(),
	/** Identifier of one run of the daemon's process. */
	incarnation: z.string(),
	/** Address at which other gateways reach it: IP address and port. */
	address: z.string(),
	/** Address at which a gateway receives gossip from other gateways: IP address and port. */
	newsAddress: z.string().optional(),
	failureDomain: z.string(),
	/** The deployment version from which the writer took the amounts bought. */
	version: z.number().int(),
	/** Increases with each record of the incarnation. */
	sequence: z.number().int(),
	/** Total tokens granted to the incarnation, by customer. */
	granted: customerTokensSchema,
	/** Tokens per second requested by callers when the record was written, by customer; read by the daemon's next incarnation. */
	rates: customerTokensSchema.optional(),
	/** True if the incarnation has stopped; `granted` then holds only the tokens it used. */
	hasEnded: z.boolean(),
	/** Epoch of the log whose grants the writer knew completely; absent in records of versions that do not know epochs. */
	epoch: z.number().int().optional(),
});

/** Epoch in the records of a log that does not state one. */
export const unstatedEpoch = -1;

/** Schema of the record that ends the recovery of the grants after the log was restored. */
export const recoveryRecordSchema = z.object({
	/** Epoch of the log from which on the grants are complete. */
	epoch: z.number().int(),
	/** Tokens that may have been granted to the missing holders, by customer. */
	reserved: customerTokensSchema,
	/** Keys of the holders whose last records are unknown. The tokens are available again when all have written a record. */
	missing: z.array(z.string()),
	/** Sequence numbers of the holders' records, by key. An append of an earlier epoch may take effect later and replace one of them. */
	sequences: z.record(z.string(), z.number().int()),
});

/** The end of a recovery. */
export type RecoveryRecord = z.infer<typeof recoveryRecordSchema>;

/** Stands for any holder in {@linkcode RecoveryRecord}: no gateway remembers who held grants. */
export const anyHolder = '*';

/** A holder's record and its key. */
export type KeyedHolder = {readonly key: string; readonly record: HolderRecord};

/** Record of one incarnation of a gateway or relay. */
export type HolderRecord = z.infer<typeof holderRecordSchema>;

/** A holder whose newest record cannot be read. */
type UnreadableHolder = {
	/** Tokens that it may have been granted, by customer. */
	readonly granted: Map<string, number>;
	/** Customers of whom its newest record has been counted. */
	readonly counted: Set<string>;
};

/** Registry of the tokens granted to every gateway. */
export type GrantRegistry = ReturnType<typeof createGrantRegistry>;

/**
 * Creates an empty registry.
 *
 * @example
 * ```ts
 * const registry = createGrantRegistry();
 * registry.put('entry-1/i-9', record);
 * registry.sumGranted('city-1');
 * ```
 *
 * @returns The registry
 */
export function createGrantRegistry() {
	const holders = new Map<string, HolderRecord>();
	const grantedByCustomer = new Map<string, number>();
	const unreadableHolders = new Map<string, UnreadableHolder>();
	/** Highest sequence number that the log has of each holder. */
	const loggedSequences = new Map<string, number>();
	let recovery: RecoveryRecord | undefined;
	let newestVersion = Number.NEGATIVE_INFINITY;
	let runningHolders: HolderRecord[] | undefined;

	function addGranted({granted}: HolderRecord, sign: 1 | -1): void {
		for (const [customer, tokens] of Object.entries(granted)) {
			grantedByCustomer.set(customer, (grantedByCustomer.get(customer) ?? 0) + (sign * tokens));
		}
	}

	function removeUnreadable(key: string): void {
		for (const [customer, tokens] of unreadableHolders.get(key)?.granted ?? []) {
			grantedByCustomer.set(customer, (grantedByCustomer.get(customer) ?? 0) - tokens);
		}

		unreadableHolders.delete(key);
	}

	function findRunning(): HolderRecord[] {
		const newestByDaemon = new Map<string, HolderRecord>();
		for (const holder of holders.values()) {
			const current = newestByDaemon.get(holder.daemon);
			if (!current || current.incarnation < holder.incarnation) {
				newestByDaemon.set(holder.daemon, holder);
			}
		}

		return [...newestByDaemon.values()].filter(holder => !holder.hasEnded);
	}

	// A relay writes the same sequence number in each incarnation.
	function isOutdated(record: HolderRecord, known: HolderRecord | undefined): boolean {
		return known?.incarnation === record.incarnation && record.sequence < known.sequence;
	}

	function merge(key: string, record: HolderRecord): void {
		const previous = holders.get(key);
		if (isOutdated(record, previous)) {
			return;
		}

		if (previous) {
			addGranted(previous, -1);
		}

		removeUnreadable(key);
		addGranted(record, 1);
		holders.set(key, record);
		newestVersion = Math.max(newestVersion, record.version);
		runningHolders = undefined;
	}

	function putUnreadable(key: string): void {
		const granted = unreadableHolders.get(key)?.granted ?? new Map<string, number>();
		unreadableHolders.set(key, {granted, counted: new Set()});
	}

	// The log has a record that is older than the one which the recovery counted.
	function checkReplaced(key: string): void {
		const counted = recovery?.sequences[key];
		if (counted !== undefined && (holders.get(key)?.sequence ?? Number.NEGATIVE_INFINITY) < counted) {
			putUnreadable(key);
		}
	}

	function isLogged(key: string): boolean {
		const sequence = loggedSequences.get(key);
		return sequence !== undefined && sequence >= (holders.get(key)?.sequence ?? 0);
	}

	function hasWrittenSince(key: string, epoch: number): boolean {
		return (holders.get(key)?.epoch ?? Number.NEGATIVE_INFINITY) >= epoch;
	}

	function listMissing(): readonly string[] {
		return recovery?.missing.every(key => hasWrittenSince(key, recovery!.epoch)) === false ? recovery.missing : [];
	}

	function countReserved(customer: string): number {
		return listMissing().length > 0 ? getTokens(recovery!.reserved, customer) : 0;
	}

	return {
		/** Stores a record that was read from the log. */
		put(key: string, record: HolderRecord): void {
			merge(key, record);
			loggedSequences.set(key, record.sequence);
			checkReplaced(key);
		},

		/** Stores a record that another gateway has reported, if it is newer. */
		merge,

		/** Records that the log was restored: until they are read again, it may lack all records. */
		dropLogged(): void {
			loggedSequences.clear();
		},

		/** Returns true if the log has the newest known record of a holder. */
		isLogged,

		/** Lists the records that the log lacks. */
		listUnlogged: (): KeyedHolder[] => [...holders].filter(([key]) => !isLogged(key)).map(([key, record]) => ({key, record})),

		/** Lists all holders with their keys. */
		listKeyed: (): KeyedHolder[] => [...holders].map(([key, record]) => ({key, record})),

		/** Stores the end of a recovery; one of an earlier epoch is ignored. */
		putRecovery(record: RecoveryRecord): void {
			if (record.epoch < (recovery?.epoch ?? Number.NEGATIVE_INFINITY)) {
				return;
			}

			recovery = record;
			for (const key of Object.keys(record.sequences)) {
				checkReplaced(key);
			}
		},

		/** Returns the end of the last recovery. */
		getRecovery: (): RecoveryRecord | undefined => recovery,

		/** Lists the holders whose last records are still unknown after the last recovery. */
		listMissing,

		/** Returns true if a gateway that knew all grants has written in an epoch. */
		hasWriterOf: (epoch: LogEpoch): boolean => [...holders.values()].some(holder => holder.role === 'gateway' && holder.epoch === epoch),

		/** Returns true if any record was written by a version that knows epochs. */
		statesEpochs: (): boolean => [...holders.values()].some(holder => holder.epoch !== undefined),

		/**
		 * Records that the newest record of a holder cannot be read, as when it was
		 * written by another version of the program. Its earlier record still counts.
		 */
		putUnreadable,

		/**
		 * Counts all tokens of a customer that are not granted otherwise as granted to
		 * a holder whose record cannot be read. Must be called before tokens of the
		 * customer are claimed; what is bought after the holder's record remains
		 * available.
		 */
		reserveForUnreadable(customer: string, bought: number): void {
			for (const {granted, counted} of unreadableHolders.values()) {
				if (!counted.has(customer)) {
					const total = grantedByCustomer.get(customer) ?? 0;
					const tokens = Math.max(0, bought - total);
					counted.add(customer);
					granted.set(customer, (granted.get(customer) ?? 0) + tokens);
					grantedByCustomer.set(customer, total + tokens);
				}
			}
		},

		get: (key: string): HolderRecord | undefined => holders.get(key),
		list: (): HolderRecord[] => [...holders.values()],

		/** Returns the tokens of a customer's budget granted to all holders and reserved for missing ones, without those of `excludedKey`. */
		sumGranted(customer: string, excludedKey?: string): number {
			const excludedTokens = excludedKey === undefined ? 0 : getTokens(holders.get(excludedKey)?.granted, customer);
			return (grantedByCustomer.get(customer) ?? 0) - excludedTokens + countReserved(customer);
		},

		/** Returns the newest deployment version that any writer had read. */
		findNewestVersion: (): number => newestVersion,

		/** Returns the record of the newest incarnation of a daemon before the given one. */
		findPredecessor(daemon: string, incarnation: string): HolderRecord | undefined {
			const earlier = [...holders.values()].filter(holder => holder.daemon === daemon && holder.incarnation < incarnation);
			return earlier.sort((left, right) => left.incarnation < right.incarnation ? 1 : -1)[0];
		},

		/** Returns the record of each daemon's newest incarnation, without daemons whose newest incarnation has stopped. */
		listRunning(): readonly HolderRecord[] {
			runningHolders ??= findRunning();
			return runningHolders;
		},
	};
}
