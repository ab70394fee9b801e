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
	/** Gateways that may hold grants of the budget. */
	readonly holders: number;
	/** The gateway stops. */
	readonly isEnding: boolean;
};

/**
 * Demand that a grant covers, in milliseconds, while much of the budget is
 * left: the store is away or slow for 5 s now and then, and a slow store takes
 * seconds for the claims of four gateways that collide.
 */
const horizon = 5000;
/** Demand that a grant covers towards the end of a budget, in milliseconds: 30 claims of a store that works. */
const leastHorizon = 500;
/** Claims that the cover must last for: with a slow store, 0.8 s a claim, it grows to several seconds. */
const claimsCovered = 6;
/** A grant is renewed when less than this share of what it should cover is free. */
const renewBelow = 0.5;
/** A grant is reduced when more than this multiple of what it should cover is free. */
const reduceAbove = 2;
/**
 * Share of what is left of a budget that all gateways together may hold free.
 * What is free in a grant is lost when its holder dies, and when everything
 * loses power all of it is lost: a customer then lacks at most this share of
 * what it could still have used.
 */
const strandedShare = 0.16;

/**
 * Computes the total that a gateway should be granted.
 *
 * @example
 * ```ts
 * computeGrant({
 *   granted: 0, bound: 0, free: 0, wanted: 500, rate: 0, claimTime: 10, available: 10_000, holders: 4, isEnding: false,
 * }); // 500
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
	const mayStrand = Math.max(rest * strandedShare / view.holders, view.rate * leastHorizon);
	const cover = Math.min(view.rate * (horizon + (view.claimTime * claimsCovered)), mayStrand, rest);
	const isShort = free < wanted || free < cover * renewBelow;
	const isIdle = free > cover * reduceAbove && granted > bound;
	if (!isShort && !isIdle) {
		return granted;
	}

	return Math.max(Math.min(bound, granted), Math.min(available, Math.ceil(bound + wanted + cover)));
}
