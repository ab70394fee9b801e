import {expect, test} from 'vitest';
import type {TokenReservation} from '../../state/mod.js';
import {createTokenQueue} from './token-queue.js';
import {decideRefusal, estimateRetryAfterMs} from './token-refusal.js';
import {findQueueIndex, selectServed} from './wait-order.js';

const customer = 'c1';
const decisions = 5000;
const maxDecisionMs = 0.05;
const large = {amount: 900};
const small = {amount: 100};

test('a smaller request overtakes one that what is on its way does not cover', () => {
	expect(selectServed([large, small], {free: 500, inFlight: 0})).toEqual([small]);
});

test('a larger request that tokens on their way will serve is not overtaken', () => {
	// Guards against a large request that smaller ones delay until it is refused.
	expect(selectServed([large, small], {free: 500, inFlight: 400})).toEqual([]);
	expect(selectServed([large, small], {free: 950, inFlight: 50})).toEqual([large]);
});

test('the queue is ordered by urgency and then by arrival', () => {
	const order: string[] = [];
	let free = 0;
	const queue = createTokenQueue({
		reserve(id, amount): TokenReservation | undefined {
			free -= amount;
			return {customer: id, amount, isSettled: false};
		},
		countObtainable: () => ({free, inFlight: 0}),
	});
	for (const [name, urgency] of [['late', 2], ['first', 1], ['second', 1], ['urgent', 0]] as const) {
		queue.add(customer, {
			amount: 10, urgency, onLeft() {
				order.push(name);
			},
		});
	}

	for (free = 10; !queue.isEmpty(customer); free += 10) {
		queue.serve(customer);
	}

	expect(order).toEqual(['urgent', 'first', 'second', 'late']);
	expect(findQueueIndex([], 3)).toBe(0);
});

test('Retry-After is the time after which tokens are expected', () => {
	const idle = {
		isLoanOpen: false, loanDurationMs: 800, isClaiming: false, claimDurationMs: 40,
	};
	expect(estimateRetryAfterMs(idle)).toBe(1000);
	expect(estimateRetryAfterMs({...idle, isLoanOpen: true})).toBe(1600);
	expect(estimateRetryAfterMs({...idle, isClaiming: true})).toBe(250);
	expect(estimateRetryAfterMs({...idle, isLoanOpen: true, loanDurationMs: 60_000})).toBe(5000);
});

test.each([[true, 100, 'budget-exhausted'], [false, 100, 'budget-busy'], [true, 900, 'budget-busy']])('certain: %s with %s tokens left ends with %s', (isCertain, remaining, type) => {
	expect(decideRefusal({
		customer, amount: 500, bought: 1000, remaining, isCertain, retryAfterMs: 700,
	}).type).toBe(type);
});

test('a decision takes under 50 microseconds with 100 waiting requests', () => {
	const waiters = Array.from({length: 100}, (_, index) => ({amount: 100 + index, urgency: index}));
	const startedAt = performance.now();
	for (let index = 0; index < decisions; index += 1) {
		selectServed(waiters, {free: 2000, inFlight: 0});
		findQueueIndex(waiters, index % 100);
	}

	expect((performance.now() - startedAt) / decisions).toBeLessThan(maxDecisionMs);
});
