/**
 * Decides how many tokens a gateway borrows before its requests need them.
 *
 * @module
 */

/** State of one customer's budget at a gateway that borrows; amounts in tokens. */
export type AheadView = {
	/** Tokens recently spent per millisecond. */
	readonly rate: number;
	/** Tokens of the budget that are not granted to other gateways and not spent here. */
	readonly remaining: number;
	/** Number of gateways in the fleet. */
	readonly gateways: number;
	/** Share of the fleet's rate for the customer that this gateway has; an equal share if undefined. */
	readonly rateShare?: number;
	/** Smoothed duration of recent loans, in milliseconds. */
	readonly loanDurationMs?: number;
	/** Mean tokens of recent requests; 0 if unknown. */
	readonly requestTokens?: number;
};

/** Share of what remains of a budget that all gateways together may hold in advance. */
const maxAheadShare = 0.05;
/** The tokens of a watermark last for this multiple of the duration of a loan. */
const durationFactor = 2;
/** Shortest time that a watermark covers: loans take 2 to 50 ms, but 250 ms when the owner claims first or gossip is late. */
const minCoverMs = 250;
/** Longest time that a watermark covers; what a gateway holds is missing elsewhere. */
const maxCoverMs = 2000;
/** The watermark covers one request if one is expected within this time, because a request is served only by all of its tokens. */
const requestHorizonMs = 5000;
/** Tokens are borrowed up to this multiple of the watermark, so that each loan serves several requests. */
const targetFactor = 2;
/** Weight of the latest duration in the average. */
const durationWeight = 0.2;

/**
 * Computes the free tokens below which a gateway borrows: what it spends in the
 * time that a loan takes.
 *
 * @example
 * ```ts
 * computeWatermark({rate: 10, loanDurationMs: 300}); // 6000
 * ```
 *
 * @param view The rate and the duration of loans
 * @returns The watermark in tokens
 */
export function computeWatermark({rate, loanDurationMs = 0, requestTokens = 0}: Pick<AheadView, 'rate' | 'loanDurationMs' | 'requestTokens'>): number {
	const spentMeanwhile = Math.max(0, rate) * Math.min(maxCoverMs, Math.max(minCoverMs, loanDurationMs * durationFactor));
	return rate * requestHorizonMs >= requestTokens ? Math.max(spentMeanwhile, requestTokens) : spentMeanwhile;
}

/**
 * Computes the free tokens up to which a gateway borrows in advance. The limit is
 * its share of a twentieth of what remains, so that gateways with little demand do not
 * hold what others lack.
 *
 * @example
 * ```ts
 * computeAheadTarget({rate: 10, loanDurationMs: 300, remaining: 1_000_000, gateways: 24, rateShare: 0.5}); // 12_000
 * ```
 *
 * @param view The state of the budget
 * @returns The target in tokens
 */
export function computeAheadTarget(view: AheadView): number {
	const share = Math.min(1, Math.max(0, view.rateShare ?? 1 / view.gateways));
	return Math.floor(Math.min(computeWatermark(view) * targetFactor, view.remaining * maxAheadShare * share));
}

/**
 * Computes the tokens to borrow in advance now.
 *
 * @example
 * ```ts
 * computeAhead({...view, free: 500}); // 0 while free tokens are above the watermark
 * ```
 *
 * @param view The state of the budget and the tokens that are free here or on their way
 * @returns The tokens to borrow
 */
export function computeAhead(view: AheadView & {readonly free: number}): number {
	const target = computeAheadTarget(view);
	return view.free < target / targetFactor ? Math.floor(target - view.free) : 0;
}

/**
 * Computes the share of the fleet's rate for a customer that a gateway has. The
 * grants record of the owner states the rate of all, as it counts what it lends.
 *
 * @example
 * ```ts
 * computeRateShare(0.5, [1000, 20]); // 0.5
 * ```
 *
 * @param rate Tokens that the gateway recently spent per millisecond
 * @param recordedRates Rates in the grants records, in tokens per second
 * @returns The share, or undefined if no record states a rate
 */
export function computeRateShare(rate: number, recordedRates: Iterable<number>): number | undefined {
	let highest = 0;
	for (const recorded of recordedRates) {
		highest = Math.max(highest, recorded / millisecondsPerSecond);
	}

	return highest > 0 ? Math.min(1, Math.max(0, rate) / highest) : undefined;
}

const millisecondsPerSecond = 1000;

/** Smoothed duration of loans. */
export class LoanDurations {
	#ms: number | undefined;

	record(durationMs: number): void {
		this.#ms = this.#ms === undefined ? durationMs : this.#ms + ((durationMs - this.#ms) * durationWeight);
	}

	/** Returns the duration in milliseconds; 0 before the first loan. */
	getMs(): number {
		return this.#ms ?? 0;
	}
}
