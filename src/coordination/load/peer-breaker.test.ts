import {expect, test} from 'vitest';
import {createPeerBreaker} from '../mod.js';

const address = '10.0.0.2:7341';

function createFixture() {
	const state = {now: 0, heardAt: undefined as number | undefined};
	const unresponsive: string[] = [];
	const breaker = createPeerBreaker({
		clock: {now: () => state.now},
		findHeardAt: () => state.heardAt,
		onUnresponsive(name) {
			unresponsive.push(name);
		},
	});
	return {state, breaker, unresponsive};
}

test('a gateway is selected until it does not accept a connection, and again once it has accepted one', () => {
	const {state, breaker} = createFixture();
	expect(breaker.canSelect(address)).toBe(true);
	breaker.recordFailure({address, isTimeout: false});
	expect(breaker.canSelect(address)).toBe(false);
	expect(breaker.hasFailed(address)).toBe(true);
	state.now = 500;
	expect(breaker.canSelect(address)).toBe(true);
	breaker.recordSelected(address);
	expect(breaker.canSelect(address)).toBe(false);
	breaker.recordAccepted(address);
	expect(breaker.canSelect(address)).toBe(true);
	expect(breaker.hasFailed(address)).toBe(false);
});

// Guards against a gateway that is never tried again because the caller of its probe left.
test('a probe without a result is followed by another one', () => {
	const {state, breaker} = createFixture();
	breaker.recordFailure({address, isTimeout: true});
	state.now = 500;
	breaker.recordSelected(address);
	state.now = 1000;
	expect(breaker.canSelect(address)).toBe(true);
});

// Guards against a gateway that counts as unresponsive after a single pause, in which many connections were opened.
test('failures of connections that were opened beside each other count once', () => {
	const {state, breaker, unresponsive} = createFixture();
	for (let count = 0; count < 10; count += 1) {
		breaker.recordFailure({address, isTimeout: true});
	}

	state.now = 500;
	expect(breaker.canSelect(address)).toBe(true);
	expect(unresponsive).toEqual([]);
});

test('a gateway is unresponsive after two timeouts in a row, and tried at longer intervals', () => {
	const {state, breaker, unresponsive} = createFixture();
	const intervals: number[] = [];
	for (let count = 0; count < 6; count += 1) {
		const failedAt = state.now;
		breaker.recordFailure({address, isTimeout: true});
		while (!breaker.canSelect(address)) {
			state.now += 100;
		}

		intervals.push(state.now - failedAt);
		breaker.recordSelected(address);
	}

	expect(intervals).toEqual([500, 1000, 2000, 4000, 4000, 4000]);
	expect(unresponsive).toEqual([address]);
});

// Guards against requests that are cut at a gateway that runs and only has no room.
test('a gateway that refuses connections is not unresponsive', () => {
	const {state, breaker, unresponsive} = createFixture();
	for (const isTimeout of [true, false, true]) {
		breaker.recordFailure({address, isTimeout});
		state.now += 10_000;
		breaker.recordSelected(address);
	}

	expect(unresponsive).toEqual([]);
});

test('a gateway that does not accept connections in time but is heard from is not unresponsive until it is silent', () => {
	// Guards against running requests that are cut at a gateway whose event loop is busy, in the hope that another one answers them.
	const {state, breaker, unresponsive} = createFixture();
	for (let count = 0; count < 3; count += 1) {
		breaker.recordFailure({address, isTimeout: true});
		state.heardAt = state.now + 600;
		state.now += 10_000;
		breaker.recordSelected(address);
	}

	expect(unresponsive).toEqual([]);
	breaker.recordFailure({address, isTimeout: true});
	expect(unresponsive).toEqual([]);
	state.now += 10_000;
	breaker.recordSelected(address);
	breaker.recordFailure({address, isTimeout: true});
	expect(unresponsive).toEqual([address]);
});
