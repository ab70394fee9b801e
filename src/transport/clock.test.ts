import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {computeTimerMs, createSystemClock, createTimeoutSignal} from './mod.js';

test.each([2 ** 31, 1e13, Number.POSITIVE_INFINITY])('a timer of %s ms does not fire at once', async delayMs => {
	// Guards against a request that times out, or a loop that never pauses, because of a large number in a configuration.
	const stopper = new AbortController();
	const timeout = createTimeoutSignal(delayMs);
	let hasSlept = false;
	const sleep = async () => {
		await createSystemClock().sleep(delayMs, stopper.signal);
		hasSlept = true;
	};

	const sleeping = sleep();
	await wait(30);
	expect([hasSlept, timeout.signal.aborted]).toEqual([false, false]);
	timeout.clear();
	stopper.abort();
	await sleeping;
});

test('computeTimerMs() keeps the delays that a timer can wait', () => {
	expect([0, 5, -3, 2 ** 31].map(delayMs => computeTimerMs(delayMs))).toEqual([0, 5, -3, 2_147_483_647]);
});
