/**
 * Settler that never determines the cost of lost attempts.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createSettler as createGuarded, type CreateSettlerOptions, type Settler} from '../../../src/coordination/budgets/settler.js';

export * from '../../../src/coordination/budgets/settler.js';

export function createSettler(options: CreateSettlerOptions): Settler {
	return {
		...createGuarded(options),
		async run() {
			await Promise.resolve();
		},
	};
}
