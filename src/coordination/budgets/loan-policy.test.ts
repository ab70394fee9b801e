import fc from 'fast-check';
import {expect, test} from 'vitest';
import {KeptLoanPolicy, ReturnedLoanPolicy, type LoanView} from './loan-policy.js';

const view: LoanView = {
	needed: 17_000, rate: 2, idle: 0, remaining: 1_000_000, gateways: 26,
};
const policy = new ReturnedLoanPolicy();

test('a loan covers the request and little more', () => {
	// Guards against refusals while the rest of a budget lies in pieces at gateways that do not need them.
	expect(policy.computeWanted({...view, rate: 100, remaining: 100_000})).toBeLessThanOrEqual(view.needed + 2000);
	expect(new KeptLoanPolicy().computeWanted({...view, rate: 100, remaining: 100_000})).toBe(view.needed + 50_000);
});

test('the tokens that a request did not use are returned', () => {
	expect(policy.computeReturned({
		...view, needed: 0, idle: 16_000, remaining: 20_000,
	})).toBeGreaterThan(15_000);
	expect(new KeptLoanPolicy().computeReturned()).toBe(0);
});

test('no loan is followed by its own return', () => {
	// Guards against calls between gateways that move the same tokens back and forth.
	const amount = fc.nat(1_000_000);
	fc.assert(fc.property(amount, fc.double({min: -10, max: 1000, noNaN: true}), amount, fc.integer({min: 1, max: 90}), (needed, rate, remaining, gateways) => {
		const before = {
			needed, rate, idle: 0, remaining, gateways,
		};
		const idle = policy.computeWanted(before) - needed;
		expect(policy.computeReturned({...before, needed: 0, idle})).toBe(0);
	}));
});
