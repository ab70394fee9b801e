/**
 * The upstreams that registered themselves, folded from their records.
 *
 * @module
 */
import type {UpstreamEntry} from '../protocol/mod.js';

type Entry = {upstream: UpstreamEntry; lapsesAt?: number; warmAt: number; hasMoved?: boolean};

/** An upstream that takes requests. */
export type LiveUpstream = {
	readonly upstream: UpstreamEntry;
	readonly isWarm: boolean;
	/** It is no longer listed and takes requests for a grace only. */
	readonly isOnGrace: boolean;
};

/** The upstreams that registered themselves. */
export type UpstreamDirectory = ReturnType<typeof createUpstreamDirectory>;

/**
 * Creates an empty directory.
 *
 * @example
 * ```ts
 * const directory = createUpstreamDirectory();
 * directory.put(upstream, 0);
 * directory.listLive('beds', 10);
 * ```
 *
 * @returns The directory
 */
export function createUpstreamDirectory() {
	const entries = new Map<string, Entry>();

	function isLive(entry: Entry, now: number): boolean {
		return !entry.upstream.isDraining && !entry.hasMoved && (entry.lapsesAt === undefined || now < entry.lapsesAt);
	}

	return {
		put(upstream: UpstreamEntry, now: number): void {
			const known = entries.get(upstream.id);
			// An upstream that is leaving never takes work again; an older record read late must not bring it back.
			const isDraining = upstream.isDraining || known?.upstream.isDraining === true;
			entries.set(upstream.id, {upstream: {...upstream, isDraining}, warmAt: now + upstream.warmUp});
		},

		/** Takes an entry out, at once or on a grace that ends at `graceEnd`: it may have lapsed, and its upstream live. */
		drop(id: string, graceEnd?: number): void {
			const known = entries.get(id);
			if (known && graceEnd !== undefined) {
				known.lapsesAt ??= graceEnd;
			} else {
				entries.delete(id);
			}
		},

		/**
		 * Notes that another upstream answers at the address of this one, which
		 * takes no requests until it registers itself again.
		 *
		 * After all engines of a service lost power their entries stand for three
		 * heartbeats, and rendezvous hashing sends each request of a prompt to the
		 * same dead entry, where it is refused.
		 */
		markMoved(id: string): void {
			const known = entries.get(id);
			if (known) {
				known.hasMoved = true;
			}
		},

		get: (id: string): UpstreamEntry | undefined => entries.get(id)?.upstream,
		/** True for an upstream that may still get requests. */
		isLive(id: string, now: number): boolean {
			const entry = entries.get(id);
			return entry !== undefined && isLive(entry, now);
		},

		/** The upstreams of a service that take requests. */
		listLive(service: string, now: number): LiveUpstream[] {
			return [...entries.values()]
				.filter(entry => entry.upstream.service === service && isLive(entry, now))
				.map(entry => ({upstream: entry.upstream, isWarm: now >= entry.warmAt, isOnGrace: entry.lapsesAt !== undefined}));
		},

		/** Whole milliseconds for which an upstream that is no longer listed still takes requests. */
		countGrace(id: string, now: number): number {
			const entry = entries.get(id);
			return entry?.lapsesAt !== undefined && isLive(entry, now) ? Math.round(entry.lapsesAt - now) : 0;
		},

		listIds: (): string[] => [...entries.keys()],
		/** True if any upstream takes requests. */
		hasLive: (now: number): boolean => [...entries.values()].some(entry => isLive(entry, now)),

		/** Forgets entries whose grace has passed: their upstreams left, or will register themselves anew. */
		prune(now: number): void {
			for (const [id, {lapsesAt}] of entries) {
				if (lapsesAt !== undefined && now >= lapsesAt) {
					entries.delete(id);
				}
			}
		},
	};
}
