/**
 * Decides how a request that lacks tokens is rejected.
 *
 * @module
 */
import {createFailure, type Failure} from '../../protocol/mod.js';

/** What a gateway knows when it rejects a request; amounts in tokens. */
export type RefusalView = {
	readonly customer: string;
	readonly amount: number;
	readonly bought: number;
	/** Tokens of the budget that are not granted to other gateways and not spent here. */
	readonly remaining: number;
	/** True if the log and every gateway have just confirmed what remains. */
	readonly isCertain: boolean;
	/** Time until tokens are expected. */
	readonly retryAfterMs: number;
};

/** State from which the time until tokens are expected is estimated. */
export type RetryAfterView = {
	/** True if calls that may deliver tokens run. */
	readonly isLoanOpen: boolean;
	/** Smoothed duration of recent loans. */
	readonly loanDurationMs: number;
	/** True if a claim runs here or at the owner. */
	readonly isClaiming: boolean;
	/** Duration of recent claims. */
	readonly claimDurationMs: number;
};

/** Retry delay while nothing is on its way: tokens are reserved by running requests, which take about a second. */
const busyRetryAfterMs = 1000;
/** Shortest retry delay; a retry that comes before the tokens is rejected again. */
const minRetryAfterMs = 250;
/** Longest retry delay: after a call for a loan has timed out. */
const maxRetryAfterMs = 5000;
/** A loan or a claim that has not ended may take this multiple of recent ones. */
const durationFactor = 2;

/**
 * Estimates the time until tokens are expected.
 *
 * @example
 * ```ts
 * estimateRetryAfterMs({isLoanOpen: true, loanDurationMs: 800, isClaiming: false, claimDurationMs: 20}); // 1600
 * ```
 *
 * @param view What is on its way
 * @returns The time in milliseconds
 */
export function estimateRetryAfterMs({
	isLoanOpen, loanDurationMs, isClaiming, claimDurationMs,
}: RetryAfterView): number {
	if (!isLoanOpen && !isClaiming) {
		return busyRetryAfterMs;
	}

	const expectedMs = durationFactor * Math.max(isLoanOpen ? loanDurationMs : 0, isClaiming ? claimDurationMs : 0);
	return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(expectedMs)));
}

/**
 * Decides whether the rejected request finds its budget exhausted or its tokens
 * unobtainable for now.
 *
 * @example
 * ```ts
 * decideRefusal({customer: 'city-1', amount: 1540, bought: 9000, remaining: 200, isCertain: true, retryAfterMs: 1000}).type; // 'budget-exhausted'
 * ```
 *
 * @param view What the gateway knows
 * @returns The failure
 */
export function decideRefusal({
	customer, amount, bought, remaining, isCertain, retryAfterMs,
}: RefusalView): Failure {
	return isCertain && remaining < amount
		? createFailure('budget-exhausted', `Customer "${customer}" has ${remaining} of ${bought} tokens left and the request may need ${amount}`)
		: createFailure('budget-busy', `Customer "${customer}" has ${remaining} tokens left here and the request may need ${amount}`, {retryAfterMs});
}
