/**
 * Reclaimer that never reclaims the grants of failed holders.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import type {Reclaimer} from '../../../src/coordination/budgets/reclaimer.js';

export * from '../../../src/coordination/budgets/reclaimer.js';

export function createReclaimer(): Reclaimer {
	return {
		async run() {
			await Promise.resolve();
		},
	};
}
