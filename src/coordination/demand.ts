/**
 * What requests at one entry daemon ask of its budgets.
 *
 * @module
 */
import {sumShares} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createDemand}. */
export type CreateDemandOptions = {
	/**
	 * Shortest span, in milliseconds, over which a new budget's rate is taken;
	 * the average is then not too low at the start. Default: it starts from 0.
	 */
	readonly warmUp?: number;
};

/** Demand at one entry daemon. */
export type Demand = ReturnType<typeof createDemand>;

const rateWindow = 10_000;
const shortMemory = 5000;

/**
 * Creates the account of demand.
 *
 * @example
 * ```ts
 * const demand = createDemand(clock);
 * demand.noteSpent('b1', 430);
 * demand.findRate('b1'); // tokens a millisecond
 * ```
 *
 * @param clock Time
 * @param options How a new budget's rate is taken
 * @returns The account
 */
export function createDemand(clock: Clock, options: CreateDemandOptions = {}) {
	const waiting = new Map<string, number[]>();
	const rates = new Map<string, {rate: number; at: number; since: number}>();
	const shortAt = new Map<string, number>();

	function listWanted(budget: string): readonly number[] {
		return waiting.get(budget) ?? [];
	}

	function findRate(budget: string): number {
		const known = rates.get(budget);
		if (!known) {
			return 0;
		}

		const rate = known.rate * Math.exp((known.at - clock.now()) / rateWindow);
		const span = Math.max(options.warmUp ?? 0, clock.now() - known.since);
		return options.warmUp === undefined ? rate : rate / (1 - Math.exp(-span / rateWindow));
	}

	return {
		/** What each waiting request asks for, in tokens. */
		listWanted,
		/** What all waiting requests ask for, in tokens. */
		countWanted: (budget: string): number => sumShares(listWanted(budget).map(amount => ({amount}))),

		/** Notes a waiting request; returns what ends its wait. */
		startWaiting(budget: string, amount: number): () => void {
			const amounts = waiting.get(budget) ?? [];
			amounts.push(amount);
			waiting.set(budget, amounts);
			return () => {
				amounts.splice(amounts.indexOf(amount), 1);
			};
		},

		/** Tokens a millisecond spent of late, an exponentially decaying average. */
		findRate,
		noteSpent(budget: string, tokens: number): void {
			const known = rates.get(budget);
			const now = clock.now();
			const decayed = known ? known.rate * Math.exp((known.at - now) / rateWindow) : 0;
			rates.set(budget, {rate: decayed + (tokens / rateWindow), at: now, since: known?.since ?? now});
		},

		/** Takes a rate for known, in tokens a millisecond, until what is spent here says otherwise. */
		setRate(budget: string, rate: number): void {
			rates.set(budget, {rate, at: clock.now(), since: Number.NEGATIVE_INFINITY});
		},

		noteShort(budget: string): void {
			shortAt.set(budget, clock.now());
		},

		/** True when requests here were short of the budget's tokens in the last seconds. */
		isShort: (budget: string): boolean => clock.now() - (shortAt.get(budget) ?? Number.NEGATIVE_INFINITY) < shortMemory,
	};
}
