import {expect, test} from 'vitest';
import {platformWire} from '../../../platform/wire.js';
import {createRetrySchedule} from './retry-schedule.js';

test('the header states no time above a third of the time that the caller has left', () => {
	// Guards against a time that callers ignore because it is rounded up to two decimals.
	for (const peers of [{total: 3, withRoom: 3}, {total: 3, withRoom: 0}]) {
		const schedule = createRetrySchedule({clock: {now: () => 0}, countPeers: () => peers});
		for (let remainingMs = 150; remainingMs < 2000; remainingMs += 1) {
			const [, seconds] = platformWire.formatRetryAfter(schedule.scheduleReturn({remainingMs, mayReturn: true, endsNeeded: 1}));
			expect(Number(seconds) * 1000).toBeLessThanOrEqual(remainingMs / 3);
			expect(Number(seconds)).toBeGreaterThanOrEqual(0.05);
		}
	}
});
