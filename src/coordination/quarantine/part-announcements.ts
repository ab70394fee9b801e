/**
 * Chooses which crash records of parts a gateway includes in its gossip.
 *
 * @module
 */
import {
	announcePart, type PartAnnouncement, type PartCrashRegistry, type TrackedPartRecord,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {BlameLevel} from './part-blame.js';

/** Options of {@linkcode createPartAnnouncements}. */
export type CreatePartAnnouncementsOptions = {
	readonly registry: Pick<PartCrashRegistry, 'get' | 'isEmpty' | 'list' | 'getReadAt'>;
	/** Returns the level of a part that is to blame. */
	readonly findLevel: (digest: string) => BlameLevel | undefined;
	readonly clock: Clock;
};

/** The records that a gateway includes in its gossip. */
export type PartAnnouncements = ReturnType<typeof createPartAnnouncements>;

/** How long a changed record is included in gossip. */
const gossipPeriodMs = 10_000;
/** Maximum number of records in one gossip entry. */
const maxGossipRecords = 12;

/**
 * Creates the choice.
 *
 * @example
 * ```ts
 * const announcements = createPartAnnouncements({registry, findLevel: () => undefined, clock});
 * announcements.recordObserved('9c41d07b');
 * announcements.listNext();
 * ```
 *
 * @param options The records, and which parts are to blame
 * @returns The choice
 */
export function createPartAnnouncements({registry, findLevel, clock}: CreatePartAnnouncementsOptions) {
	/** When this gateway last saw a crash or an answer that changed a record. */
	const observedAt = new Map<string, number>();
	/** When each record was last included, so that more records than fit take turns. */
	const announcedAt = new Map<string, number>();

	// What another gateway saw reaches the others from there, so that only records of blamed parts are repeated. A gateway
	// announces an answer only if it has the record of the part's crashes, so held parts are repeated without end.
	function isAnnounced({digest, changedAt}: TrackedPartRecord): boolean {
		const level = findLevel(digest);
		const lastChangeAt = Math.max(observedAt.get(digest) ?? Number.NEGATIVE_INFINITY, level === undefined ? Number.NEGATIVE_INFINITY : changedAt);
		return level === 'held' || clock.now() - lastChangeAt < gossipPeriodMs;
	}

	// Blamed parts come first, then those that may be the cause, then those not announced for the longest time.
	function compareForGossip(left: TrackedPartRecord, right: TrackedPartRecord): number {
		const rank = ({digest}: TrackedPartRecord) => (findLevel(digest) === undefined ? 0 : 2) + (registry.getReadAt(digest) === undefined ? 1 : 0);
		return rank(right) - rank(left) || (announcedAt.get(left.digest) ?? 0) - (announcedAt.get(right.digest) ?? 0);
	}

	return {
		/** Records that this gateway saw a crash or an answer that changed the record of a part. */
		recordObserved(digest: string): void {
			observedAt.set(digest, clock.now());
		},

		/** Returns the records to be included in the next gossip entry. */
		listNext(): PartAnnouncement[] {
			if (registry.isEmpty()) {
				return [];
			}

			const now = clock.now();
			const next = registry.list().filter(record => isAnnounced(record)).sort(compareForGossip).slice(0, maxGossipRecords);
			for (const {digest} of next) {
				announcedAt.set(digest, now);
			}

			return next.map(record => announcePart(record, now));
		},

		/** Forgets parts that the registry no longer has. */
		prune(): void {
			for (const times of [announcedAt, observedAt]) {
				for (const digest of times.keys()) {
					if (registry.get(digest) === undefined) {
						times.delete(digest);
					}
				}
			}
		},
	};
}
