import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createSystemClock} from '../../transport/mod.js';
import {createStallTimeout} from './stall-timeout.js';

test('a stall timeout longer than a timer can wait is not checked at once, again and again', async () => {
	let reads = 0;
	const clock = createSystemClock();
	const stallTimeout = createStallTimeout({
		objective: 1e13, canRetry: () => true,
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
