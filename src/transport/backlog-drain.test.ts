import {expect, test} from 'vitest';
import {createBacklogDrain} from './backlog-drain.js';

function createFixture() {
	const state = {now: 0, shouldDrain: false};
	const later: Array<() => void> = [];
	const drain = createBacklogDrain({
		clock: {now: () => state.now},
		shouldDrain: () => state.shouldDrain,
		runLater(callback) {
			later.push(callback);
		},
	});
	return {
		state, drain,
		/** Runs one iteration of the event loop. */
		iterate(): void {
			for (const callback of later.splice(0)) {
				callback();
			}
		},
	};
}

test('no connection is closed before one was abandoned', () => {
	const {drain} = createFixture();
	expect(drain.shouldClose()).toBe(false);
});

// Guards against a server that handles connections only when their callers have left.
test('connections are closed until an iteration of the event loop brings none', () => {
	const {drain, iterate} = createFixture();
	drain.begin();
	for (let iteration = 0; iteration < 10; iteration += 1) {
		expect(drain.shouldClose()).toBe(true);
		iterate();
	}

	iterate();
	iterate();
	iterate();
	expect(drain.shouldClose()).toBe(false);
});

test('a drain ends after 250 ms', () => {
	const {state, drain, iterate} = createFixture();
	drain.begin();
	for (state.now = 0; state.now <= 300; state.now += 10) {
		drain.shouldClose();
		iterate();
	}

	expect(drain.shouldClose()).toBe(false);
});

// Guards against callers who are all accepted just before they leave, and answered just after.
test('a drain begins after half a second without an empty backlog, and at most every half a second', () => {
	const {state, drain, iterate} = createFixture();
	const closed: number[] = [];
	state.shouldDrain = true;
	for (state.now = 0; state.now < 1500; state.now += 10) {
		if (drain.shouldClose()) {
			closed.push(state.now);
		}

		iterate();
	}

	expect(closed[0]).toBe(500);
	expect(closed.filter(at => at < 1000)).toHaveLength(25);
	expect(closed.find(at => at >= 750)).toBe(1250);
});

test('connections that come seldom enough are not closed', () => {
	const {state, drain, iterate} = createFixture();
	state.shouldDrain = true;
	for (state.now = 0; state.now < 3000; state.now += 10) {
		expect(drain.shouldClose()).toBe(false);
		for (let iteration = 0; iteration < 4; iteration += 1) {
			iterate();
		}
	}
});

// Guards against a gateway that says ready and reads only connections whose callers have left, for seconds.
test('connections are closed after three in a row whose callers had left, though the event loop does not lag', () => {
	const {drain} = createFixture();
	for (const hasCallerLeft of [true, true, false, true, true]) {
		drain.recordAccepted({hasCallerLeft});
		expect(drain.shouldClose()).toBe(false);
	}

	drain.recordAccepted({hasCallerLeft: true});
	expect(drain.shouldClose()).toBe(true);
});

test('a drain begins again with the next connection whose caller had left, and not after one whose caller waits', () => {
	const {state, drain} = createFixture();
	for (let connection = 0; connection < 3; connection += 1) {
		drain.recordAccepted({hasCallerLeft: true});
	}

	state.now = 200;
	expect(drain.shouldClose()).toBe(true);
	state.now = 600;
	expect(drain.shouldClose()).toBe(false);
	drain.recordAccepted({hasCallerLeft: true});
	expect(drain.shouldClose()).toBe(true);
	state.now = 1000;
	expect(drain.shouldClose()).toBe(false);
	drain.recordAccepted({hasCallerLeft: false});
	drain.recordAccepted({hasCallerLeft: true});
	expect(drain.shouldClose()).toBe(false);
});
