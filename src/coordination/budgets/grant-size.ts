/**
 * Computes how large a gateway's grant of one budget should be.
 *
 * A grant must cover the demand while the store is unavailable. Idle tokens in
 * a grant are lost if its holder fails, and are missing at other gateways when
 * the budget is nearly used up.
 *
 * @module
 */

/** State of one budget as known to a gateway; amounts in tokens. */
export type GrantView = {
	/** Total granted to the gateway. */
	readonly granted: number;
	/** Part of the grant that cannot be released. */
	readonly bound: number;
	readonly free: number;
	/** Tokens that waiting requests need. */
	readonly wanted: number;
	/** Tokens recently spent per millisecond. */
	readonly rate: number;
	/** Time that a claim takes, in milliseconds. */
	readonly claimDurationMs: number;
	/** Tokens bought minus those granted to other gateways. */
	readonly available: number;
	/** Tokens bought minus those granted to any gateway. */
	readonly ungranted: number;
	/** Tokens bought. */
	readonly bought: number;
	/** Number of gateways that claim the budget. */
	readonly claimers: number;
	/** True if this gateway is one of them, and knows the others. */
	readonly isKnownClaimer: boolean;
	/** Time since the first demand for the budget was seen, in milliseconds; 0 before it. */
	readonly observedMs: number;
	/** True if the gateway is stopping. */
	readonly isEnding: boolean;
};

/**
 * Duration of demand that a grant covers while much of the budget is left. The
 * store is occasionally unavailable or slow for 5 s, and a slow store takes
 * seconds for the colliding claims of four gateways.
 */
const horizonMs = 5000;
/** Duration of demand that a grant covers when the budget is nearly used up: 30 claims with a healthy store. */
const minHorizonMs = 500;
/** Number of additional claims whose duration a grant covers; with a slow store, at 0.8 s per claim, that is several seconds. */
const coveredClaims = 6;
/** A grant is increased when its free tokens fall below this share of the target. */
const renewBelowShare = 0.5;
/** A grant is reduced when its free tokens exceed this multiple of the target. */
const reduceAboveFactor = 2;
/**
 * Share of a budget's remaining tokens that all gateways together may hold
 * free. Free tokens of a grant are lost when its holder fails. If all gateways
 * lose power at once, a customer loses at most this share of what it could
 * still have used.
 */
const maxStrandedShare = 0.08;
/** Time after the first demand from which on grants go by demand: its rate is known by then. */
const unseenDemandMs = 2000;
/** Share of a purchase that is granted before it is asked for where one gateway claims for all. */
const unseenDemandShare = 0.2;
/** The same for each of several claimers. The failure of one costs every customer its part, so it is smaller. */
const unseenDemandShareEach = 0.02;

/**
 * @internal Duration of demand that a grant covers however much is stranded. A
 * grant that lasts for less than a few claims runs out while it is renewed, and
 * the more often gateways claim, the more of their claims collide. A claim begins
 * only when the grant has fallen to a share of its target.
 */
function computeCoveredMs({claimDurationMs}: GrantView): number {
	return Math.min(horizonMs, Math.max(minHorizonMs, claimDurationMs * coveredClaims / renewBelowShare));
}

/** Decides how many free tokens a grant should have. */
export abstract class GrantTargetPolicy {
	/** Returns the number of free tokens below which the grant is increased. */
	computeRenewBelow(view: GrantView, remaining: number): number {
		return this.computeTarget(view, remaining) * renewBelowShare;
	}

	/** Returns the number of tokens to hold free, at most `remaining`. */
	abstract computeTarget(view: GrantView, remaining: number): number;
}

/** Holds the demand of the next seconds free, as observed. */
export class DemandTargetPolicy extends GrantTargetPolicy {
	computeTarget(view: GrantView, remaining: number): number {
		const maxStranded = Math.max(remaining * maxStrandedShare / view.claimers, view.rate * computeCoveredMs(view));
		return Math.min(view.rate * (horizonMs + (view.claimDurationMs * coveredClaims)), maxStranded, remaining);
	}
}

/**
 * Holds the demand of the next seconds free and, until demand has been observed,
 * the rest of the first part of a purchase.
 *
 * Answers a store that becomes unavailable before demand has been observed. What
 * is held is lost if its holder fails, so it is held no longer than that, and not
 * by a gateway that has just started and takes itself for the only one.
 */
export class UnseenDemandTargetPolicy extends DemandTargetPolicy {
	override computeTarget(view: GrantView, remaining: number): number {
		return Math.min(super.computeTarget(view, remaining) + this.#computeUnseen(view), remaining);
	}

	// A part that is held for demand that is not seen yet does not replace what is held for the demand that is.
	override computeRenewBelow(view: GrantView, remaining: number): number {
		return Math.min((super.computeTarget(view, remaining) * renewBelowShare) + this.#computeUnseen(view), remaining);
	}

	#computeUnseen({isKnownClaimer, observedMs, bought, ungranted, free, claimers}: GrantView): number {
		if (!isKnownClaimer || observedMs >= unseenDemandMs) {
			return 0;
		}

		const share = claimers === 1 ? unseenDemandShare : Math.min(unseenDemandShare, claimers * unseenDemandShareEach);
		const granted = bought - ungranted;
		return Math.max(0, free + (((bought * share) - granted) / claimers));
	}
}

/**
 * Computes the total that a gateway should be granted.
 *
 * @example
 * ```ts
 * computeGrant({
 *   granted: 0, bound: 0, free: 0, wanted: 500, rate: 0, claimDurationMs: 10, available: 10_000, ungranted: 10_000, bought: 10_000, claimers: 4, isKnownClaimer: true, observedMs: 0, isEnding: false,
 * }, new DemandTargetPolicy()); // 500
 * ```
 *
 * @param view State of the budget
 * @param policy How many tokens to hold free
 * @returns The total to be granted: at most what is available, unless more is bound already
 */
export function computeGrant(view: GrantView, policy: GrantTargetPolicy): number {
	const available = Math.max(0, Math.floor(view.available));
	const {granted, bound, free, wanted} = view;
	if (view.isEnding) {
		return Math.min(granted, bound);
	}

	// The budget was lowered, so tokens that are not bound are released.
	if (granted > available) {
		return Math.max(Math.min(granted, bound), available);
	}

	const remaining = Math.max(0, available - bound);
	const targetFree = policy.computeTarget(view, remaining);
	const isLow = free < wanted || free < policy.computeRenewBelow(view, remaining);
	const isIdle = free > targetFree * reduceAboveFactor && granted > bound;
	if (!isLow && !isIdle) {
		return granted;
	}

	return Math.max(Math.min(bound, granted), Math.min(available, Math.ceil(bound + wanted + targetFree)));
}
