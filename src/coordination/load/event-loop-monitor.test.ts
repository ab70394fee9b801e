import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {monitorEventLoop, type LoopStall} from '../mod.js';

/** Monitors an event loop that stalls once, from `at` on. */
async function runStall({at, stallMs, cpuMs}: {readonly at: number; readonly stallMs: number; readonly cpuMs: number}) {
	const time = createVirtualTime();
	const abortController = new AbortController();
	const stalls: LoopStall[] = [];
	const lags: number[] = [];
	let hasStalled = false;
	void monitorEventLoop({
		clock: {
			now: time.now,
			async sleep(durationMs, signal) {
				const isStalling = !hasStalled && time.now() >= at;
				hasStalled ||= isStalling;
				await time.sleep(durationMs + (isStalling ? stallMs : 0), signal);
			},
		},
		onWindow(lag) {
			lags.push(lag);
		},
		onStall(stall) {
			stalls.push(stall);
		},
		readStats: () => ({cpuMs: hasStalled && time.now() > at + stallMs ? cpuMs : 0, connections: 0, requests: hasStalled ? 7 : 0}),
	}, abortController.signal);
	await time.runUntil(at + stallMs + 1000);
	abortController.abort();
	return {stalls, lags};
}

test('a stall is reported with the processor time and the requests during it', async () => {
	const {stalls, lags} = await runStall({at: 5000, stallMs: 3000, cpuMs: 2900});
	expect(stalls).toEqual([{
		lateMs: 3000, cpuMs: 2900, connections: 0, requests: 7, upSeconds: 8,
	}]);
	expect(Math.max(...lags)).toBe(3000);
});

test('a short lag is reported for its window and is not a stall', async () => {
	const {stalls, lags} = await runStall({at: 1000, stallMs: 400, cpuMs: 400});
	expect(stalls).toEqual([]);
	expect(Math.max(...lags)).toBe(400);
});
