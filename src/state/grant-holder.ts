/**
 * The grants that one entry daemon holds, and the reservations made from them.
 *
 * The worst-case cost of a request is reserved before the request is sent, and
 * settled to the actual cost when it ends. An answer therefore cannot run out
 * of tokens part-way.
 *
 * @module
 */
import Emittery from 'emittery';
import type {GrantShare} from '../protocol/mod.js';

/** Tokens that this daemon may spend: its own grant, or a loan from a peer's grant. */
export type TokenSource = {
	readonly grant: string;
	readonly budget: string;
	/** Tokens that are not reserved, spent or lent. */
	free: number;
	/** Tokens reserved by running requests. */
	reserved: number;
	/** Tokens lent to peers and not yet repaid. */
	lent: number;
	/** The peer that lent the tokens; undefined for the daemon's own grant. */
	readonly lender?: string;
	readonly loan?: string;
};

/** Tokens reserved for one request. */
export type Reservation = {
	readonly budget: string;
	readonly amount: number;
	readonly shares: readonly GrantShare[];
	/** True after the first settlement; further settlements have no effect. */
	isSettled: boolean;
};

/** Options of {@linkcode GrantHolder.add}. */
export type AddSourceOptions = {
	readonly budget: string;
	readonly amount: number;
	/** The peer that lends the tokens; default none, for the daemon's own grant. */
	readonly lender?: string;
	/** The loan's identifier; default none. */
	readonly loan?: string;
};

type HolderEvents = {
	/** Emitted with the budget's identifier when tokens of the budget become free. */
	freed: string;
};

/** Grants and loans of one entry daemon, and their reservations. */
export type GrantHolder = ReturnType<typeof createGrantHolder>;

/** @internal */
function takeFreeTokens(sources: Iterable<TokenSource>, amount: number, onTake?: (source: TokenSource, taken: number) => void): GrantShare[] {
	const amountByGrant = new Map<string, number>();
	let remaining = amount;
	for (const source of sources) {
		const taken = Math.min(source.free, remaining);
		if (taken > 0) {
			source.free -= taken;
			remaining -= taken;
			amountByGrant.set(source.grant, (amountByGrant.get(source.grant) ?? 0) + taken);
			onTake?.(source, taken);
		}
	}

	return [...amountByGrant].map(([grant, taken]) => ({grant, amount: taken}));
}

/**
 * Creates a holder without grants.
 *
 * @example
 * ```ts
 * const holder = createGrantHolder();
 * holder.add('g-1@b1', {budget: 'b1', amount: 1000});
 * const reservation = holder.reserve('b1', 400);
 * holder.settle(reservation!, [{grant: 'g-1@b1', amount: 150}]);
 * holder.countFreeTokens('b1'); // 850
 * ```
 *
 * @returns The holder
 */
