/**
 * The grants that one entry daemon holds, and what is reserved from them.
 *
 * The worst case of a request is reserved before anything is sent and settled
 * to the measured cost at its end, so a whole answer can never run out of
 * tokens half-way.
 *
 * @module
 */
import Emittery from 'emittery';
import type {GrantShare} from '../protocol/mod.js';

/** Tokens that this daemon may spend: a grant of its own, or a loan from a peer's grant. */
export type Source = {
	readonly grant: string;
	readonly budget: string;
	/** Tokens neither reserved nor spent nor lent. */
	free: number;
	/** Tokens reserved by running requests. */
	reserved: number;
	/** Tokens lent to peers and not repaid. */
	lent: number;
	/** The peer that lent it; undefined for a grant of its own. */
	readonly lender?: string;
	readonly loan?: string;
};

/** Tokens put aside for one request. */
export type Reservation = {
	readonly budget: string;
	readonly amount: number;
	readonly shares: readonly GrantShare[];
	/** True once it was given back; a second settlement does nothing. */
	settled: boolean;
};

/** Options of {@linkcode GrantHolder.add}. */
export type AddSourceOptions = {
	readonly budget: string;
	readonly amount: number;
	/** The lender; default none, a grant of the daemon's own. */
	readonly lender?: string;
	/** The loan's number; default none. */
	readonly loan?: string;
};

type HolderEvents = {
	/** Tokens of the budget became free. */
	freed: string;
};

/** The grants that one entry daemon holds. */
export type GrantHolder = ReturnType<typeof createGrantHolder>;

/** @internal */
function takeFrom(sources: Iterable<Source>, amount: number, onTaken?: (source: Source, taken: number) => void): GrantShare[] {
	const byGrant = new Map<string, number>();
	let missing = amount;
	for (const source of sources) {
		const taken = Math.min(source.free, missing);
		if (taken > 0) {
			source.free -= taken;
			missing -= taken;
			byGrant.set(source.grant, (byGrant.get(source.grant) ?? 0) + taken);
			onTaken?.(source, taken);
		}
	}

	return [...byGrant].map(([grant, taken]) => ({grant, amount: taken}));
}

/**
 * Creates an empty holder.
 *
 * @example
 * ```ts
 * const holder = createGrantHolder();
 * holder.add('g-1@b1', {budget: 'b1', amount: 1000});
 * const reservation = holder.reserve('b1', 400);
 * holder.settle(reservation!, [{grant: 'g-1@b1', amount: 150}]);
 * holder.countFree('b1'); // 850
 * ```
 *
 * @returns The holder
 */
export function createGrantHolder() {
	const events = new Emittery<HolderEvents>();
	const sources = new Map<string, Map<string, Source>>();
	const byGrant = new Map<string, Source[]>();

	function nameSource(grant: string, loan: string | undefined): string {
		return loan ? `${grant}#${loan}` : grant;
	}

	function listSources(budget: string): Source[] {
		return [...sources.get(budget)?.values() ?? []];
	}

	function sum(budget: string, pick: (source: Source) => number): number {
		let total = 0;
		for (const source of sources.get(budget)?.values() ?? []) {
			total += pick(source);
		}

		return total;
	}

	function announceFree(budget: string): void {
		void events.emit('freed', budget);
	}

	// A grant may back several sources (a loan taken twice); each share is returned to whichever has it reserved.
	function returnShare(share: GrantShare, unspent: number): string | undefined {
		let reserved = share.amount;
		let rest = unspent;
		let budget: string | undefined;
		for (const source of byGrant.get(share.grant) ?? []) {
			const part = Math.min(source.reserved, reserved);
			source.reserved -= part;
			reserved -= part;
			const freed = Math.min(rest, part);
			source.free += freed;
			rest -= freed;
			budget = source.budget;
		}

		return budget;
	}

	return {
		events,
		add(grant: string, options: AddSourceOptions): void {
			const {budget, amount, lender, loan} = options;
			const name = nameSource(grant, loan);
			const known = sources.get(budget) ?? new Map<string, Source>();
			sources.set(budget, known);
			// A loan's answer may come twice; its number makes the second one worth nothing.
			if (known.has(name)) {
				return;
			}

			const source: Source = {
				grant, budget, free: amount, reserved: 0, lent: 0, lender, loan,
			};
			known.set(name, source);
			byGrant.set(grant, [...byGrant.get(grant) ?? [], source]);
			announceFree(budget);
		},

		/** Forgets a grant that was closed or used up, with its loans. */
		drop(grant: string): void {
			for (const source of byGrant.get(grant) ?? []) {
				sources.get(source.budget)?.delete(nameSource(grant, source.loan));
				announceFree(source.budget);
			}

			byGrant.delete(grant);
		},

		/** Forgets one loan. */
		dropLoan(source: Source): void {
			sources.get(source.budget)?.delete(nameSource(source.grant, source.loan));
			byGrant.set(source.grant, (byGrant.get(source.grant) ?? []).filter(other => other !== source));
		},

		/** Puts tokens aside, or returns undefined when too few are free. */
		reserve(budget: string, amount: number): Reservation | undefined {
			const known = listSources(budget);
			if (sum(budget, source => source.free) < amount) {
				return undefined;
			}

			const shares = takeFrom(known, amount, (source, taken) => {
				source.reserved += taken;
			});
			return {
				budget, amount, shares, settled: false,
			};
		},

		/** Ends a reservation; whatever was not billed becomes free again. */
		settle(reservation: Reservation, billed: readonly GrantShare[]): void {
			if (reservation.settled) {
				return;
			}

			reservation.settled = true;
			for (const share of reservation.shares) {
				const spent = billed.filter(item => item.grant === share.grant).reduce((total, item) => total + item.amount, 0);
				returnShare(share, Math.max(0, share.amount - spent));
			}

			announceFree(reservation.budget);
		},

		/** Takes tokens out of the free ones, to release or to lend them; only from own grants. */
		withdraw(budget: string, amount: number): GrantShare[] {
			return takeFrom(listSources(budget).filter(source => !source.lender), amount);
		},

		/** Marks withdrawn tokens as lent. */
		markLent(shares: readonly GrantShare[]): void {
			for (const share of shares) {
				const source = byGrant.get(share.grant)?.find(candidate => !candidate.lender);
				if (source) {
					source.lent += share.amount;
				}
			}
		},

		/** Ends a loan to a peer; what it did not spend becomes free again. */
		settleLoan(lent: readonly GrantShare[], unspent: readonly GrantShare[]): void {
			for (const share of lent) {
				const source = byGrant.get(share.grant)?.find(candidate => !candidate.lender);
				if (source) {
					source.lent -= share.amount;
					source.free += Math.min(share.amount, unspent.find(item => item.grant === share.grant)?.amount ?? 0);
					announceFree(source.budget);
				}
			}
		},

		has: (grant: string): boolean => byGrant.has(grant),
		listSources,
		listBudgets: (): string[] => [...sources.keys()],
		countFree: (budget: string): number => sum(budget, source => source.free),
		countReserved: (budget: string): number => sum(budget, source => source.reserved),
	};
}
