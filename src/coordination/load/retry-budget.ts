/**
 * Limits retries to a share of the requests, so that a failed upstream does not
 * cause a retry storm on the others.
 *
 * @module
 */

/** Options of {@linkcode createRetryBudget}. */
export type CreateRetryBudgetOptions = {
	/** Retries granted per request; 0.2 allows one retry for five requests. */
	readonly ratio: number;
	/** Maximum number of accumulated retries; default 10. */
	readonly burst?: number;
};

/** Limits the number of retries. */
export type RetryBudget = {
	/** Credits the budget for one request. */
	readonly deposit: () => void;
	/** Takes one retry from the budget; returns false if none is left. */
	readonly tryWithdraw: () => boolean;
	/** Gives back one retry that was withdrawn and not used. */
	readonly repay: () => void;
};

const defaultBurst = 10;

/**
 * Creates a retry budget that starts full.
 *
 * @example
 * ```ts
 * const retries = createRetryBudget({ratio: 0.2});
 * retries.tryWithdraw(); // true
 * ```
 *
 * @param options The share of retries and the maximum to accumulate
 * @returns The budget
 */
export function createRetryBudget(options: CreateRetryBudgetOptions): RetryBudget {
	const burst = options.burst ?? defaultBurst;
	let balance = burst;
	return {
		deposit() {
			balance = Math.min(burst, balance + options.ratio);
		},
		tryWithdraw() {
			if (balance < 1) {
				return false;
			}

			balance -= 1;
			return true;
		},
		repay() {
			balance = Math.min(burst, balance + 1);
		},
	};
}
