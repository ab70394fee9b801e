/**
 * Sends repayments of loans to other gateways.
 *
 * @module
 */
import {Code, ConnectError} from '@connectrpc/connect';
import type {FleetClient} from '../../transport/mod.js';
import type {SendRepayment} from './loan-returns.js';

/** Options of {@linkcode createRepaymentClient}. */
export type CreateRepaymentClientOptions = {
	readonly fleet: FleetClient;
	readonly timeoutMs: number;
};

/**
 * Creates a client for repayments.
 *
 * A gateway of an earlier version does not have the call, so it has not accepted
 * the tokens and they can be kept.
 *
 * @example
 * ```ts
 * const sendRepayment = createRepaymentClient({fleet, timeoutMs: 300});
 * const isAccepted = await sendRepayment('10.0.0.7:7340', repayment);
 * ```
 *
 * @param options The client of the fleet and the timeout of a call
 * @returns The function that sends a repayment
 */
export function createRepaymentClient({fleet, timeoutMs}: CreateRepaymentClientOptions): SendRepayment {
	return async (address, {amounts, totals = [], ...repayment}) => {
		try {
			const {isAccepted} = await fleet.connect(address).gateway.returnLoans({...repayment, amounts: [...amounts], totals: [...totals]}, {timeoutMs});
			return isAccepted;
		} catch (error) {
			if (ConnectError.from(error).code === Code.Unimplemented) {
				return false;
			}

			throw error;
		}
	};
}
