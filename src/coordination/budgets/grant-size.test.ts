import {expect, test} from 'vitest';
import {
	DemandTargetPolicy, UnseenDemandTargetPolicy, computeGrant as computeGrantBy, type GrantView,
} from './grant-size.js';

const view: GrantView = {
	granted: 0, bound: 0, free: 0, wanted: 0, rate: 10, claimDurationMs: 15, available: 4_000_000, ungranted: 4_000_000, bought: 4_000_000, claimers: 4, isKnownClaimer: true, observedMs: 0, isEnding: false,
};
const computeGrant = (item: GrantView) => computeGrantBy(item, new DemandTargetPolicy());

test('a grant covers seconds of demand without the store while much of the budget is left', () => {
	// Guards against callers that wait or are refused as soon as the store is
	// slow or unavailable for more than a second, although tokens are left.
	expect(computeGrant(view)).toBeGreaterThanOrEqual(5000 * view.rate);
});

test('free tokens of all gateways together are a small share of the remaining budget', () => {
	// Guards against refusals for the rest of the day after a power failure of
	// all gateways, in which the free tokens of all grants are lost.
	for (const available of [200_000, 100_000, 50_000]) {
		expect(4 * computeGrant({...view, available})).toBeLessThanOrEqual(Math.max(0.08 * available, 4 * 500 * view.rate));
	}
});

test('many gateways together hold no more free tokens than few', () => {
	const few = 4 * computeGrant({...view, available: 100_000});
	const many = 27 * computeGrant({
		...view, available: 100_000, claimers: 27, rate: view.rate * 4 / 27,
	});
	expect(many).toBeLessThanOrEqual(few * 1.05);
});

test('a slow store makes grants larger', () => {
	expect(computeGrant({...view, claimDurationMs: 800})).toBeGreaterThan(computeGrant(view));
});

test('a grant covers several claims while they are slow, however little of the budget is left', () => {
	// Guards against a grant that runs out while it is renewed, so that every request waits for a claim of its own.
	const slow = {
		...view, claimers: 1, available: 100_000, claimDurationMs: 400,
	};
	expect(computeGrant(slow) / slow.rate).toBeGreaterThanOrEqual(6 * 400);
	expect(computeGrant({...slow, claimDurationMs: 2000}) / slow.rate).toBeLessThanOrEqual(5000);
});

test('tokens that waiting requests need are granted even if they exceed the target', () => {
	expect(computeGrant({
		...view, wanted: 30_000, available: 30_000, rate: 0.1,
	})).toBe(30_000);
});

test('a stopping gateway keeps only the tokens that cannot be released', () => {
	expect(computeGrant({
		...view, granted: 5000, bound: 1200, free: 3800, isEnding: true,
	})).toBe(1200);
});

test('a fifth of a purchase is granted before demand is seen, once, and is kept while it is not used', () => {
	// Guards against refusals when the store becomes unavailable in the first seconds.
	const policy = new UnseenDemandTargetPolicy();
	const idle = {
		...view, rate: 0, claimers: 1, bought: 1000, available: 1000, ungranted: 1000,
	};
	expect(computeGrantBy(idle, policy)).toBe(200);
	expect(computeGrantBy({
		...idle, granted: 200, free: 200, ungranted: 800,
	}, policy)).toBe(200);
	expect(computeGrantBy({
		...idle, granted: 200, bound: 160, free: 40, ungranted: 800,
	}, policy)).toBe(200);
	expect(computeGrantBy({...idle, claimers: 4}, policy)).toBe(20);
	// After the holder has failed, its part of the purchase is not granted a second time.
	expect(computeGrantBy({...idle, available: 800, ungranted: 800}, policy)).toBe(0);
});

// Guards against all customers losing a fifth of their purchases with the gateway that was the first to start.
test('a gateway that does not know the others claims nothing before demand is seen', () => {
	expect(computeGrantBy({
		...view, rate: 0, claimers: 1, isKnownClaimer: false,
	}, new UnseenDemandTargetPolicy())).toBe(0);
});

// Guards against customers losing a fifth of their purchase with the gateway that claims it, when their demand has long been seen.
test('what was granted before demand was seen is released once it is seen', () => {
	const granted = 800_000;
	const seen = {
		...view, claimers: 1, granted, free: granted, ungranted: view.bought - granted, observedMs: 2000,
	};
	const total = computeGrantBy(seen, new UnseenDemandTargetPolicy());
	expect(total).toBe(computeGrantBy(seen, new DemandTargetPolicy()));
	expect(total).toBeLessThan(granted / 10);
});

// Guards against refusals when the store becomes unavailable two seconds after demand that is higher than was expected.
test('demand that is seen is granted in addition to the part for demand that is not', () => {
	const granted = 800_000;
	const seen = {
		...view, claimers: 1, granted, bound: 20_000, free: granted - 20_000, ungranted: view.bought - granted, observedMs: 500,
	};
	const demanded = computeGrantBy({...seen, granted: 20_000, free: 0}, new DemandTargetPolicy()) - seen.bound;
	expect(computeGrantBy(seen, new UnseenDemandTargetPolicy())).toBe(granted + demanded);
});
