/**
 * Accepts tokens that other gateways return.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {FreeTokens, TokenAccount} from '../../state/mod.js';
import type {Repayment} from './loan-returns.js';
import {CreditedTotals, formatIncarnationKey, normalizeTokens} from './loan-totals.js';

/** Options of {@linkcode createRepaymentReceiver}. */
export type CreateRepaymentReceiverOptions = {
	readonly self: {readonly daemon: string; readonly incarnation: string};
	readonly account: Pick<TokenAccount, 'addBorrowed'>;
	/** Called with the number of tokens received from a gateway that borrowed them. */
	readonly onReceived: (customer: string, amount: number) => void;
	readonly events: EventLog;
};

/** Accepts repayments. */
export type RepaymentReceiver = ReturnType<typeof createRepaymentReceiver>;

/**
 * Creates the receiver of one gateway.
 *
 * @example
 * ```ts
 * receiver.receive(repayment); // false if it is addressed to another incarnation
 * ```
 *
 * @param options The token account
 * @returns The receiver
 */
export function createRepaymentReceiver({
	self, account, onReceived, events,
}: CreateRepaymentReceiverOptions) {
	/** Number of the last repayment accepted from each incarnation of an earlier version. */
	const lastAccepted = new Map<string, number>();
	const credited = new CreditedTotals();

	function computeCredits(sender: string, {from, sequence, amounts, totals = []}: Repayment): FreeTokens[] {
		if (totals.length > 0) {
			return totals.map(({customer, tokens: total}) => {
				const {tokens, fault} = credited.accept(sender, customer, total);
				if (fault !== undefined) {
					events.write('loanTotalIgnored', {
						customer, from, total: String(total), reason: fault, isReturned: true,
					});
				}

				return {customer, tokens};
			});
		}

		if (sequence <= (lastAccepted.get(sender) ?? 0)) {
			return [];
		}

		lastAccepted.set(sender, sequence);
		return amounts.map(({customer, tokens}) => ({customer, tokens: normalizeTokens(tokens)}));
	}

	return {
		/** Accepts a repayment. Returns false if it is addressed to another incarnation. */
		receive(repayment: Repayment): boolean {
			const {from, fromIncarnation, toIncarnation} = repayment;
			if (toIncarnation !== self.incarnation) {
				return false;
			}

			for (const {customer, tokens} of computeCredits(formatIncarnationKey(from, fromIncarnation), repayment)) {
				if (tokens > 0) {
					account.addBorrowed(customer, tokens);
					onReceived(customer, tokens);
					events.write('loanTaken', {
						customer, from, amount: tokens, isReturned: true,
					});
				}
			}

			return true;
		},
	};
}
