/**
 * Until when an upstream whose entry was removed may still get requests.
 *
 * While the store is away upstreams cannot renew their entries, so entries of
 * upstreams that live may be removed. Most are back within two seconds of the
 * store's return, and without a grace all upstreams of a service could be gone
 * until then. But an entry is also removed when its upstream leaves, which
 * serves for a short time only; the record is the same.
 *
 * @module
 */
import type {Absence} from './keyed-follower.js';

/** Options of {@linkcode createLapseGrace}. */
export type CreateLapseGraceOptions = {
	/** Pause between two renewals of an upstream's entry, in milliseconds. */
	readonly heartbeat: number;
};

/** Until when upstreams whose entries were removed may still get requests. */
export type LapseGrace = ReturnType<typeof createLapseGrace>;

/** Upstreams whose entries lapsed are back within this many milliseconds of the store's return. */
const returnSpan = 2000;
/** An entry lapses after three heartbeats, and the last one came up to one heartbeat before the store went away. */
const leastHeartbeats = 2;

/**
 * Creates the grace of one gateway.
 *
 * Guards against requests that reach an upstream which left, long after its
 * leaving. A grace that is counted from the reading of a removal, or given
 * because any read failed lately, can outlast the time for which that
 * upstream serves. This one is counted from the last moment at which the store
 * was seen to be away, so it ends at most `returnSpan` after the store's
 * return, whenever a removal is read; and an absence in which no entry can
 * have lapsed gives none.
 *
 * @example
 * ```ts
 * const grace = createLapseGrace({heartbeat: 1200});
 * grace.noteReturn({from: 0, until: 5000, answeredAt: 5200});
 * grace.findEnd(5300); // 7000
 * ```
 *
 * @param options How often entries are renewed
 * @returns The grace
 */
export function createLapseGrace({heartbeat}: CreateLapseGraceOptions) {
	let end = Number.NEGATIVE_INFINITY;

	return {
		/** Notes that the store answers again. */
		noteReturn({from, until, answeredAt}: Absence): void {
			if (answeredAt - from >= heartbeat * leastHeartbeats) {
				end = until + returnSpan;
			}
		},

		/** When the grace of an entry that is now found removed ends; undefined if there is none. */
		findEnd: (now: number): number | undefined => now < end ? end : undefined,
	};
}
