import {expect, test} from 'vitest';
import {createReadDelayEstimator} from './mod.js';

const tickIntervalMs = 50;

/** Simulates an event loop: in each turn timers run first, then connections are polled. */
function createLoop() {
	let now = 0;
	let afterPoll: Array<() => void> = [];
	const readDelay = createReadDelayEstimator({
		clock: {now: () => now, sleep: async () => undefined},
		tickIntervalMs,
		runAfterPoll(callback) {
			afterPoll.push(callback);
		},
	});
	return {
		readDelay,
		advance(durationMs: number) {
			now += durationMs;
		},
		/** Runs one turn, in which `poll` reads what has arrived. */
		runTurn(poll: () => void = () => undefined) {
			readDelay.recordTick();
			poll();
			for (const callback of afterPoll.splice(0)) {
				callback();
			}

			afterPoll = [];
		},
	};
}

test('a request that an idle event loop reads did not wait', () => {
	const {readDelay, advance, runTurn} = createLoop();
	runTurn();
	advance(tickIntervalMs);
	expect(readDelay.estimateMs({})).toBe(0);
});

test('a request that is read after a stall may have waited for the whole stall', () => {
	const {readDelay, advance, runTurn} = createLoop();
	runTurn();
	advance(2000);
	expect(readDelay.estimateMs({})).toBe(2000 - tickIntervalMs);
});

test('a request that is read late in a long turn may have waited since the turn before', () => {
	const {readDelay, advance, runTurn} = createLoop();
	let delayMs = 0;
	runTurn(() => {
		advance(300);
	});
	runTurn(() => {
		advance(200);
		delayMs = readDelay.estimateMs({});
	});
	expect(delayMs).toBe(500 - tickIntervalMs);
});

test('a request that is read in the turn after a stall did not wait for the stall', () => {
	const {readDelay, advance, runTurn} = createLoop();
	runTurn();
	advance(2000);
	runTurn();
	advance(10);
	expect(readDelay.estimateMs({})).toBe(0);
});

test('the first request on a connection that waited to be accepted may have waited as long', () => {
	const {readDelay, advance, runTurn} = createLoop();
	const connection = {};
	let delayMs = 0;
	runTurn();
	advance(2000);
	runTurn(() => {
		readDelay.recordAccept(connection);
		advance(10);
	});
	runTurn(() => {
		delayMs = readDelay.estimateMs(connection);
	});
	expect(delayMs).toBe(2010 - tickIntervalMs);
});

test('a later request on that connection did not wait', () => {
	const {readDelay, advance, runTurn} = createLoop();
	const connection = {};
	runTurn();
	advance(2000);
	readDelay.recordAccept(connection);
	readDelay.estimateMs(connection);
	runTurn();
	expect(readDelay.estimateMs(connection)).toBe(0);
});

test('the first request on a connection that was idle did not wait as long as the connection', () => {
	const {readDelay, advance, runTurn} = createLoop();
	const connection = {};
	runTurn();
	advance(2000);
	readDelay.recordAccept(connection);
	runTurn();
	advance(tickIntervalMs);
	runTurn();
	expect(readDelay.estimateMs(connection)).toBe(0);
});
