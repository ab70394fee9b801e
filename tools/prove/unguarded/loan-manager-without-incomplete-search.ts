/**
 * Loan manager that treats a lender that does not answer like one without free
 * tokens: it reports every search for a lender as complete.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createLoanManager as createGuarded, type CreateLoanManagerOptions, type LoanManager} from '../../../src/coordination/budgets/loan-manager.js';

export * from '../../../src/coordination/budgets/loan-manager.js';

export function createLoanManager(options: CreateLoanManagerOptions): LoanManager {
	const manager = createGuarded(options);
	return {
		...manager,
		async borrow(budget, amount) {
			const search = await manager.borrow(budget, amount);
			return {...search, isComplete: true};
		},
	};
}
