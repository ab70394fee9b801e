/**
 * Takes a lender that does not answer for one that has nothing. For a proof
 * without its guard.
 *
 * @module
 */
import {createLoanManager as createGuarded, type CreateLoanManagerOptions, type LoanManager} from '../../../src/coordination/loan-manager.js';

export * from '../../../src/coordination/loan-manager.js';

export function createLoanManager(options: CreateLoanManagerOptions): LoanManager {
	const desk = createGuarded(options);
	return {
		...desk,
		async borrow(budget, amount) {
			const search = await desk.borrow(budget, amount);
			return {...search, isComplete: true};
		},
	};
}
