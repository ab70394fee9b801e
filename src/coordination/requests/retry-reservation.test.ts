import {expect, test} from 'vitest';
import {createRetryBudget} from '../load/mod.js';
import {minRemainingMs} from '../load/remaining-time.js';
import {computeRetryNeededMs, createRetryReservation, type CreateRetryReservationOptions} from './retry-reservation.js';

type Reached = 'none' | 'other' | 'chosen';

function createFixture(options: Partial<CreateRetryReservationOptions> = {}) {
	const budget = createRetryBudget({ratio: 0, burst: 2});
	const conditions = {mayRetry: true, hasCandidate: true, remainingMs: 1000};
	const reservation = createRetryReservation({
		attempts: 2, findBudget: () => budget, computeNeededMs: runningMs => Math.max(300, runningMs), minWaitRemainingMs: 300,
		mayRetry: () => conditions.mayRetry,
		hasCandidate: () => conditions.hasCandidate,
		computeRemainingMs: () => conditions.remainingMs,
		...options,
	});
	return {
		budget, conditions, reservation,
		call(...outcomes: Reached[]) {
			return outcomes.map(reached => {
				const mayBegin = reservation.tryBegin();
				reservation.finish(reached, {wasRejected: false});
				return mayBegin;
			});
		},
		/** Empties the budget and returns what was left in it. */
		empty() {
			let count = 0;
			while (budget.tryWithdraw()) {
				count += 1;
			}

			return count;
		},
	};
}

const written = {wasWritten: true, runningMs: 0};
const ran = {wasRejected: false};
const rejected = {wasRejected: true};

// Guards against answers that are cut because a silent upstream was given up although the request could go nowhere else.
test.each([
	['the answer or a quarantine forbids a retry', {mayRetry: false}],
	['no other upstream may get the request', {hasCandidate: false}],
	['too little time is left', {remainingMs: 299}],
])('no retry is reserved while %s, and one is when that has changed', (_, change) => {
	const {conditions, reservation, empty} = createFixture();
	const before = {...conditions};
	reservation.tryBegin();
	Object.assign(conditions, change);
	expect(reservation.tryReserve(written)).toBe(false);
	Object.assign(conditions, before);
	expect(reservation.tryReserve(written)).toBe(true);
	expect(empty()).toBe(1);
});

// Guards against a stream that is given up near its end for a rerun that cannot finish in time.
test.each([
	['an answer that must be produced anew, late', {objective: 300, runningMs: 4000, hasBegun: false}, 4000],
	['an answer that must be produced anew, early', {objective: 800, runningMs: 500, hasBegun: false}, 800],
	['a stream that goes on', {objective: 800, runningMs: 9000, hasBegun: true}, 2400],
	['a stream that goes on, with a short objective', {objective: 100, runningMs: 9000, hasBegun: true}, 1200],
	['any answer, without an objective to speak of', {objective: 1, runningMs: 0, hasBegun: false}, minRemainingMs],
])('the time that a retry needs: %s', (_, options, expected) => {
	expect(computeRetryNeededMs(options)).toBe(expected);
});

test('a call is not given up while less time is left than it has had', () => {
	const {conditions, reservation} = createFixture();
	reservation.tryBegin();
	expect(reservation.tryReserve({wasWritten: true, runningMs: 1001})).toBe(false);
	conditions.remainingMs = 1001;
	expect(reservation.tryReserve({wasWritten: true, runningMs: 1001})).toBe(true);
});

test('no retry is reserved if the running call is the last attempt', () => {
	const {reservation, call} = createFixture({attempts: 2});
	call('chosen');
	reservation.tryBegin();
	expect(reservation.tryReserve(written)).toBe(false);
});

test('a call that was not written uses neither an attempt nor the retry budget', () => {
	// Guards against requests that wait for a connection to an upstream that is gone until their time is over.
	const {reservation, empty} = createFixture({attempts: 1});
	empty();
	reservation.tryBegin();
	expect(reservation.tryReserve({wasWritten: false, runningMs: 0})).toBe(true);
	reservation.finish('none', rejected);
	expect(reservation.tryBegin()).toBe(true);
});

