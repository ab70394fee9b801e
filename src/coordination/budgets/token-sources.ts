/**
 * Obtains the tokens of one waiting request: by loans, by a claim, or from replies
 * that are late.
 *
 * @module
 */
import {waitWithTimeout, type Clock} from '../../transport/mod.js';
import type {KeyedFollower} from '../store/keyed-follower.js';
import type {ClaimRounds} from './claim-rounds.js';
import type {BorrowOutcome} from './loan-search.js';
import type {LoanProgress, TokenBorrower} from './token-borrower.js';
import type {TokenWaiter} from './token-queue.js';

/** What a search has found out when it did not serve its request. */
export type SearchResult = {
	readonly isComplete: boolean;
	/** True if an owner that can reach the log has answered. */
	readonly isOwnerClaiming?: boolean;
};

/** Options of {@linkcode createTokenSources}. */
export type CreateTokenSourcesOptions = {
	readonly follower: Pick<KeyedFollower, 'isUp' | 'computeStalenessMs' | 'catchUp'>;
	readonly loans: Pick<LoanProgress, 'hasOpenLoans'>;
	readonly borrowMissing: TokenBorrower['borrowMissing'];
	readonly claimUntil: ClaimRounds['claimUntil'];
	/** Returns the tokens of the budget that are not granted to other gateways and not spent here. */
	readonly countRemaining: (customer: string) => number;
	/** Returns true if loans are faster than claims. */
	readonly isClaimSlow: () => boolean;
	/** Returns true if the outcome of a search shows that further ones cannot help. */
	readonly isExhausted: (waiter: TokenWaiter, outcome: BorrowOutcome) => boolean;
	/** Gives free tokens to waiting requests and returns true if this one has got its tokens. */
	readonly tryServe: (waiter: TokenWaiter) => boolean;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Obtains tokens. */
export type TokenSources = ReturnType<typeof createTokenSources>;

/** The log is read before a claim if the last read is older than a round of claims. */
const maxLogAgeMs = 500;
/** Share of the remaining wait that a claim may use, so that the other gateways can be asked after it. */
const claimWaitShare = 0.75;
/** Searches for tokens that a request makes in any case. */
const minBorrowRounds = 2;
/** Searches for tokens that a request makes while the owner of the budget claims more. */
const maxBorrowRounds = 4;
/** Pause before another search, in which a claim of the owner may succeed. */
const ownerClaimDelayMs = 150;

/**
 * Creates the sources of one gateway.
 *
 * @example
 * ```ts
 * const {isComplete} = await sources.obtainFromOwner(waiter, deadline);
 * ```
 *
 * @param options The loans and the claims
 * @returns The sources
 */
export function createTokenSources({
	follower, loans, borrowMissing, claimUntil, countRemaining, isClaimSlow, isExhausted, tryServe, clock, signal,
}: CreateTokenSourcesOptions) {
	async function claimAndServe(waiter: TokenWaiter, timeoutMs: number): Promise<boolean> {
		await claimUntil(waiter.customer, {timeoutMs, isDone: () => tryServe(waiter)});
		return waiter.reservation !== undefined;
	}

	// Borrows from other gateways, one of which claims for this one. Borrows twice, because a search that was already
	// running may not have counted this request, and again once a claim of the owner may have succeeded.
	async function borrowFromOwner(waiter: TokenWaiter, deadline: number): Promise<BorrowOutcome> {
		const {customer, amount} = waiter;
		for (let round = 1; ; round += 1) {
			const outcome = await borrowMissing(customer, deadline);
			const maxRounds = outcome.isOwnerClaiming && countRemaining(customer) >= amount ? maxBorrowRounds : minBorrowRounds;
			if (tryServe(waiter) || round >= maxRounds || clock.now() >= deadline || isExhausted(waiter, outcome)) {
				return outcome;
			}

			if (round >= minBorrowRounds) {
				await clock.sleep(Math.min(ownerClaimDelayMs, Math.max(0, deadline - clock.now())));
			}
		}
	}

	async function syncGrants(timeoutMs: number): Promise<void> {
		if (follower.isUp() && (follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY) > maxLogAgeMs) {
			await Promise.race([follower.catchUp(signal), clock.sleep(timeoutMs)]);
		}
	}

	// Tokens that a lender has deducted arrive with a late reply or with the answer to a poll.
	async function waitForOpenLoans(waiter: TokenWaiter, deadline: number): Promise<void> {
		if (waiter.reservation === undefined && loans.hasOpenLoans(waiter.customer) && clock.now() < deadline) {
			await waitWithTimeout(waiter.served, {clock, timeoutMs: deadline - clock.now()});
		}
	}

	// Claims only if the log shows unclaimed tokens and no owner reaches it. Otherwise the claim would collide with those of
	// the owner and delay the tokens of all.
	async function obtainFromOwner(waiter: TokenWaiter, deadline: number): Promise<SearchResult> {
		const {customer, amount} = waiter;
		const {isComplete, isOwnerClaiming} = await borrowFromOwner(waiter, deadline);
		if (waiter.reservation === undefined) {
			await syncGrants(Math.max(0, deadline - clock.now()));
			const mayClaim = !isOwnerClaiming && follower.isUp() && countRemaining(customer) >= amount;
			if (!mayClaim || !await claimAndServe(waiter, deadline - clock.now())) {
				await waitForOpenLoans(waiter, deadline);
			}
		}

		return {isComplete, isOwnerClaiming};
	}

	// Claims first, or borrows first while claims are slow. Always borrows last, so that a refusal is based on the latest
	// answers of the other gateways.
	async function obtainAsOwner(waiter: TokenWaiter, deadline: number): Promise<SearchResult> {
		const {customer} = waiter;
		if (isClaimSlow()) {
			await borrowMissing(customer, deadline);
			if (tryServe(waiter)) {
				return {isComplete: true};
			}
		}

		if (follower.isUp() && await claimAndServe(waiter, (deadline - clock.now()) * claimWaitShare)) {
			return {isComplete: true};
		}

		const {isComplete} = await borrowMissing(customer, deadline);
		if (!tryServe(waiter)) {
			await waitForOpenLoans(waiter, deadline);
		}

		return {isComplete};
	}

	return {obtainFromOwner, obtainAsOwner};
}
