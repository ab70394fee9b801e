import {expect, test} from 'vitest';
import {AheadGrantPolicy, type BudgetView} from '../mod.js';

const view: BudgetView = {
	remaining: 8000, unspent: 8000, free: 0, reserved: 0, wanted: 0, rate: 0, entries: 2, hasClaimed: false, weighs: 'refusals',
};
const policy = new AheadGrantPolicy();

test('decide() claims the fair share for a budget that weighs refusals', () => {
	expect(policy.decide(view)).toEqual({claim: 4000, release: 0});
});

test('decide() claims a tenth of the fair share for an idle budget that weighs overspend', () => {
	expect(policy.decide({...view, weighs: 'overspend'})).toEqual({claim: 400, release: 0});
});

test('decide() claims what waiting requests need, up to what remains', () => {
	expect(policy.decide({...view, weighs: 'overspend', wanted: 9000})).toEqual({claim: 8000, release: 0});
});

test('decide() releases free tokens that far exceed the target', () => {
	expect(policy.decide({
		...view, remaining: 0, unspent: 1000, free: 1000, entries: 4,
	})).toEqual({claim: 0, release: 750});
});
