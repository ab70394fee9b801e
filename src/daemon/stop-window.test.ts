import {expect, test} from 'vitest';
import {createStopWindow} from './stop-window.js';

function createFixture() {
	const fakeClock = {now: 1000};
	const window = createStopWindow({noticeMs: 2500, clock: {now: () => fakeClock.now, sleep: async () => undefined}});
	return {fakeClock, window};
}

test('all work is accepted before a stop and during its notice period', () => {
	const {fakeClock, window} = createFixture();
	expect(window.hasTimeFor(60_000)).toBe(true);
	expect(window.computeRemainingMs()).toBe(Number.POSITIVE_INFINITY);
	window.begin(7300);
	fakeClock.now += 2499;
	expect(window.hasTimeFor(60_000)).toBe(true);
});

test('after the notice period only work that ends before the stop is accepted, independent of timers', () => {
	const {fakeClock, window} = createFixture();
	window.begin(7300);
	fakeClock.now += 2500;
	expect(window.hasTimeFor(60_000)).toBe(false);
	expect(window.hasTimeFor(4800)).toBe(true);
	expect(window.hasTimeFor(4801)).toBe(false);
	fakeClock.now += 4800;
	expect(window.hasTimeFor(1)).toBe(false);
});

test('no work is accepted after a stop has finished early', () => {
	const {fakeClock, window} = createFixture();
	window.begin(7300);
	fakeClock.now += 3000;
	window.finish();
	expect(window.hasTimeFor(100)).toBe(false);
});

test('a second call does not restart a stop', () => {
	const {fakeClock, window} = createFixture();
	window.begin(7300);
	fakeClock.now += 1000;
	window.begin(7300);
	expect(window.computeElapsedMs()).toBe(1000);
	expect(window.computeRemainingMs()).toBe(6300);
});
