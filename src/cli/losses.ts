/**
 * Where callers and budgets lose, told by the logs of daemons alone.
 *
 * @module
 */
import * as z from 'zod';
import {createBudgetCount, type CustomerLosses} from './budget-count.js';
import type {LogLine} from './log-line.js';
import {
	createRequestCount, servedOutcome, type LossReason, type LossWindow,
} from './request-count.js';

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

const events = {
	started: 'FL1001', stopped: 'FL1003', granted: 'FL1201', lent: 'FL1206', borrowed: 'FL1207', short: 'FL1209', refused: 'FL1401', ended: 'FL1408', deployment: 'FL1506',
} as const;
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
			budgets.noteUsed(line.daemon, customer, {tokens: used, isServed: result === servedOutcome});
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
