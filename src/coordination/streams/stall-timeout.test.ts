import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createSystemClock} from '../../transport/mod.js';
import {createStallTimeout} from './mod.js';

const clock = createSystemClock();

function onError(error: Error): void {
	throw error;
}

test('a call that makes no progress is ended once a retry is reserved, also if that takes several questions', async () => {
	// Guards against a stream that stays at an upstream that no longer answers, because no other one was free at the moment of the
	// only question.
	let questions = 0;
	const timeout = createStallTimeout({
		objective: 100, clock, onError, tryReserveRetry() {
			questions += 1;
			return questions === 3;
		},
	});
	await wait(1300);
	expect([questions, timeout.signal.aborted]).toEqual([1, false]);
	await expect.poll(() => timeout.signal.aborted, {timeout: 1500}).toBe(true);
	await wait(400);
	expect(questions).toBe(3);
	timeout.clear();
});

test('a call that makes progress again is not asked for until it is silent for the whole timeout again', async () => {
	// Guards against a call that is ended right after an event because its upstream was silent before.
	let questions = 0;
	const timeout = createStallTimeout({
		objective: 100, clock, onError, tryReserveRetry() {
			questions += 1;
			return false;
		},
	});
	await wait(1300);
	timeout.recordProgress();
	const before = questions;
	await wait(1000);
	expect(questions).toBe(before);
	await expect.poll(() => questions, {timeout: 1500}).toBeGreaterThan(before);
	timeout.clear();
	const after = questions;
	await wait(400);
	expect(questions).toBe(after);
});

test('a stall timeout longer than a timer can wait is not checked at once, again and again', async () => {
	let reads = 0;
	const stallTimeout = createStallTimeout({
		objective: 1e13, onError, tryReserveRetry: () => true,
		clock: {
			...clock,
			now() {
				reads += 1;
				return clock.now();
			},
		},
	});
	await wait(50);
	stallTimeout.clear();
	expect(reads).toBe(1);
	expect(stallTimeout.signal.aborted).toBe(false);
});

// Guards against the end of a gateway, with all that is under way, at an unexpected error of one request.
test('an exception in the reservation of a retry ends the call and nothing else', async () => {
	const uncaught: unknown[] = [];
	const reported: Error[] = [];
	const recordUncaught = (error: unknown) => {
		uncaught.push(error);
	};

	const others = process.listeners('uncaughtException');
	process.removeAllListeners('uncaughtException');
	process.on('uncaughtException', recordUncaught);
	const failure = new TypeError('Not iterable');
	let questions = 0;
	const timeout = createStallTimeout({
		objective: 100, clock, tryReserveRetry() {
			questions += 1;
			throw failure;
		},
		onError(error) {
			reported.push(error);
		},
	});
	try {
		await wait(1800);
		expect(uncaught).toEqual([]);
		expect([timeout.signal.aborted, timeout.signal.reason]).toEqual([true, failure]);
		expect(reported).toEqual([failure]);
		expect(questions).toBe(1);
	} finally {
		timeout.clear();
		process.off('uncaughtException', recordUncaught);
		for (const listener of others) {
			process.on('uncaughtException', listener);
		}
	}
});