test('no retry is reserved while the budget is empty, and one is when it has been filled', () => {
	const budget = createRetryBudget({ratio: 1, burst: 1});
	budget.tryWithdraw();
	const {reservation} = createFixture({findBudget: () => budget});
	reservation.tryBegin();
	expect(reservation.tryReserve(written)).toBe(false);
	budget.deposit();
	expect(reservation.tryReserve(written)).toBe(true);
	expect(budget.tryWithdraw()).toBe(false);
});

test('a reserved retry is used by the next call and by no other', () => {
	const {reservation, empty} = createFixture({attempts: 9});
	reservation.tryBegin();
	expect([reservation.tryReserve(written), reservation.tryReserve(written)]).toEqual([true, true]);
	expect(empty()).toBe(1);
	reservation.finish('chosen', ran);
	expect(reservation.tryBegin()).toBe(true);
	reservation.finish('chosen', ran);
	expect(reservation.tryBegin()).toBe(false);
	reservation.release();
	expect(empty()).toBe(0);
});

test('a reserved retry that is not used is given back, once', () => {
	// Guards against a retry budget that runs dry, or grows, with calls that end by themselves after all.
	const {reservation, empty} = createFixture();
	reservation.tryBegin();
	reservation.tryReserve(written);
	reservation.finish('chosen', ran);
	reservation.release();
	reservation.release();
	expect(empty()).toBe(2);
});

test('a retry that reached no upstream is kept for the next call', () => {
	// Guards against a stream that is cut because the connection of its retry was refused and the budget is empty.
	const {reservation, call, empty} = createFixture({attempts: 2});
	expect(call('chosen', 'none', 'none')).toEqual([true, true, true]);
	expect(empty()).toBe(1);
	expect(call('chosen', 'chosen')).toEqual([true, false]);
	reservation.release();
	expect(empty()).toBe(0);
});

test('another upstream at the address uses up the retry budget and no attempt', () => {
	const {call} = createFixture({attempts: 1});
	expect(call('other', 'other', 'other', 'other')).toEqual([true, true, true, false]);
});

test('a retry is withdrawn from the budget in force and given back to the one it came from', () => {
	// Guards against requests that go on using the budget of a smaller fleet.
	const [first, second] = [createRetryBudget({ratio: 0, burst: 1}), createRetryBudget({ratio: 0, burst: 1})];
	let inForce = first;
	const {reservation} = createFixture({attempts: 3, findBudget: () => inForce});
	reservation.tryBegin();
	expect(reservation.tryReserve(written)).toBe(true);
	inForce = second;
	reservation.release();
	expect([first.tryWithdraw(), second.tryWithdraw()]).toEqual([true, true]);
});

test('a request waits for an upstream only if its call was given up, until a retry has reached one or too little time is left', () => {
	// Guards against requests that are held although they could be refused at once.
	const {conditions, reservation, call} = createFixture({attempts: 3});
	call('chosen');
	expect(reservation.shouldWait()).toBe(false);
	reservation.tryBegin();
	reservation.tryReserve(written);
	reservation.finish('chosen', ran);
	expect(reservation.shouldWait()).toBe(true);
	call('none');
	expect(reservation.shouldWait()).toBe(true);
	conditions.remainingMs = 299;
	expect(reservation.shouldWait()).toBe(false);
	conditions.remainingMs = 300;
	call('chosen');
	expect(reservation.shouldWait()).toBe(false);
});

test('an upstream that rejects a request uses up an attempt, but not after a call that was given up', () => {
	const first = createFixture({attempts: 2});
	for (const mayBegin of [true, true, false]) {
		expect(first.reservation.tryBegin()).toBe(mayBegin);
		first.reservation.finish('chosen', rejected);
	}

	const {reservation} = createFixture({attempts: 2});
	reservation.tryBegin();
	reservation.tryReserve(written);
	reservation.finish('chosen', ran);
	expect(reservation.tryBegin()).toBe(true);
	reservation.finish('chosen', rejected);
	expect([reservation.shouldWait(), reservation.tryBegin()]).toEqual([true, true]);
	reservation.finish('chosen', ran);
	expect([reservation.shouldWait(), reservation.tryBegin()]).toEqual([false, false]);
});
