/**
 * Decides whether a gateway's records of the upstreams are too old to send
 * requests by.
 *
 * Answers a gateway that alone cannot read the store, for example because
 * callers saturate its link: an upstream that leaves serves only for a stated
 * time, and a gateway that has not read for longer sends requests to upstreams
 * that are gone. While the others read the store, callers who are sent away
 * find one that is up to date. If the store is unavailable to most, all
 * records are equally old, and requests are sent as before.
 *
 * @module
 */

/** What the decision depends on; ages in milliseconds. */
export type ViewAges = {
	/** Age of this gateway's records; undefined before the first read. */
	readonly ownAgeMs: number | undefined;
	/** Ages that the other gateways stated. */
	readonly peerAgesMs: readonly number[];
	/** Time for which an upstream that leaves still serves; undefined if it is unknown. */
	readonly drainMs: number | undefined;
};

/** Time that a request may need to reach an upstream after the decision. */
const transitMs = 200;
/** Records are read each 0.5 s, and read again after a read that hangs for 0.6 s; older ones show that reads fail. */
const maxRecentAgeMs = 1200;

/**
 * Returns whether a gateway should send no requests because of the age of its
 * records.
 *
 * @example
 * ```ts
 * isViewOutdated({ownAgeMs: 5000, peerAgesMs: [300, 400, 6000], drainMs: 3000}); // true
 * ```
 *
 * @param ages Ages of the records here and elsewhere
 * @returns True if the records are too old and most other gateways have recent ones
 */
export function isViewOutdated({ownAgeMs = Number.POSITIVE_INFINITY, peerAgesMs, drainMs}: ViewAges): boolean {
	if (drainMs === undefined || ownAgeMs <= Math.max(maxRecentAgeMs, drainMs - transitMs)) {
		return false;
	}

	const recent = peerAgesMs.filter(age => age <= maxRecentAgeMs);
	return recent.length > peerAgesMs.length / 2;
}