export function createGrantHolder() {
	const events = new Emittery<HolderEvents>();
	const sourcesByBudget = new Map<string, Map<string, TokenSource>>();
	const sourcesByGrant = new Map<string, TokenSource[]>();

	function formatSourceKey(grant: string, loan: string | undefined): string {
		return loan ? `${grant}#${loan}` : grant;
	}

	function listSources(budget: string): TokenSource[] {
		return [...sourcesByBudget.get(budget)?.values() ?? []];
	}

	function sumSources(budget: string, getAmount: (source: TokenSource) => number): number {
		let total = 0;
		for (const source of sourcesByBudget.get(budget)?.values() ?? []) {
			total += getAmount(source);
		}

		return total;
	}

	function emitFreed(budget: string): void {
		void events.emit('freed', budget);
	}

	// A grant may back several sources, for example two loans from it. Each token is released in the source that reserved it.
	function releaseShare(share: GrantShare, unspentAmount: number): string | undefined {
		let remainingReserved = share.amount;
		let remainingUnspent = unspentAmount;
		let budget: string | undefined;
		for (const source of sourcesByGrant.get(share.grant) ?? []) {
			const released = Math.min(source.reserved, remainingReserved);
			source.reserved -= released;
			remainingReserved -= released;
			const freed = Math.min(remainingUnspent, released);
			source.free += freed;
			remainingUnspent -= freed;
			budget = source.budget;
		}

		return budget;
	}

	return {
		events,
		add(grant: string, options: AddSourceOptions): void {
			const {budget, amount, lender, loan} = options;
			const sourceKey = formatSourceKey(grant, loan);
			const budgetSources = sourcesByBudget.get(budget) ?? new Map<string, TokenSource>();
			sourcesByBudget.set(budget, budgetSources);
			// The reply to a loan request may arrive twice; its identifier prevents the loan from being added twice.
			if (budgetSources.has(sourceKey)) {
				return;
			}

			const source: TokenSource = {
				grant, budget, free: amount, reserved: 0, lent: 0, lender, loan,
			};
			budgetSources.set(sourceKey, source);
			sourcesByGrant.set(grant, [...sourcesByGrant.get(grant) ?? [], source]);
			emitFreed(budget);
		},

		/** Removes a grant that was closed or used up, and all loans from it. */
		removeGrant(grant: string): void {
			for (const source of sourcesByGrant.get(grant) ?? []) {
				sourcesByBudget.get(source.budget)?.delete(formatSourceKey(grant, source.loan));
				emitFreed(source.budget);
			}

			sourcesByGrant.delete(grant);
		},

		/** Removes one loan. */
		removeLoan(source: TokenSource): void {
			sourcesByBudget.get(source.budget)?.delete(formatSourceKey(source.grant, source.loan));
			sourcesByGrant.set(source.grant, (sourcesByGrant.get(source.grant) ?? []).filter(other => other !== source));
		},

		/** Reserves tokens, or returns undefined if too few are free. */
		reserve(budget: string, amount: number): Reservation | undefined {
			const budgetSources = listSources(budget);
			if (sumSources(budget, source => source.free) < amount) {
				return undefined;
			}

			const shares = takeFreeTokens(budgetSources, amount, (source, taken) => {
				source.reserved += taken;
			});
			return {
				budget, amount, shares, isSettled: false,
			};
		},

		/** Ends a reservation; tokens that were not billed become free again. */
		settle(reservation: Reservation, billed: readonly GrantShare[]): void {
			if (reservation.isSettled) {
				return;
			}

			reservation.isSettled = true;
			for (const share of reservation.shares) {
				const spent = billed.filter(item => item.grant === share.grant).reduce((total, item) => total + item.amount, 0);
				releaseShare(share, Math.max(0, share.amount - spent));
			}

			emitFreed(reservation.budget);
		},

		/** Withdraws free tokens of the daemon's own grants, to release or lend them. Returns at most `amount` tokens. */
		withdraw(budget: string, amount: number): GrantShare[] {
			return takeFreeTokens(listSources(budget).filter(source => !source.lender), amount);
		},

		/** Records withdrawn tokens as lent. */
		markLent(shares: readonly GrantShare[]): void {
			for (const share of shares) {
				const source = sourcesByGrant.get(share.grant)?.find(candidate => !candidate.lender);
				if (source) {
					source.lent += share.amount;
				}
			}
		},

		/** Ends a loan to a peer; tokens that the peer did not spend become free again. */
		settleLoan(lent: readonly GrantShare[], unspent: readonly GrantShare[]): void {
			for (const share of lent) {
				const source = sourcesByGrant.get(share.grant)?.find(candidate => !candidate.lender);
				if (source) {
					source.lent -= share.amount;
					source.free += Math.min(share.amount, unspent.find(item => item.grant === share.grant)?.amount ?? 0);
					emitFreed(source.budget);
				}
			}
		},

		has: (grant: string): boolean => sourcesByGrant.has(grant),
		listSources,
		listBudgets: (): string[] => [...sourcesByBudget.keys()],
		countFreeTokens: (budget: string): number => sumSources(budget, source => source.free),
		countReservedTokens: (budget: string): number => sumSources(budget, source => source.reserved),
	};
}
