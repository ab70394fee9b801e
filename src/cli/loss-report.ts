/**
 * Reports lost requests and tokens, using only the logs of daemons.
 *
 * @module
 */
import * as z from 'zod';
import {createBudgetCounter, type CustomerLosses} from './budget-counter.js';
import {createCustomerCounter, type CustomerOutcomes} from './customer-counter.js';
import type {LogLine} from './log-line.js';
import {createTrafficTotals, type TrafficRow} from './traffic-totals.js';
import {
	createRequestCounter, servedOutcome, type LossReason, type LossWindow,
} from './request-counter.js';

/** Requests and tokens that were lost, according to the logs. */
export type LossReport = {
	/** Time of the first line, ISO 8601. */
	readonly since: string;
	readonly windows: readonly LossWindow[];
	readonly reasons: readonly LossReason[];
	readonly customers: readonly CustomerLosses[];
	/** Those that are served least often first. */
	readonly outcomes: readonly CustomerOutcomes[];
	readonly traffic: readonly TrafficRow[];
};

/** Options of {@linkcode buildLossReport}. */
export type BuildLossReportOptions = {
	/** Length of a window, in seconds; default 2. */
	readonly windowSeconds?: number;
};

const events = {
	started: 'FL1001',
	stopped: 'FL1003',
	granted: 'FL1201',
	lent: 'FL1206',
	borrowed: 'FL1207',
	insufficientTokens: 'FL1209',
	refused: 'FL1401',
	ended: 'FL1408',
	traffic: 'FL1414',
	deployment: 'FL1506',
} as const;
const defaultWindowSeconds = 2;
const amount = z.number().nonnegative();
const amountsSchema = z.record(z.string(), amount);
const loanSchema = z.object({customer: z.string(), amount});
const insufficientTokensSchema = z.object({customer: z.string(), bought: amount});
const refusedSchema = z.object({type: z.string(), customer: z.string().optional()});
const endedSchema = z.object({
	result: z.string(), customer: z.string().optional(), used: amount, reason: z.string().optional(),
});

/** @internal Replaces numbers and addresses, so that reasons with the same cause are counted together. */
function normalizeReason(text: string): string {
	return text.replaceAll(/\d[\d.:]*/gu, '#');
}

/** @internal */
function parseAmounts(text: unknown): Record<string, number> | undefined {
	try {
		return amountsSchema.parse(JSON.parse(String(text)));
	} catch {
		// Another program may have written a line with this event number; the whole line is skipped.
		return undefined;
	}
}

/**
 * Builds a report of lost requests and tokens.
 *
 * A daemon that starts again without a stop event is presumed to have failed. The
 * tokens granted to it that are not known to be used or lent count as left
 * with it. Lines whose fields do not match their event are skipped.
 *
 * @example
 * ```ts
 * const {customers} = buildLossReport(parseLog(text));
 * ```
 *
 * @param log Lines of all daemons, in any order
 * @param options Length of a window
 * @returns Windows in order of time; reasons with the most requests first; customers with the most `short` requests first
 */
export function buildLossReport(log: readonly LogLine[], options: BuildLossReportOptions = {}): LossReport {
	const sorted = log.toSorted((left, right) => Date.parse(left.at) - Date.parse(right.at));
	const since = sorted[0]?.at ?? new Date(0).toISOString();
	const requests = createRequestCounter(Date.parse(since), options.windowSeconds ?? defaultWindowSeconds);
	const budgets = createBudgetCounter();
	const traffic = createTrafficTotals();
	const customers = createCustomerCounter();

	function handleEnded(line: LogLine): void {
		const ended = endedSchema.safeParse(line.fields);
		if (!ended.success) {
			return;
		}

		const {result, customer, used, reason = '-'} = ended.data;
		requests.record(line, result, {reason: normalizeReason(reason), tokens: used});
		if (customer !== undefined) {
			budgets.recordUsed(line.daemon, customer, {tokens: used, isServed: result === servedOutcome});
			customers.record({customer, gateway: line.daemon, outcome: result});
		}
	}

	function handleRefused(line: LogLine): void {
		const refused = refusedSchema.safeParse(line.fields);
		if (!refused.success) {
			return;
		}

		const {type, customer} = refused.data;
		requests.record(line, 'refused', {reason: type, tokens: 0});
		if (customer !== undefined) {
			customers.record({customer, gateway: line.daemon, outcome: 'refused'});
		}
	}

	function handleLoan(line: LogLine, sign: number): void {
		const loan = loanSchema.safeParse(line.fields);
		if (loan.success) {
			budgets.recordLent(line.daemon, loan.data.customer, sign * loan.data.amount);
		}
	}

	function handleInsufficientTokens(line: LogLine): void {
		const insufficient = insufficientTokensSchema.safeParse(line.fields);
		if (insufficient.success) {
			budgets.recordInsufficientTokens(insufficient.data.customer);
			budgets.recordBought(insufficient.data.customer, insufficient.data.bought);
		}
	}

	function handleDeployment(line: LogLine): void {
		for (const [customer, tokens] of Object.entries(parseAmounts(line.fields.bought ?? '{}') ?? {})) {
			budgets.recordBought(customer, tokens);
		}
	}

	const handlers: Readonly<Record<string, (line: LogLine) => void>> = {
		[events.started](line) {
			budgets.recordStarted(line.daemon);
		},
		[events.stopped](line) {
			budgets.recordStopped(line.daemon);
		},
		[events.granted](line) {
			const granted = parseAmounts(line.fields.granted);
			if (granted) {
				budgets.recordGranted(line.daemon, granted);
			}
		},
		[events.lent](line) {
			handleLoan(line, 1);
		},
		[events.borrowed](line) {
			handleLoan(line, -1);
		},
		[events.insufficientTokens]: handleInsufficientTokens,
		[events.refused]: handleRefused,
		[events.ended]: handleEnded,
		[events.traffic]: traffic.record,
		[events.deployment]: handleDeployment,
	};
	for (const line of sorted) {
		handlers[line.event]?.(line);
	}

	return {
		since, windows: requests.listWindows(), reasons: requests.listReasons(), customers: budgets.listCustomers(), outcomes: customers.list(), traffic: traffic.list(),
	};
}
