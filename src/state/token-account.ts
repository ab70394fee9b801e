/**
 * Token balances of one gateway for each customer's budget: tokens granted,
 * borrowed, lent, reserved and spent.
 *
 * @module
 */

/** Tokens reserved for one request. */
export type TokenReservation = {
	readonly customer: string;
	/** The worst-case cost of the request. */
	readonly amount: number;
	/** True after the first settlement; further settlements have no effect. */
	isSettled: boolean;
};

type Balance = {granted: number; borrowed: number; lent: number; reserved: number; spent: number};

/** Token balances of one gateway, by customer. */
export type TokenAccount = ReturnType<typeof createTokenAccount>;

/**
 * Creates an empty account.
 *
 * @example
 * ```ts
 * const account = createTokenAccount();
 * account.setGranted('city-1', 1000);
 * const reservation = account.reserve('city-1', 400);
 * account.settle(reservation!, 150);
 * account.countFreeTokens('city-1'); // 850
 * ```
 *
 * @returns The account
 */
export function createTokenAccount() {
	const balances = new Map<string, Balance>();

	function ensureBalance(customer: string): Balance {
		const balance = balances.get(customer) ?? {
			granted: 0, borrowed: 0, lent: 0, reserved: 0, spent: 0,
		};
		balances.set(customer, balance);
		return balance;
	}

	function countFreeTokens(customer: string): number {
		const balance = balances.get(customer);
		return balance ? balance.granted + balance.borrowed - balance.lent - balance.reserved - balance.spent : 0;
	}

	return {
		countFreeTokens,
		listCustomers: (): string[] => [...balances.keys()],
		get: (customer: string): Readonly<Balance> => ensureBalance(customer),

		/**
		 * Returns the tokens of the gateway's own grant that cannot be released:
		 * those spent, reserved or lent in excess of the borrowed tokens.
		 */
		countCommittedTokens(customer: string): number {
			const {borrowed, lent, reserved, spent} = ensureBalance(customer);
			return Math.max(0, spent + reserved + lent - borrowed);
		},

		/**
		 * Returns the borrowed tokens that are neither lent, reserved nor spent. Unlike
		 * free tokens of the gateway's own grant, they cannot be released in the log.
		 */
		countIdleLoans(customer: string): number {
			const {borrowed, lent, reserved, spent} = ensureBalance(customer);
			return Math.max(0, Math.min(countFreeTokens(customer), borrowed - lent - reserved - spent));
		},

		setGranted(customer: string, total: number): void {
			ensureBalance(customer).granted = total;
		},

		addBorrowed(customer: string, amount: number): void {
			ensureBalance(customer).borrowed += amount;
		},

		/** Lends up to `amount` free tokens to a peer and returns how many were lent. */
		lend(customer: string, amount: number): number {
			const lent = Math.max(0, Math.min(amount, countFreeTokens(customer)));
			ensureBalance(customer).lent += lent;
			return lent;
		},

		/** Reserves tokens, or returns undefined if too few are free. */
		reserve(customer: string, amount: number): TokenReservation | undefined {
			if (countFreeTokens(customer) < amount) {
				return undefined;
			}

			ensureBalance(customer).reserved += amount;
			return {customer, amount, isSettled: false};
		},

		/** Ends a reservation; tokens that were not used become free again. */
		settle(reservation: TokenReservation, used: number): void {
			if (reservation.isSettled) {
				return;
			}

			reservation.isSettled = true;
			const balance = ensureBalance(reservation.customer);
			balance.reserved -= reservation.amount;
			balance.spent += Math.min(used, reservation.amount);
		},
	};
}
