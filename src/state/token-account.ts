/**
 * One gateway's tokens of each customer's budget: what it was granted, lent,
 * borrowed, reserved and spent.
 *
 * @module
 */

/** Tokens put aside for one request. */
export type TokenReservation = {
	readonly customer: string;
	/** The worst case of the request. */
	readonly amount: number;
	/** True once it was settled; a second settlement does nothing. */
	isSettled: boolean;
};

type Balance = {granted: number; borrowed: number; lent: number; reserved: number; spent: number};

/** One gateway's tokens. */
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
 * account.countFree('city-1'); // 850
 * ```
 *
 * @returns The account
 */
export function createTokenAccount() {
	const balances = new Map<string, Balance>();

	function ensureBalance(customer: string): Balance {
		const known = balances.get(customer) ?? {
			granted: 0, borrowed: 0, lent: 0, reserved: 0, spent: 0,
		};
		balances.set(customer, known);
		return known;
	}

	function countFree(customer: string): number {
		const balance = balances.get(customer);
		return balance ? balance.granted + balance.borrowed - balance.lent - balance.reserved - balance.spent : 0;
	}

	return {
		countFree,
		listCustomers: (): string[] => [...balances.keys()],
		get: (customer: string): Readonly<Balance> => ensureBalance(customer),

		/**
		 * Tokens of the own grant that cannot be given back: spent, reserved
		 * or lent beyond what was borrowed.
		 */
		countBound(customer: string): number {
			const {borrowed, lent, reserved, spent} = ensureBalance(customer);
			return Math.max(0, spent + reserved + lent - borrowed);
		},

		setGranted(customer: string, total: number): void {
			ensureBalance(customer).granted = total;
		},

		addBorrowed(customer: string, amount: number): void {
			ensureBalance(customer).borrowed += amount;
		},

		/** Takes free tokens out for a peer; returns how many. */
		lend(customer: string, amount: number): number {
			const lent = Math.max(0, Math.min(amount, countFree(customer)));
			ensureBalance(customer).lent += lent;
			return lent;
		},

		/** Puts tokens aside, or returns undefined when too few are free. */
		reserve(customer: string, amount: number): TokenReservation | undefined {
			if (countFree(customer) < amount) {
				return undefined;
			}

			ensureBalance(customer).reserved += amount;
			return {customer, amount, isSettled: false};
		},

		/** Ends a reservation; what was not used becomes free again. */
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
