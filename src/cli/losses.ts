/**
 * Where callers and budgets lose, told by the logs of daemons alone.
 *
 * @module
 */
import * as z from 'zod';
import type {LogLine} from './log-line.js';

/** Requests that came to their end in one span of time, by outcome. */
export type LossWindow = {
	/** Seconds since the first line. */
	readonly from: number;
	readonly outcomes: Readonly<Record<string, number>>;
};

/** Why requests were not served. */
export type LossReason = {
	readonly outcome: string;
	readonly reason: string;
	readonly requests: number;
	/** Tokens that were counted for them. */
	readonly tokens: number;
};

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

/** What the logs say of losses. */
export type Losses = {
	/** Time of the first line, ISO 8601. */
	readonly since: string;
	readonly windows: readonly LossWindow[];
	readonly reasons: readonly LossReason[];
	readonly customers: readonly CustomerLosses[];
};

/** Options of {@linkcode buildLosses}. */
export type BuildLossesOptions = {
	/** Seconds that a window covers; default 2. */
	readonly window?: number;
};

/** The tokens of one incarnation of a gateway, by customer. */
type Purse = {granted: Map<string, number>; readonly used: Map<string, number>; readonly lent: Map<string, number>; hasStopped: boolean};

type Customer = {-readonly [Field in keyof CustomerLosses]: CustomerLosses[Field]};

const events = {
	started: 'FL1001', stopped: 'FL1003', granted: 'FL1201', lent: 'FL1206', borrowed: 'FL1207', short: 'FL1209', refused: 'FL1401', ended: 'FL1408', deployment: 'FL1506',
} as const;
const served = 'served';
const defaultWindow = 2;
const amount = z.number().nonnegative();
const amountsSchema = z.record(z.string(), amount);
const loanSchema = z.object({customer: z.string(), amount});
const shortSchema = z.object({customer: z.string(), bought: amount});
const refusedSchema = z.object({type: z.string()});
const endedSchema = z.object({
	result: z.string(), customer: z.string().optional(), used: amount, reason: z.string().optional(),
});

/** @internal Numbers and addresses tell apart what has the same cause. */
function formatReason(text: string): string {
	return text.replaceAll(/\d[\d.:]*/gu, '#');
}

/** @internal */
function parseAmounts(text: unknown): Record<string, number> | undefined {
	try {
		return amountsSchema.parse(JSON.parse(String(text)));
	} catch {
		// Another program's line under this number; it is left out as a whole.
		return undefined;
	}
}

/** @internal */
function add(map: Map<string, number>, key: string, value: number): void {
	map.set(key, (map.get(key) ?? 0) + value);
}

/** @internal Counts what became of requests. */
function createRequestCount(since: number, window: number) {
	const windows = new Map<number, Record<string, number>>();
	const reasons = new Map<string, {-readonly [Field in keyof LossReason]: LossReason[Field]}>();

	return {
		note(line: LogLine, outcome: string, {reason, tokens}: {readonly reason: string; readonly tokens: number}): void {
			const from = Math.floor((Date.parse(line.at) - since) / 1000 / window) * window;
			const outcomes = windows.get(from) ?? {};
			outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
			windows.set(from, outcomes);
			if (outcome === served) {
				return;
			}

			const key = `${outcome} ${reason}`;
			const known = reasons.get(key) ?? {
				outcome, reason, requests: 0, tokens: 0,
			};
			known.requests += 1;
			known.tokens += tokens;
			reasons.set(key, known);
		},
		listWindows: (): LossWindow[] => [...windows].sort(([left], [right]) => left - right).map(([from, outcomes]) => ({from, outcomes})),
		listReasons: (): LossReason[] => [...reasons.values()].sort((left, right) => right.requests - left.requests),
	};
}

/** @internal Follows the budgets of customers and what each incarnation holds of them. */
function createBudgetCount() {
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

/**
 * Finds where requests and tokens were lost.
 *
 * A daemon that starts again without having stopped has died; what was granted
 * to it and is not known to be used counts as left with it. Lines whose fields
 * are not those of their event are left out.
 *
 * @example
 * ```ts
 * const {customers} = buildLosses(parseLog(text));
 * ```
 *
 * @param log Lines of all daemons, in any order
 * @param options How long a window is
 * @returns Windows, reasons and customers; those with most refusals first
 */
export function buildLosses(log: readonly LogLine[], options: BuildLossesOptions = {}): Losses {
	const sorted = log.toSorted((left, right) => Date.parse(left.at) - Date.parse(right.at));
	const since = sorted[0]?.at ?? new Date(0).toISOString();
	const requests = createRequestCount(Date.parse(since), options.window ?? defaultWindow);
	const budgets = createBudgetCount();

	function takeEnded(line: LogLine): void {
		const ended = endedSchema.safeParse(line.fields);
		if (!ended.success) {
			return;
		}

		const {result, customer, used, reason = '-'} = ended.data;
		requests.note(line, result, {reason: formatReason(reason), tokens: used});
		if (customer !== undefined) {
			budgets.noteUsed(line.daemon, customer, {tokens: used, isServed: result === served});
		}
	}

	function takeRefused(line: LogLine): void {
		const refused = refusedSchema.safeParse(line.fields);
		if (refused.success) {
			requests.note(line, 'refused', {reason: refused.data.type, tokens: 0});
		}
	}

	function takeLoan(line: LogLine, sign: number): void {
		const loan = loanSchema.safeParse(line.fields);
		if (loan.success) {
			budgets.noteLent(line.daemon, loan.data.customer, sign * loan.data.amount);
		}
	}

	function takeShort(line: LogLine): void {
		const short = shortSchema.safeParse(line.fields);
		if (short.success) {
			budgets.noteShort(short.data.customer);
			budgets.noteBought(short.data.customer, short.data.bought);
		}
	}

	function takeBought(line: LogLine): void {
		for (const [customer, tokens] of Object.entries(parseAmounts(line.fields.bought ?? '{}') ?? {})) {
			budgets.noteBought(customer, tokens);
		}
	}

	const takers: Readonly<Record<string, (line: LogLine) => void>> = {
		[events.started](line) {
			budgets.noteStarted(line.daemon);
		},
		[events.stopped](line) {
			budgets.noteStopped(line.daemon);
		},
		[events.granted](line) {
			const granted = parseAmounts(line.fields.granted);
			if (granted) {
				budgets.noteGranted(line.daemon, granted);
			}
		},
		[events.lent](line) {
			takeLoan(line, 1);
		},
		[events.borrowed](line) {
			takeLoan(line, -1);
		},
		[events.short]: takeShort,
		[events.refused]: takeRefused,
		[events.ended]: takeEnded,
		[events.deployment]: takeBought,
	};
	for (const line of sorted) {
		takers[line.event]?.(line);
	}

	return {
		since, windows: requests.listWindows(), reasons: requests.listReasons(), customers: budgets.list(),
	};
}
