import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	computeAhead, computeAheadTarget, computeRateShare, computeWatermark,
} from './loan-ahead.js';
import {ReturnedLoanPolicy} from './loan-policy.js';

const decisions = 20_000;
const maxDecisionMs = 0.05;
const viewArbitrary = fc.record({
	rate: fc.double({min: -10, max: 1000, noNaN: true}), remaining: fc.nat(10_000_000), gateways: fc.integer({min: 1, max: 90}),
	rateShare: fc.option(fc.double({min: 0, max: 1, noNaN: true}), {nil: undefined}), loanDurationMs: fc.nat(5000), requestTokens: fc.nat(20_000),
});

test('the watermark covers the time that a loan takes, within limits', () => {
	// Guards against requests that wait for tokens because a loan arrives after the free tokens have run out.
	expect([0, 300, 5000].map(loanDurationMs => computeWatermark({rate: 10, loanDurationMs}))).toEqual([2500, 6000, 20_000]);
	expect(computeWatermark({rate: -5, loanDurationMs: 300, requestTokens: 1000})).toBe(0);
});

test('the watermark covers a request that is expected soon, and none that is not', () => {
	expect(computeWatermark({rate: 1, requestTokens: 4000})).toBe(4000);
	expect(computeWatermark({rate: 0.5, requestTokens: 4000})).toBe(125);
});

test('a gateway holds at most its share of a twentieth of what remains', () => {
	// Guards against tokens that lie at gateways with little demand while others lack them.
	fc.assert(fc.property(viewArbitrary, view => {
		expect(computeAheadTarget(view)).toBeLessThanOrEqual(0.05 * view.remaining * (view.rateShare ?? 1 / view.gateways));
	}));
});

test('no loan in advance is followed by its own return, and no return by a loan', () => {
	// Guards against calls between gateways that move the same tokens back and forth.
	const policy = new ReturnedLoanPolicy();
	fc.assert(fc.property(viewArbitrary, fc.nat(100_000), (view, free) => {
		const held = free + computeAhead({...view, free});
		const returnedAfterLoan = policy.computeReturned({...view, needed: 0, idle: held});
		expect(computeAhead({...view, free}) > 0 ? returnedAfterLoan : 0).toBe(0);
		const returned = policy.computeReturned({...view, needed: 0, idle: free});
		expect(returned > 0 ? computeAhead({...view, free: free - returned}) : 0).toBe(0);
	}));
});

test('the share of the rate is that of the highest recorded rate, which the owner states for all', () => {
	expect(computeRateShare(0.5, [1000, 20])).toBe(0.5);
	expect(computeRateShare(5, [1000])).toBe(1);
	expect(computeRateShare(5, [0])).toBeUndefined();
});

test('a decision takes under 50 microseconds', () => {
	const startedAt = performance.now();
	for (let index = 0; index < decisions; index += 1) {
		computeAhead({
			rate: index, remaining: 1_000_000, gateways: 90, rateShare: 0.3, loanDurationMs: 40, requestTokens: 900, free: index,
		});
	}

	expect((performance.now() - startedAt) / decisions).toBeLessThan(maxDecisionMs);
});
