/**
 * Decides how many tokens a gateway lends.
 *
 * @module
 */

/** A request for a loan, with the state of the lender; amounts in tokens. */
export type LoanSizeView = {
	/** Tokens that the borrower's waiting requests lack. */
	readonly needed: number;
	/** Tokens with which the borrower would not need another loan soon. */
	readonly wanted: number;
	/** Tokens lent earlier that the borrower had not received when it sent the request. */
	readonly unconfirmed: number;
	/** Tokens of the lender that none of its own requests needs. */
	readonly spare: number;
	/** True if the lender claims the budget on behalf of the borrower. */
	readonly mayClaim: boolean;
};

/** A lender may lend more than is needed now, up to this share of its spare tokens. */
const surplusShare = 0.5;

/**
 * Computes the tokens that are needed in addition to those already on their way
 * to the borrower.
 *
 * @example
 * ```ts
 * computeUncovered({needed: 1000, unconfirmed: 400}); // 600
 * ```
 *
 * @param view The request and the loans that the borrower has not confirmed
 * @returns The tokens
 */
export function computeUncovered({needed, unconfirmed}: Pick<LoanSizeView, 'needed' | 'unconfirmed'>): number {
	return Math.max(0, needed - unconfirmed);
}

/**
 * Computes the size of a loan. Nothing is lent ahead while earlier tokens are
 * unconfirmed, so that a borrower whose replies are late does not accumulate
 * tokens that others lack.
 *
 * @example
 * ```ts
 * computeLoan({needed: 1000, wanted: 3000, unconfirmed: 0, spare: 5000, mayClaim: true}); // 2500
 * ```
 *
 * @param view The request and the state of the lender
 * @returns The tokens to lend
 */
export function computeLoan(view: LoanSizeView): number {
	const {wanted, unconfirmed, spare, mayClaim} = view;
	const uncovered = computeUncovered(view);
	// A large request that is refused anyway must not take the remainder of a budget from its owner, because smaller
	// requests at other gateways would not find it.
	if (mayClaim && spare < uncovered) {
		return 0;
	}

	const ahead = unconfirmed > 0 ? 0 : Math.min(wanted, Math.floor(spare * surplusShare));
	return Math.min(spare, Math.max(uncovered, ahead));
}
