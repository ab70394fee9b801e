/**
 * Counts the tokens of customers' budgets and the share of them that each
 * incarnation of a gateway holds.
 *
 * @module
 */

/** How one customer's budget was used, in tokens. */
export type CustomerLosses = {
	readonly customer: string;
	/** Tokens bought so far; undefined if no line reports them. */
	readonly bought: number | undefined;
	/** Tokens used by requests, served or not. */
	readonly counted: number;
	/** Tokens used by requests that were not served. */
	readonly unserved: number;
	/** Tokens granted to daemons that failed and not known to be used or lent. */
	readonly leftWithDead: number;
	/** Number of requests for which a gateway had insufficient tokens. */
	readonly short: number;
};

/** The tokens of one incarnation of a gateway, by customer; `lent` is net of what it borrowed. */
type IncarnationTokens = {granted: Map<string, number>; readonly used: Map<string, number>; readonly lent: Map<string, number>; hasStopped: boolean};

type MutableCustomerLosses = {-readonly [Field in keyof CustomerLosses]: CustomerLosses[Field]};

/** @internal */
function add(map: Map<string, number>, key: string, value: number): void {
	map.set(key, (map.get(key) ?? 0) + value);
}

/**
 * Creates an empty counter.
 *
 * @example
 * ```ts
 * const budgets = createBudgetCounter();
 * budgets.recordGranted('front-1', {city: 5000});
 * budgets.recordStarted('front-1'); // a start without a stop: front-1 failed while holding 5000 tokens of city
 * ```
 *
 * @returns The counter
 */
export function createBudgetCounter() {
	const customers = new Map<string, MutableCustomerLosses>();
	const incarnations = new Map<string, IncarnationTokens>();

	function ensureCustomer(customer: string): MutableCustomerLosses {
		const losses = customers.get(customer) ?? {
			customer, bought: undefined, counted: 0, unserved: 0, leftWithDead: 0, short: 0,
		};
		customers.set(customer, losses);
		return losses;
	}

	function ensureIncarnation(daemon: string): IncarnationTokens {
		const incarnation = incarnations.get(daemon) ?? {
			granted: new Map(), used: new Map(), lent: new Map(), hasStopped: false,
		};
		incarnations.set(daemon, incarnation);
		return incarnation;
	}

	// `granted` is the total ever granted to the incarnation. Lent tokens are subtracted because the borrower counts their use.
	function addTokensLeftWithDead({granted, used, lent, hasStopped}: IncarnationTokens): void {
		if (hasStopped) {
			return;
		}

		for (const [customer, total] of granted) {
			ensureCustomer(customer).leftWithDead += Math.max(0, total - (used.get(customer) ?? 0) - (lent.get(customer) ?? 0));
		}
	}

	return {
		recordStarted(daemon: string): void {
			const incarnation = incarnations.get(daemon);
			if (incarnation) {
				addTokensLeftWithDead(incarnation);
				incarnations.delete(daemon);
			}
		},
		recordStopped(daemon: string): void {
			ensureIncarnation(daemon).hasStopped = true;
		},
		recordGranted(daemon: string, granted: Readonly<Record<string, number>>): void {
			ensureIncarnation(daemon).granted = new Map(Object.entries(granted));
		},
		recordLent(daemon: string, customer: string, tokens: number): void {
			add(ensureIncarnation(daemon).lent, customer, tokens);
		},
		recordBought(customer: string, tokens: number): void {
			ensureCustomer(customer).bought = tokens;
		},
		recordInsufficientTokens(customer: string): void {
			ensureCustomer(customer).short += 1;
		},
		recordUsed(daemon: string, customer: string, {tokens, isServed}: {readonly tokens: number; readonly isServed: boolean}): void {
			const losses = ensureCustomer(customer);
			losses.counted += tokens;
			losses.unserved += isServed ? 0 : tokens;
			add(ensureIncarnation(daemon).used, customer, tokens);
		},
		listCustomers: (): CustomerLosses[] => [...customers.values()].sort((left, right) => right.short - left.short || right.counted - left.counted),
	};
}
