import {expect, test} from 'vitest';
import {createStopWindow} from './stop-window.js';

function createWorld() {
	const world = {now: 1000};
	const window = createStopWindow({notice: 2500, clock: {now: () => world.now, sleep: async () => undefined}});
	return {world, window};
}

test('everything is taken before a stop and in its notice', () => {
	const {world, window} = createWorld();
	expect(window.hasTimeFor(60_000)).toBe(true);
	expect(window.countLeft()).toBe(Number.POSITIVE_INFINITY);
	window.begin(7300);
	world.now += 2499;
	expect(window.hasTimeFor(60_000)).toBe(true);
});

test('after the notice only what ends before the stop is taken, whatever timers do', () => {
	const {world, window} = createWorld();
	window.begin(7300);
	world.now += 2500;
	expect(window.hasTimeFor(60_000)).toBe(false);
	expect(window.hasTimeFor(4800)).toBe(true);
	expect(window.hasTimeFor(4801)).toBe(false);
	world.now += 4800;
	expect(window.hasTimeFor(1)).toBe(false);
});

test('nothing is taken once a stop has finished early', () => {
	const {world, window} = createWorld();
	window.begin(7300);
	world.now += 3000;
	window.finish();
	expect(window.hasTimeFor(100)).toBe(false);
});

test('a stop that has begun is not begun anew', () => {
	const {world, window} = createWorld();
	window.begin(7300);
	world.now += 1000;
	window.begin(7300);
	expect(window.countElapsed()).toBe(1000);
	expect(window.countLeft()).toBe(6300);
});
