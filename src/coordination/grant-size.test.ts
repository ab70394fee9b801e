import {expect, test} from 'vitest';
import {computeGrant, type GrantView} from './grant-size.js';

const view: GrantView = {
	granted: 0, bound: 0, free: 0, wanted: 0, rate: 10, claimTime: 15, available: 4_000_000, holders: 4, isEnding: false,
};

test('while much is left a grant covers seconds without the store', () => {
	// Callers wait for tokens or are refused as soon as the store is slow or
	// away for more than a second, though most of the budget is left.
	expect(computeGrant(view)).toBeGreaterThanOrEqual(5000 * view.rate);
});

test('what all gateways hold free is a small share of what is left', () => {
	// Everything loses power. The free tokens of all grants are lost, and
	// customers are refused for the rest of the day though they bought enough.
	for (const available of [200_000, 100_000, 50_000]) {
		expect(4 * computeGrant({...view, available})).toBeLessThanOrEqual(Math.max(0.16 * available, 4 * 500 * view.rate));
	}
});

test('a fleet of many gateways strands no more than a fleet of few', () => {
	const few = 4 * computeGrant({...view, available: 100_000});
	const many = 27 * computeGrant({
		...view, available: 100_000, holders: 27, rate: view.rate * 4 / 27,
	});
	expect(many).toBeLessThanOrEqual(few * 1.05);
});

test('a slow store makes grants larger', () => {
	expect(computeGrant({...view, claimTime: 800})).toBeGreaterThan(computeGrant(view));
});

test('what waiting requests ask for is granted whatever the cover', () => {
	expect(computeGrant({
		...view, wanted: 30_000, available: 30_000, rate: 0.1,
	})).toBe(30_000);
});

test('a stopping gateway keeps only what is bound', () => {
	expect(computeGrant({
		...view, granted: 5000, bound: 1200, free: 3800, isEnding: true,
	})).toBe(1200);
});
