/**
 * Takes a lender that does not answer for one that has nothing. For a proof
 * without its guard.
 *
 * @module
 */
import {createLoanDesk as createGuarded, type CreateLoanDeskOptions, type LoanDesk} from '../../../src/coordination/loan-desk.js';

export * from '../../../src/coordination/loan-desk.js';

export function createLoanDesk(options: CreateLoanDeskOptions): LoanDesk {
	const desk = createGuarded(options);
	return {
		...desk,
		async borrow(budget, amount) {
			const search = await desk.borrow(budget, amount);
			return {...search, isComplete: true};
		},
	};
}
