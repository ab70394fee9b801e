/**
 * How large a gateway's grant of one budget should be.
 *
 * What a grant covers must last through the store's absences; what lies idle
 * in a grant is lost if its holder dies, and is missing elsewhere near the end
 * of the budget.
 *
 * @module
 */

/** What a gateway knows of one budget; amounts in tokens. */
export type GrantView = {
	/** Total granted to it. */
	readonly granted: number;
	/** Part of the grant that cannot be given back. */
	readonly bound: number;
	readonly free: number;
	/** What waiting requests ask for. */
	readonly wanted: number;
	/** Tokens a millisecond spent of late. */
	readonly rate: number;
	/** Milliseconds that a claim takes of late. */
	readonly claimTime: number;
	/** What was bought less what was granted to others. */
	readonly available: number;
	/** The gateway stops. */
	readonly isEnding: boolean;
};

/**
 * Demand that a grant covers, in milliseconds. What is free in a grant is lost
 * when its holder dies, and on most days everything dies once; a claim takes
 * 10 ms, and a gateway cut off alone claims through a relay. Only a store that
 * is away for all daemons at once, seldom and for about 5 s, asks for more.
 */
const horizon = 1200;
/** Claims that the cover must last for: with a slow store, 0.4 s a call, it grows to several seconds. */
const claimsCovered = 6;
/** A grant is renewed when less than this share of what it should cover is free. */
const renewBelow = 0.5;
/** A grant is reduced when more than this multiple of what it should cover is free. */
const reduceAbove = 2;
/** Share of what is left that one gateway may hold free, so that the rest can be claimed where it is needed. */
const shareOfRest = 0.35;

/**
 * Computes the total that a gateway should be granted.
 *
 * @example
 * ```ts
 * computeGrant({granted: 0, bound: 0, free: 0, wanted: 500, rate: 0, claimTime: 10, available: 10_000, isEnding: false}); // 500
 * ```
 *
 * @param view What it knows
 * @returns The total, never more than is available
 */
export function computeGrant(view: GrantView): number {
	const available = Math.max(0, Math.floor(view.available));
	const {granted, bound, free, wanted} = view;
	if (view.isEnding) {
		return Math.min(granted, bound);
	}

	// What was bought has been lowered: what is not bound goes back.
	if (granted > available) {
		return Math.max(Math.min(granted, bound), available);
	}

	const rest = Math.max(0, available - bound);
	const cover = Math.min(view.rate * (horizon + (view.claimTime * claimsCovered)), rest * shareOfRest);
	const isShort = free < wanted || free < cover * renewBelow;
	const isIdle = free > cover * reduceAbove && granted > bound;
	if (!isShort && !isIdle) {
		return granted;
	}

	return Math.max(Math.min(bound, granted), Math.min(available, Math.ceil(bound + wanted + cover)));
}
