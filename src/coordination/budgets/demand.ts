/**
 * Tracks the demand for tokens of each budget at one daemon: the needs of
 * waiting requests, the recent rate of spending, and whether requests lacked
 * tokens.
 *
 * @module
 */
import {sumShares} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createDemand}. */
export type CreateDemandOptions = {
	/**
	 * Shortest period over which a new budget's rate is averaged, which corrects
	 * the average for the time before the first spending. By default the average
	 * starts from 0 and is too low at first.
	 */
	readonly warmUpMs?: number;
};

/** Tracks one daemon's demand. */
export type Demand = ReturnType<typeof createDemand>;

const rateWindowMs = 10_000;
const insufficientWindowMs = 5000;

/**
 * Creates a demand tracker.
 *
 * @example
 * ```ts
 * const demand = createDemand(clock);
 * demand.recordSpent('b1', 430);
 * demand.findRate('b1'); // tokens per millisecond
 * ```
 *
 * @param clock Clock
 * @param options How a new budget's rate is averaged
 * @returns The tracker
 */
export function createDemand(clock: Clock, options: CreateDemandOptions = {}) {
	const waiting = new Map<string, number[]>();
	const rates = new Map<string, {rate: number; at: number; since: number}>();
	const insufficientAt = new Map<string, number>();

	function listWanted(budget: string): readonly number[] {
		return waiting.get(budget) ?? [];
	}

	function findRate(budget: string): number {
		const known = rates.get(budget);
		if (!known) {
			return 0;
		}

		const rate = known.rate * Math.exp((known.at - clock.now()) / rateWindowMs);
		const elapsedMs = Math.max(options.warmUpMs ?? 0, clock.now() - known.since);
		return options.warmUpMs === undefined ? rate : rate / (1 - Math.exp(-elapsedMs / rateWindowMs));
	}

	return {
		/** Returns the number of tokens that each waiting request needs. */
		listWanted,
		/** Returns the number of tokens that all waiting requests need together. */
		countWanted: (budget: string): number => sumShares(listWanted(budget).map(amount => ({amount}))),

		/** Adds a waiting request and returns a function that removes it. */
		addWaiting(budget: string, amount: number): () => void {
			const amounts = waiting.get(budget) ?? [];
			amounts.push(amount);
			waiting.set(budget, amounts);
			return () => {
				amounts.splice(amounts.indexOf(amount), 1);
			};
		},

		/** Returns the rate of spending in tokens per millisecond, an exponentially decaying average. */
		findRate,

		/** Returns the milliseconds since the first spending; 0 before it. */
		computeObservedMs(budget: string): number {
			const known = rates.get(budget);
			return known ? clock.now() - known.since : 0;
		},

		recordSpent(budget: string, tokens: number): void {
			const known = rates.get(budget);
			const now = clock.now();
			const decayed = known ? known.rate * Math.exp((known.at - now) / rateWindowMs) : 0;
			rates.set(budget, {rate: decayed + (tokens / rateWindowMs), at: now, since: known?.since ?? now});
		},

		/** Sets the rate, in tokens per millisecond, from which later spending continues the average. */
		setRate(budget: string, rate: number): void {
			rates.set(budget, {rate, at: clock.now(), since: Number.NEGATIVE_INFINITY});
		},

		recordInsufficient(budget: string): void {
			insufficientAt.set(budget, clock.now());
		},

		/** Returns true if a request lacked tokens of the budget in the last seconds. */
		wasInsufficient: (budget: string): boolean => clock.now() - (insufficientAt.get(budget) ?? Number.NEGATIVE_INFINITY) < insufficientWindowMs,
	};
}
