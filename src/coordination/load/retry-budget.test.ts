import {expect, test} from 'vitest';
import {createFleetRetryBudgets, createRetryBudget} from './mod.js';

test('retries that are given back never raise the budget above its maximum', () => {
	// Guards against more retries than the fleet allows: requests that arrive meanwhile fill the budget up again.
	const budget = createRetryBudget({ratio: 1, burst: 2});
	expect([budget.tryWithdraw(), budget.tryWithdraw(), budget.tryWithdraw()]).toEqual([true, true, false]);
	budget.deposit();
	budget.repay();
	budget.repay();
	expect([budget.tryWithdraw(), budget.tryWithdraw(), budget.tryWithdraw()]).toEqual([true, true, false]);
});

test('a retry that is given back after the size of the fleet has changed is not added to the new budget', () => {
	// Guards against budgets whose sum over all gateways exceeds that of the fleet.
	let gateways = 4;
	const budgets = createFleetRetryBudgets({countGateways: () => gateways, getLimits: () => ({share: 0, slack: 8})});
	const before = budgets.find('model');
	before.tryWithdraw();
	gateways = 8;
	const after = budgets.find('model');
	expect(after.tryWithdraw()).toBe(true);
	before.repay();
	expect(after.tryWithdraw()).toBe(false);
});
