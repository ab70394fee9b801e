/**
 * Retry budgets of one gateway by service, each a part of the fleet's.
 *
 * @module
 */
import {createRetryBudget, type RetryBudget} from './retry-budget.js';

/** Limits on the retries of all gateways together. */
export type FleetRetryLimits = {
	/** Maximum retries as a share of requests. */
	readonly share: number;
	/** Retries allowed in addition to the share in any retry window. */
	readonly slack: number;
};

/** Options of {@linkcode createFleetRetryBudgets}. */
export type CreateFleetRetryBudgetsOptions = {
	readonly countGateways: () => number;
	readonly getLimits: () => FleetRetryLimits;
};

/** Retry budgets of one gateway. */
export type FleetRetryBudgets = ReturnType<typeof createFleetRetryBudgets>;

/** Minimum number of gateways among which the fleet's retry slack is divided: the smallest deployments have four. */
const minGateways = 4;

/**
 * Creates the budgets.
 *
 * @example
 * ```ts
 * const budgets = createFleetRetryBudgets({countGateways: () => 26, getLimits: () => ({share: 0.2, slack: 92})});
 * budgets.find('model').tryWithdraw();
 * ```
 *
 * @param options The size of the fleet and its limits
 * @returns The budgets
 */
export function createFleetRetryBudgets({countGateways, getLimits}: CreateFleetRetryBudgetsOptions) {
	const budgets = new Map<string, RetryBudget>();
	// Never decreases, so that gateways that stop and start do not refill the retry budgets each time.
	let maxGatewaysSeen = minGateways;

	return {
		/** Returns the retry budget of a service. */
		find(service: string): RetryBudget {
			const gateways = countGateways();
			if (gateways > maxGatewaysSeen) {
				maxGatewaysSeen = gateways;
				budgets.clear();
			}

			const {share, slack} = getLimits();
			const budget = budgets.get(service) ?? createRetryBudget({ratio: share, burst: slack / maxGatewaysSeen});
			budgets.set(service, budget);
			return budget;
		},

		/** Discards all budgets, after the limits have changed. */
		drop(): void {
			budgets.clear();
		},
	};
}
