import {expect, test} from 'vitest';
import {createClaimDuration} from './claim-duration.js';

function createDuration() {
	const state = {nowMs: 0};
	return {state, duration: createClaimDuration({now: () => state.nowMs, sleep: async () => undefined})};
}

// Guards against grants that stay large, and are therefore claimed rarely, long after the store was slow.
test('a slow claim is forgotten within seconds, however few claims follow', () => {
	const {state, duration} = createDuration();
	duration.record(2000);
	state.nowMs = 500;
	duration.record(40);
	state.nowMs = 7000;
	expect(duration.getMs()).toBe(40);
});

test('the last claim counts until the next one, however slow it was', () => {
	const {state, duration} = createDuration();
	duration.record(2000);
	state.nowMs = 10_000;
	expect(duration.getMs()).toBe(2000);
	duration.record(10);
	expect(duration.getMs()).toBe(10);
});

test('a fast claim does not replace a slow one of the last second', () => {
	const {state, duration} = createDuration();
	duration.record(800);
	state.nowMs = 500;
	duration.record(10);
	expect(duration.getMs()).toBeGreaterThan(600);
});

test('many fast claims in a moment do not replace a slow one', () => {
	const {duration} = createDuration();
	duration.record(800);
	for (let claim = 0; claim < 50; claim += 1) {
		duration.record(10);
	}

	expect(duration.getMs()).toBe(800);
});
