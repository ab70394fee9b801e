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

import {computeAheadTarget} from './loan-ahead.js';

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
	/** Share of the fleet's rate for the customer that this gateway has; an equal share if undefined. */
	readonly rateShare?: number;
	/** Smoothed duration of recent loans, in milliseconds. */
	readonly loanDurationMs?: number;
	/** Mean tokens of recent requests; 0 if unknown. */
	readonly requestTokens?: number;
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

/** Share of what remains of a budget that all gateways together may keep of loans without demand. */
const maxIdleShare = 0.05;
/** Idle tokens are returned if they exceed this multiple of what may be kept, so that a loan is not followed by a return. */
const returnAboveFactor = 2;

/**
 * Borrows little more than requests need and returns what they leave, so that
 * nearly all free tokens of a budget are with its owner or in the log.
 */
export class ReturnedLoanPolicy extends LoanPolicy {
	computeWanted(view: LoanView): number {
		return view.needed + this.#computeKept(view);
	}

	computeReturned(view: LoanView): number {
		const kept = this.#computeKept(view);
		return view.idle > kept * returnAboveFactor ? view.idle - kept : 0;
	}

	// At least what is borrowed ahead, so that no such loan is followed by a return.
	#computeKept(view: LoanView): number {
		const {remaining, gateways} = view;
		return Math.floor(Math.max(computeAheadTarget(view), remaining * maxIdleShare / gateways));
	}
}
