/**
 * Limits retries to a share of the requests, so that a failed upstream does not
 * cause a retry storm on the others.
 *
 * @module
 */

/** Options of {@linkcode createRetryBudget}. */
export type CreateRetryBudgetOptions = {
	/** Retries granted per request; 0.2 allows one retry for five requests. */
	readonly share: number;
	/** Maximum number of accumulated retries; default 10. */
	readonly burst?: number;
};

/** Limits the number of retries. */
export type RetryBudget = {
	/** Credits the budget for one request. */
	readonly earn: () => void;
	/** Takes one retry from the budget; returns false if none is left. */
	readonly take: () => boolean;
};

const defaultBurst = 10;

/**
 * Creates a retry budget that starts full.
 *
 * @example
 * ```ts
 * const retries = createRetryBudget({share: 0.2});
 * retries.take(); // true
 * ```
 *
 * @param options The share of retries and the maximum to accumulate
 * @returns The budget
 */
export function createRetryBudget(options: CreateRetryBudgetOptions): RetryBudget {
	const burst = options.burst ?? defaultBurst;
	let balance = burst;
	return {
		earn() {
			balance = Math.min(burst, balance + options.share);
		},
		take() {
			if (balance < 1) {
				return false;
			}

			balance -= 1;
			return true;
		},
	};
}
