/**
 * Lends tokens of one gateway to others.
 *
 * The lender deducts tokens before it replies. If the reply is lost or late, the
 * total in any later reply delivers them.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {TokenAccount} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {computeLoan, computeUncovered} from './loan-size.js';
import {LentTotals, formatIncarnationKey, normalizeTokens} from './loan-totals.js';
import type {TokenLoan, TokenLoanRequest} from './token-loan.js';

/** Options of {@linkcode createLoanLender}. */
export type CreateLoanLenderOptions = {
	readonly incarnation: string;
	readonly account: TokenAccount;
	/** Returns the number of tokens that waiting requests of this gateway need. */
	readonly countWanted: (customer: string) => number;
	/** Returns true if tokens may be lent; they always may by default. */
	readonly canLend?: () => boolean;
	/** Returns true if this gateway can reach the log. */
	readonly canClaim: () => boolean;
	/** Claims tokens on behalf of another gateway. */
	readonly claim: (customer: string, amount: number) => Promise<void>;
	/** Called with the amount lent to a gateway on whose behalf this one claims. */
	readonly onLent: (customer: string, amount: number) => void;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Lends tokens of one gateway. */
export type LoanLender = ReturnType<typeof createLoanLender>;

/** Number of answers kept for repeated requests. */
const maxStoredAnswers = 2000;

/**
 * Creates the lender of one gateway.
 *
 * @example
 * ```ts
 * const {tokens, total} = await lender.lend(request);
 * ```
 *
 * @param options The token account and how tokens are claimed
 * @returns The lender
 */
export function createLoanLender(options: CreateLoanLenderOptions) {
	const {
		incarnation, account, clock, events, canLend = () => true,
	} = options;
	const answers = new Map<string, Promise<TokenLoan>>();
	const totals = new LentTotals();

	function evictOldAnswers(): void {
		for (const loan of answers.keys()) {
			if (answers.size <= maxStoredAnswers) {
				return;
			}

			answers.delete(loan);
		}
	}

	/** Returns the key of a borrower that knows totals. */
	function findBorrower({from, fromIncarnation}: TokenLoanRequest): string | undefined {
		return fromIncarnation ? formatIncarnationKey(from, fromIncarnation) : undefined;
	}

	function countUnconfirmed(request: TokenLoanRequest): number {
		const borrower = findBorrower(request);
		return borrower === undefined ? 0 : totals.countUnconfirmed(borrower, request.customer);
	}

	function countSpare(customer: string): number {
		return Math.max(0, account.countFreeTokens(customer) - options.countWanted(customer));
	}

	function makeLoan(request: TokenLoanRequest, requestedAt: number): number {
		if (!canLend()) {
			return 0;
		}

		const {customer, from, mayClaim} = request;
		const borrower = findBorrower(request);
		const lent = account.lend(customer, computeLoan({
			needed: normalizeTokens(request.needed), wanted: normalizeTokens(request.wanted), unconfirmed: countUnconfirmed(request), spare: countSpare(customer), mayClaim,
		}));
		if (lent > 0) {
			if (borrower !== undefined) {
				totals.add(borrower, customer, lent);
			}

			events.write('loanGiven', {
				customer, to: from, amount: lent, ms: Math.round(clock.now() - requestedAt),
			});
			if (mayClaim) {
				options.onLent(customer, lent);
			}
		}

		return lent;
	}

	async function claimAndLend(request: TokenLoanRequest): Promise<TokenLoan> {
		const requestedAt = clock.now();
		const uncovered = computeUncovered({needed: normalizeTokens(request.needed), unconfirmed: countUnconfirmed(request)});
		if (canLend() && request.mayClaim && countSpare(request.customer) < uncovered) {
			await options.claim(request.customer, uncovered);
		}

		return {tokens: makeLoan(request, requestedAt), isClaiming: request.mayClaim && options.canClaim()};
	}

	return {
		/** Lends the tokens that a peer needs, and more if many are spare. Waiting requests of this gateway take precedence. */
		async lend(request: TokenLoanRequest): Promise<TokenLoan> {
			const borrower = findBorrower(request);
			if (borrower !== undefined && request.lenderIncarnation === incarnation) {
				totals.confirm(borrower, request.customer, request.received ?? 0);
			}

			const answer = answers.get(request.loan) ?? claimAndLend(request);
			answers.set(request.loan, answer);
			evictOldAnswers();
			const loan = await answer;
			return borrower === undefined ? loan : {...loan, incarnation, total: totals.get(borrower, request.customer)};
		},

		/** Returns the tokens lent that their borrowers have not confirmed. */
		countUnconfirmed: (customer: string): number => totals.sumUnconfirmed(customer),
	};
}
