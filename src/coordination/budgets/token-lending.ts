/**
 * Lending between gateways: a request for which this gateway has insufficient
 * tokens may use those of another gateway, also while the store is unavailable.
 *
 * @module
 */
import {waitWithTimeout} from '../../transport/mod.js';
import {createLoanCalls, type CreateLoanCallsOptions} from './loan-calls.js';
import {createLoanLender, type CreateLoanLenderOptions} from './loan-lender.js';
import {
	createLoanSearch, type BorrowAmounts, type BorrowOutcome, type CreateLoanSearchOptions,
} from './loan-search.js';

/** Options of {@linkcode createTokenLending}. */
export type CreateTokenLendingOptions = Omit<CreateLoanCallsOptions, 'listLenders'> & CreateLoanLenderOptions & Omit<CreateLoanSearchOptions, 'calls'>;

/** Lends tokens to other gateways and borrows from them. */
export type TokenLending = ReturnType<typeof createTokenLending>;

/**
 * Creates the lending of one gateway.
 *
 * @example
 * ```ts
 * const {tokens} = await lending.borrow('city-1', {needed: 1200, wanted: 3600, unclaimed: 50_000});
 * ```
 *
 * @param options The token account and the peers
 * @returns The lending
 */
export function createTokenLending(options: CreateTokenLendingOptions) {
	const {clock} = options;
	const calls = createLoanCalls({...options, listLenders: () => [...options.listViews(), ...options.listUnheard()]});
	const lender = createLoanLender(options);
	const search = createLoanSearch({...options, calls});
	const searches = new Map<string, Promise<BorrowOutcome>>();
	const aheadSearches = new Map<string, Promise<BorrowOutcome>>();

	return {
		/** Lends the tokens that a peer needs, and more if many are spare. */
		lend: lender.lend,

		/** Returns the tokens lent that their borrowers have not confirmed. */
		countUnconfirmed: lender.countUnconfirmed,

		/** Returns the tokens credited after nobody waited for their reply any more. */
		getLateTokens: calls.getLateTokens,

		/** Returns true if a lender that may have deducted tokens of the customer has not replied. */
		hasOpenLoans: calls.hasOpen,

		/** Returns true if such a lender did not reply in time but is still expected to. */
		hasLateLoans: calls.hasLate,

		/** Returns the tokens that running calls are expected to deliver. */
		countInFlight: calls.countInFlight,

		/** Returns the smoothed duration of recent loans, in milliseconds. */
		getDurationMs: calls.getDurationMs,

		/** Polls lenders that have not replied, until the signal is aborted. */
		run: calls.run,

		/** Polls lenders that have not replied once. */
		pollOpenLoans: calls.pollOpenLoans,

		/** Borrows from the owner and the gateways with the most free tokens. Concurrent calls for one customer share a search. */
		async borrow(customer: string, amounts: BorrowAmounts): Promise<BorrowOutcome> {
			const active = amounts.isAhead ? aheadSearches : searches;
			const running = active.get(customer);
			if (running) {
				const outcome = amounts.maxWaitMs === undefined ? await running : await waitWithTimeout(running, {clock, timeoutMs: amounts.maxWaitMs});
				return {...outcome ?? {tokens: 0, isComplete: false, isOwnerClaiming: false}, isJoined: true};
			}

			const started = search.run(customer, amounts);
			active.set(customer, started);
			try {
				return await started;
			} finally {
				active.delete(customer);
			}
		},
	};
}
