/**
 * Cumulative totals of tokens that pass between two incarnations of gateways.
 *
 * The sender deducts tokens and adds them to its total; the receiver credits the
 * difference between the total that a message states and what it has credited.
 * So a lost or repeated message neither loses tokens nor counts them twice.
 *
 * @module
 */

/** What a stated total adds. */
export type TotalCredit = {
	/** Tokens to credit; 0 for a total that was stated before. */
	readonly tokens: number;
	/** Why the total was ignored. */
	readonly fault?: 'lower' | 'not-finite';
};

/**
 * Computes what a stated total adds to the tokens credited before.
 *
 * @example
 * ```ts
 * computeCredit(300, 450); // {tokens: 150}
 * ```
 *
 * @param credited The tokens credited so far
 * @param total The total that the sender states
 * @returns The tokens to credit, or why there are none
 */
export function computeCredit(credited: number, total: number): TotalCredit {
	if (!Number.isFinite(total)) {
		return {tokens: 0, fault: 'not-finite'};
	}

	return total < credited ? {tokens: 0, fault: 'lower'} : {tokens: total - credited};
}

/**
 * Returns the amount if it can be an amount of tokens, else 0. A message may state
 * any number, and one that is not finite would make the balance unusable.
 *
 * @example
 * ```ts
 * normalizeTokens(Number.NaN); // 0
 * ```
 *
 * @param amount The amount that a message states
 * @returns The amount, 0 or more
 */
export function normalizeTokens(amount: number | undefined): number {
	return amount !== undefined && Number.isFinite(amount) && amount > 0 ? amount : 0;
}

/**
 * Formats the key of an incarnation of a gateway.
 *
 * @example
 * ```ts
 * formatIncarnationKey('entry-1', 'i-9'); // 'entry-1/i-9'
 * ```
 *
 * @param daemon The gateway
 * @param incarnation Its incarnation
 * @returns The key
 */
export function formatIncarnationKey(daemon: string, incarnation: string): string {
	return `${daemon}/${incarnation}`;
}

/**
 * Amounts by incarnation of a peer and customer. None is removed: a late message
 * of an incarnation that was removed would be credited a second time.
 */
class PeerAmounts {
	readonly #amounts = new Map<string, Map<string, number>>();

	get(peer: string, customer: string): number {
		return this.#amounts.get(peer)?.get(customer) ?? 0;
	}

	set(peer: string, customer: string, tokens: number): void {
		const byCustomer = this.#amounts.get(peer) ?? new Map<string, number>();
		this.#amounts.set(peer, byCustomer.set(customer, tokens));
	}

	sum(customer: string): number {
		let sum = 0;
		for (const byCustomer of this.#amounts.values()) {
			sum += byCustomer.get(customer) ?? 0;
		}

		return sum;
	}
}

/** Totals credited from the incarnations of other gateways. */
export class CreditedTotals {
	readonly #credited = new PeerAmounts();

	/** Returns the tokens credited from the peer. */
	get(peer: string, customer: string): number {
		return this.#credited.get(peer, customer);
	}

	/** Records a stated total and returns what it adds. */
	accept(peer: string, customer: string, total: number): TotalCredit {
		const credit = computeCredit(this.get(peer, customer), total);
		if (credit.tokens > 0) {
			this.#credited.set(peer, customer, total);
		}

		return credit;
	}
}

/** Totals lent to the incarnations of other gateways, and what these have confirmed. */
export class LentTotals {
	readonly #lent = new PeerAmounts();
	readonly #confirmed = new PeerAmounts();

	/** Returns the tokens lent to the borrower. */
	get(borrower: string, customer: string): number {
		return this.#lent.get(borrower, customer);
	}

	add(borrower: string, customer: string, tokens: number): void {
		this.#lent.set(borrower, customer, this.get(borrower, customer) + tokens);
	}

	/** Records what the borrower states that it has received; requests may arrive out of order. */
	confirm(borrower: string, customer: string, received: number): void {
		const confirmed = Math.min(normalizeTokens(received), this.get(borrower, customer));
		this.#confirmed.set(borrower, customer, Math.max(confirmed, this.#confirmed.get(borrower, customer)));
	}

	/** Returns the tokens lent to the borrower that it has not confirmed. */
	countUnconfirmed(borrower: string, customer: string): number {
		return this.get(borrower, customer) - this.#confirmed.get(borrower, customer);
	}

	/** Returns the unconfirmed tokens of all borrowers. */
	sumUnconfirmed(customer: string): number {
		return this.#lent.sum(customer) - this.#confirmed.sum(customer);
	}
}

/** Totals returned to the incarnations of other gateways. */
export class ReturnedTotals {
	readonly #returned = new PeerAmounts();

	/** Adds tokens, negative if a repayment was refused and its tokens are kept, and returns the total. */
	add(receiver: string, customer: string, tokens: number): number {
		const total = this.#returned.get(receiver, customer) + tokens;
		this.#returned.set(receiver, customer, total);
		return total;
	}
}
