/**
 * Borrows tokens of the customers' budgets for one gateway: what waiting requests
 * lack, and what the next requests are expected to need.
 *
 * @module
 */
import {getTokens, type GrantRegistry, type TokenAccount} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {BudgetOwners} from './budget-owners.js';
import type {Demand} from './demand.js';
import {computeAhead, computeRateShare} from './loan-ahead.js';
import type {LoanPolicy, LoanView} from './loan-policy.js';
import type {BorrowAmounts, BorrowOutcome} from './loan-search.js';
import type {TokenLending} from './token-lending.js';

/** Borrows tokens from other gateways. */
export type BorrowTokens = (customer: string, amounts: BorrowAmounts) => Promise<BorrowOutcome>;

/** State of the loans of a gateway. */
export type LoanProgress = Pick<TokenLending, 'hasOpenLoans' | 'hasLateLoans' | 'countInFlight' | 'getDurationMs'>;

/** Options of {@linkcode createTokenBorrower}. */
export type CreateTokenBorrowerOptions = {
	readonly account: TokenAccount;
	readonly demand: Demand;
	readonly grants: Pick<GrantRegistry, 'listRunning'>;
	readonly owners: Pick<BudgetOwners, 'isOwner' | 'isSmallFleet' | 'countGateways'>;
	/** Decides how much is borrowed for waiting requests. */
	readonly loanPolicy: LoanPolicy;
	readonly loans: LoanProgress;
	readonly borrow: BorrowTokens;
	/** Returns the tokens of the budget that are not granted to other gateways and not spent here. */
	readonly countRemaining: (customer: string) => number;
	/** Returns true if the log can be reached. */
	readonly isLogUp: () => boolean;
	readonly clock: Clock;
};

/** Borrows tokens. */
export type TokenBorrower = ReturnType<typeof createTokenBorrower>;

/** In a small fleet a gateway borrows this multiple of the tokens it lacks, so that its next requests need not borrow again. */
const borrowFactor = 3;
/** Time for which a share of the fleet's rate is kept; records state rates once per round of claims, which takes as long. */
const shareLifetimeMs = 500;
/** Weight of the latest request in the mean of their tokens. */
const requestWeight = 0.2;
/** Time that a loan in advance waits for a reply, as long as a round of a search. */
const aheadWaitMs = 300;

/**
 * Creates the borrower of one gateway.
 *
 * @example
 * ```ts
 * await borrower.borrowMissing('city-1', clock.now() + 225);
 * borrower.borrowAhead('city-1'); // before the free tokens run out
 * ```
 *
 * @param options The account, the demand and the loans
 * @returns The borrower
 */
export function createTokenBorrower(options: CreateTokenBorrowerOptions) {
	const {
		account, demand, grants, owners, loanPolicy, loans, borrow, countRemaining, isLogUp, clock,
	} = options;
	const requestTokens = new Map<string, number>();
	const shares = new Map<string, {readonly share: number | undefined; readonly at: number}>();

	function findRateShare(customer: string): number | undefined {
		const known = shares.get(customer);
		if (known && clock.now() - known.at < shareLifetimeMs) {
			return known.share;
		}

		const share = computeRateShare(demand.findRate(customer), grants.listRunning().map(({rates}) => getTokens(rates, customer)));
		shares.set(customer, {share, at: clock.now()});
		return share;
	}

	function buildView(customer: string, needed: number): LoanView {
		return {
			needed, rate: demand.findRate(customer), idle: account.countIdleLoans(customer), remaining: countRemaining(customer), gateways: owners.countGateways(), rateShare: findRateShare(customer), loanDurationMs: loans.getDurationMs(), requestTokens: requestTokens.get(customer),
		};
	}

	return {
		buildView,

		/** Borrows what waiting requests lack. */
		async borrowMissing(customer: string, deadline: number): Promise<BorrowOutcome> {
			const needed = demand.countWanted(customer) - account.countFreeTokens(customer);
			const wanted = owners.isSmallFleet() ? needed * borrowFactor : loanPolicy.computeWanted(buildView(customer, needed));
			return borrow(customer, {
				needed, wanted, unclaimed: isLogUp() ? countRemaining(customer) : 0, maxWaitMs: Math.max(0, deadline - clock.now()),
			});
		},

		/** Records the tokens that a request needs. */
		recordRequest(customer: string, amount: number): void {
			const mean = requestTokens.get(customer) ?? amount;
			requestTokens.set(customer, mean + ((amount - mean) * requestWeight));
		},

		/** Borrows in advance if free tokens are below the watermark. Owners claim in advance instead. */
		borrowAhead(customer: string): void {
			if (owners.isOwner(customer)) {
				return;
			}

			const free = account.countFreeTokens(customer) - demand.countWanted(customer) + loans.countInFlight(customer);
			const needed = computeAhead({...buildView(customer, 0), free});
			if (needed > 0) {
				void borrow(customer, {
					needed, wanted: needed, unclaimed: 0, maxWaitMs: aheadWaitMs, isAhead: true,
				});
			}
		},
	};
}
