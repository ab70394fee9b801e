/**
 * Follows customers' budgets and what each incarnation of a gateway holds of
 * them.
 *
 * @module
 */

/** What became of one customer's budget, in tokens. */
export type CustomerLosses = {
	readonly customer: string;
	/** Bought so far; undefined when no line says it. */
	readonly bought: number | undefined;
	readonly counted: number;
	/** Counted for requests that were not served. */
	readonly unserved: number;
	/** Granted to daemons that died, and not known to be used. */
	readonly leftWithDead: number;
	/** Requests that found too few tokens. */
	readonly short: number;
};

/** The tokens of one incarnation of a gateway, by customer. */
type Purse = {granted: Map<string, number>; readonly used: Map<string, number>; readonly lent: Map<string, number>; hasStopped: boolean};

type Customer = {-readonly [Field in keyof CustomerLosses]: CustomerLosses[Field]};

/** @internal */
function add(map: Map<string, number>, key: string, value: number): void {
	map.set(key, (map.get(key) ?? 0) + value);
}

/**
 * Creates an empty count.
 *
 * @example
 * ```ts
 * const budgets = createBudgetCount();
 * budgets.noteGranted('front-1', {city: 5000});
 * budgets.noteStarted('front-1'); // it has died: 5000 tokens of city are left with it
 * ```
 *
 * @returns The count
 */
export function createBudgetCount() {
	const customers = new Map<string, Customer>();
	const purses = new Map<string, Purse>();

	function ensureCustomer(customer: string): Customer {
		const known = customers.get(customer) ?? {
			customer, bought: undefined, counted: 0, unserved: 0, leftWithDead: 0, short: 0,
		};
		customers.set(customer, known);
		return known;
	}

	function ensurePurse(daemon: string): Purse {
		const known = purses.get(daemon) ?? {
			granted: new Map(), used: new Map(), lent: new Map(), hasStopped: false,
		};
		purses.set(daemon, known);
		return known;
	}

	// A record names the total ever granted; what was lent is used by others, who count it themselves.
	function bury({granted, used, lent, hasStopped}: Purse): void {
		if (hasStopped) {
			return;
		}

		for (const [customer, total] of granted) {
			ensureCustomer(customer).leftWithDead += Math.max(0, total - (used.get(customer) ?? 0) - (lent.get(customer) ?? 0));
		}
	}

	return {
		noteStarted(daemon: string): void {
			const known = purses.get(daemon);
			if (known) {
				bury(known);
				purses.delete(daemon);
			}
		},
		noteStopped(daemon: string): void {
			ensurePurse(daemon).hasStopped = true;
		},
		noteGranted(daemon: string, granted: Readonly<Record<string, number>>): void {
			ensurePurse(daemon).granted = new Map(Object.entries(granted));
		},
		noteLent(daemon: string, customer: string, tokens: number): void {
			add(ensurePurse(daemon).lent, customer, tokens);
		},
		noteBought(customer: string, tokens: number): void {
			ensureCustomer(customer).bought = tokens;
		},
		noteShort(customer: string): void {
			ensureCustomer(customer).short += 1;
		},
		noteUsed(daemon: string, customer: string, {tokens, isServed}: {readonly tokens: number; readonly isServed: boolean}): void {
			const known = ensureCustomer(customer);
			known.counted += tokens;
			known.unserved += isServed ? 0 : tokens;
			add(ensurePurse(daemon).used, customer, tokens);
		},
		list: (): CustomerLosses[] => [...customers.values()].sort((left, right) => right.short - left.short || right.counted - left.counted),
	};
}
