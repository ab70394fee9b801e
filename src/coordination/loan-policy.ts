/**
 * Policies of how much a gateway borrows from the owner of a budget, and which
 * borrowed tokens it returns.
 *
 * Where one gateway claims a budget for all, the others hold borrowed tokens.
 * Those that they do not need are missing where they are asked for, and are lost
 * if their holder fails.
 *
 * @module
 */

/** State of one customer's budget at a gateway that borrows; amounts in tokens. */
export type LoanView = {
	/** Tokens that waiting requests lack. */
	readonly needed: number;
	/** Tokens recently spent per millisecond. */
	readonly rate: number;
	/** Borrowed tokens that are neither lent, reserved nor spent. */
	readonly idle: number;
	/** Tokens of the budget that are not granted to other gateways and not spent here. */
	readonly remaining: number;
	/** Number of gateways in the fleet. */
	readonly gateways: number;
};

/** Decides how much a gateway borrows and returns. */
export abstract class LoanPolicy {
	/** Returns the number of tokens to borrow for waiting requests. */
	abstract computeWanted(view: LoanView): number;
	/** Returns the number of borrowed tokens to return. */
	abstract computeReturned(view: LoanView): number;
}

/** Demand that a loan covers in addition to the missing tokens. */
const borrowAheadMs = 500;

/** Borrows ahead of demand, and keeps what is left of a loan for later requests. */
export class KeptLoanPolicy extends LoanPolicy {
	computeWanted({needed, rate}: LoanView): number {
		return needed + (rate * borrowAheadMs);
	}

	computeReturned(): number {
		return 0;
	}
}

/** Share of what remains of a budget that all gateways together may hold as idle loans. */
const maxIdleShare = 0.05;

/**
 * Borrows little more than requests need and returns what they leave, so that
 * nearly all free tokens of a budget are with its owner or in the log.
 */
export class ReturnedLoanPolicy extends LoanPolicy {
	computeWanted(view: LoanView): number {
		return view.needed + Math.min(view.rate * borrowAheadMs, this.#computeMaxIdle(view));
	}

	computeReturned(view: LoanView): number {
		return view.idle > this.#computeMaxIdle(view) ? view.idle : 0;
	}

	#computeMaxIdle({remaining, gateways}: LoanView): number {
		return Math.floor(remaining * maxIdleShare / gateways);
	}
}
