/**
 * A bound on retries as a share of requests, so that a dead upstream does not
 * turn into a storm of retries on the others.
 *
 * @module
 */

/** Options of {@linkcode createRetryBudget}. */
export type CreateRetryBudgetOptions = {
	/** Retries earned by one request; 0.2 allows one retry for five requests. */
	readonly share: number;
	/** Retries that may be saved up; default 10. */
	readonly burst?: number;
};

/** A retry budget. */
export type RetryBudget = {
	/** Notes one request. */
	readonly earn: () => void;
	/** Takes one retry; false when there is none. */
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
 * @param options Share and burst
 * @returns The budget
 */
export function createRetryBudget(options: CreateRetryBudgetOptions): RetryBudget {
	const burst = options.burst ?? defaultBurst;
	let saved = burst;
	return {
		earn() {
			saved = Math.min(burst, saved + options.share);
		},
		take() {
			if (saved < 1) {
				return false;
			}

			saved -= 1;
			return true;
		},
	};
}
