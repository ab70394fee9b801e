import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import {runLoopWatch, type LoopStall} from './mod.js';

/** Runs a watch on an event loop that stands still once, from `at` on. */
async function playStall({at, span, cpuMs}: {readonly at: number; readonly span: number; readonly cpuMs: number}) {
	const time = createVirtualTime();
	const stopper = new AbortController();
	const stalls: LoopStall[] = [];
	const lags: number[] = [];
	let hasStalled = false;
	void runLoopWatch({
		clock: {
			now: time.now,
			async sleep(pause, signal) {
				const isStalling = !hasStalled && time.now() >= at;
				hasStalled ||= isStalling;
				await time.sleep(pause + (isStalling ? span : 0), signal);
			},
		},
		onRound(lag) {
			lags.push(lag);
		},
		onStall(stall) {
			stalls.push(stall);
		},
		readWork: () => ({cpuMs: hasStalled && time.now() > at + span ? cpuMs : 0, connections: 0, requests: hasStalled ? 7 : 0}),
	}, stopper.signal);
	await time.runUntil(at + span + 1000);
	stopper.abort();
	return {stalls, lags};
}

test('a stall is told with the processor time and the work in it', async () => {
	const {stalls, lags} = await playStall({at: 5000, span: 3000, cpuMs: 2900});
	expect(stalls).toEqual([{
		lateMs: 3000, cpuMs: 2900, connections: 0, requests: 7, upSeconds: 8,
	}]);
	expect(Math.max(...lags)).toBe(3000);
});

test('a loop that is only late is told by round and is no stall', async () => {
	const {stalls, lags} = await playStall({at: 1000, span: 400, cpuMs: 400});
	expect(stalls).toEqual([]);
	expect(Math.max(...lags)).toBe(400);
});
