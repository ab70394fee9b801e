import fc from 'fast-check';
import {expect, test} from 'vitest';
import {computeLoan, type LoanSizeView} from './loan-size.js';
import {
	CreditedTotals, LentTotals, computeCredit, normalizeTokens,
} from './loan-totals.js';

const customer = 'c1';
const decisions = 20_000;
const maxDecisionMs = 0.05;

test('replies credit what was lent, once, in whatever order they arrive', () => {
	// Guards against tokens that a late or repeated reply counts twice.
	fc.assert(fc.property(fc.array(fc.record({amount: fc.nat(1000), at: fc.nat(1000), repeatedAt: fc.nat(1000)}), {minLength: 1, maxLength: 20}), loans => {
		const lent = new LentTotals();
		const credited = new CreditedTotals();
		const replies = loans.flatMap(({amount, at, repeatedAt}) => {
			lent.add('b/1', customer, amount);
			const total = lent.get('b/1', customer);
			return [{total, at}, {total, at: repeatedAt}];
		});
		let sum = 0;
		for (const {total} of replies.sort((left, right) => left.at - right.at)) {
			sum += credited.accept('l/1', customer, total).tokens;
		}

		expect(sum).toBe(lent.get('b/1', customer));
	}));
});

test.each([[Number.NaN, 'not-finite'], [Number.POSITIVE_INFINITY, 'not-finite'], [Number.NEGATIVE_INFINITY, 'not-finite'], [-1, 'lower'], [99, 'lower'], [100, undefined]])('a total of %s credits nothing after 100', (total, fault) => {
	expect(computeCredit(100, total)).toEqual(fault === undefined ? {tokens: 0} : {tokens: 0, fault});
});

test('totals of another incarnation are separate', () => {
	// Guards against loans of a restarted lender that are taken for ones received before.
	const credited = new CreditedTotals();
	credited.accept('l/1', customer, 500);
	expect(credited.accept('l/2', customer, 300).tokens).toBe(300);
});

test('what a borrower confirms only increases and never exceeds what was lent', () => {
	const lent = new LentTotals();
	lent.add('b/1', customer, 100);
	for (const [received, unconfirmed] of [[40, 60], [10, 60], [Number.NaN, 60], [1e9, 0]] as const) {
		lent.confirm('b/1', customer, received);
		expect(lent.countUnconfirmed('b/1', customer)).toBe(unconfirmed);
	}
});

test.each([undefined, Number.NaN, Number.POSITIVE_INFINITY, -5])('an amount of %s counts as 0', amount => {
	expect(normalizeTokens(amount)).toBe(0);
});

const view: LoanSizeView = {
	needed: 1000, wanted: 3000, unconfirmed: 0, spare: 10_000, mayClaim: true,
};

test('unconfirmed tokens count as lent', () => {
	// Guards against a borrower whose replies are late that gets the whole missing amount again with each search.
	expect([0, 400, 1000, 5000].map(unconfirmed => computeLoan({...view, unconfirmed}))).toEqual([3000, 600, 0, 0]);
});

test('an owner lends all that is missing or nothing', () => {
	expect(computeLoan({...view, spare: 900})).toBe(0);
	expect(computeLoan({...view, spare: 900, unconfirmed: 500})).toBe(500);
	expect(computeLoan({...view, spare: 900, mayClaim: false})).toBe(900);
});

test('a decision takes under 50 microseconds', () => {
	const lent = new LentTotals();
	const credited = new CreditedTotals();
	const startedAt = performance.now();
	for (let index = 0; index < decisions; index += 1) {
		const borrower = `b${index % 90}/1`;
		lent.add(borrower, customer, computeLoan({...view, unconfirmed: lent.countUnconfirmed(borrower, customer)}));
		lent.confirm(borrower, customer, credited.accept(borrower, customer, lent.get(borrower, customer)).tokens);
	}

	expect((performance.now() - startedAt) / decisions).toBeLessThan(maxDecisionMs);
});
