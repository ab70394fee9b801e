import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {Clock} from '../transport/mod.js';
import {createAdmission, runLoopWatch, type Admission} from './mod.js';

const usual = {priority: 1, patience: 4000};

/** An admission on an event loop that is late by a settable span. */
function createWorld() {
	const time = createVirtualTime();
	const world = {lag: 0, changes: [] as boolean[]};
	const clock: Clock = {
		now: time.now,
		sleep: async (span, signal) => time.sleep(span + world.lag, signal),
	};
	const stopper = new AbortController();
	const admission = createAdmission({
		findObjective: () => 400, random: () => 0.5,
		onChange({isBounded}) {
			world.changes.push(isBounded);
		},
	});
	void runLoopWatch({clock, onRound: admission.noteLag}, stopper.signal);
	return {
		time, world, admission, stopper,
	};
}

function enterMany(admission: Admission, count: number): Array<() => void> {
	return Array.from({length: count}, () => admission.enter(usual)).flatMap(entered => entered.ok ? [entered.val] : []);
}

test('an event loop in time bounds nothing', async () => {
	const {time, admission, stopper} = createWorld();
	const left = enterMany(admission, 500);
	await time.runUntil(2000);
	expect(left).toHaveLength(500);
	expect(admission.enter(usual).ok).toBe(true);
	stopper.abort();
});

// Guards against a gateway that takes all requests and is late with each: 0.2 of them were served, all past their objective.
test('an event loop that stays late lowers the bound until it is in time', async () => {
	const {time, world, admission, stopper} = createWorld();
	enterMany(admission, 40);
	world.lag = 300;
	await time.runUntil(5000);
	expect(admission.countBound()).toBeLessThan(40);
	expect(admission.countLag()).toBe(300);
	const refused = admission.enter(usual);
	expect(refused.err && refused.val.type).toBe('overloaded');
	expect(refused.err && refused.val.retryAfterMs).toBe(400);
	stopper.abort();
});

test('the bound rises and ends when there is room again', async () => {
	const {time, world, admission, stopper} = createWorld();
	const leaves = enterMany(admission, 40);
	world.lag = 300;
	await time.runUntil(5000);
	world.lag = 0;
	for (const leave of leaves) {
		leave();
	}

	await time.runUntil(20_000);
	expect(admission.countBound()).toBe(Number.POSITIVE_INFINITY);
	expect(world.changes).toEqual([true, false]);
	stopper.abort();
});

// Guards against refusals after a process stood still once, for instance with its host.
test('one pause of the process bounds nothing', async () => {
	const {time, world, admission, stopper} = createWorld();
	enterMany(admission, 40);
	world.lag = 5000;
	await time.runUntil(100);
	world.lag = 0;
	await time.runUntil(12_000);
	expect(world.changes).toEqual([]);
	stopper.abort();
});

test('urgent requests enter where others are refused', async () => {
	const {time, world, admission, stopper} = createWorld();
	enterMany(admission, 40);
	world.lag = 300;
	await time.runUntil(3500);
	expect([0, 2].map(priority => admission.enter({priority, patience: 4000}).ok)).toEqual([admission.countBound() * 1.25 > 40, false]);
	stopper.abort();
});

test('a caller with little patience is told to come back within it', async () => {
	const {time, world, admission, stopper} = createWorld();
	enterMany(admission, 40);
	world.lag = 300;
	await time.runUntil(5000);
	const refused = admission.enter({priority: 1, patience: 600});
	expect(refused.err && refused.val.retryAfterMs).toBe(150);
	stopper.abort();
});

// Guards against a bound that comes seconds late: looks come at long pauses while the event loop is late.
test('a gateway that fills at once is bounded within two seconds', async () => {
	const {time, world, admission, stopper} = createWorld();
	enterMany(admission, 40);
	world.lag = 400;
	await time.runUntil(2000);
	expect(admission.countBound()).toBeLessThan(40);
	stopper.abort();
});
