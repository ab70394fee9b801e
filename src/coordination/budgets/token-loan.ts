/**
 * Requests for loans of tokens between gateways and the replies to them.
 *
 * @module
 */
import type {PeerView} from '../../state/mod.js';

/** A request for a loan, as one gateway sends it to another. */
export type TokenLoanRequest = {
	/** Unique ID of the loan; a repeated request does not lend again. */
	readonly loan: string;
	readonly customer: string;
	/** Tokens that waiting requests lack. */
	readonly needed: number;
	/** Tokens with which the borrower would not need another loan soon. */
	readonly wanted: number;
	/** Name of the borrowing gateway. */
	readonly from: string;
	/** True if the lender may claim tokens that it lacks itself. */
	readonly mayClaim: boolean;
	/** Incarnation of the borrower; empty or absent from a gateway of an earlier version, whose loans are not part of a total. */
	readonly fromIncarnation?: string;
	/** Incarnation of the lender that `received` refers to. */
	readonly lenderIncarnation?: string;
	/** Tokens of the customer that the borrower has received in total from that incarnation. */
	readonly received?: number;
};

/** The reply to a request for a loan. */
export type TokenLoan = {
	readonly tokens: number;
	/** True if the lender claims on behalf of others and can reach the log, so that the borrower need not claim. */
	readonly isClaiming: boolean;
	/** Incarnation of the lender; empty or absent from a gateway of an earlier version, whose `tokens` count once per loan ID. */
	readonly incarnation?: string;
	/** Tokens of the customer that this incarnation has lent in total to the borrower's incarnation. */
	readonly total?: number;
};

/** A gateway that may lend; its incarnation is unknown until it has been heard from. */
export type Lender = Pick<PeerView, 'daemon' | 'address'> & Partial<Pick<PeerView, 'incarnation'>>;

/** Requests a loan from one gateway; throws if it does not reply. */
export type RequestLoan = (address: string, request: TokenLoanRequest) => Promise<TokenLoan>;
