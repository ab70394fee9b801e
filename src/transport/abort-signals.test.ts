import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createTimeoutSignal, joinSignals} from './mod.js';

test('createTimeoutSignal() aborts after its timeout', async () => {
	const timeout = createTimeoutSignal(20);
	await wait(60);
	expect(timeout.signal.aborted).toBe(true);
});

test('createTimeoutSignal() aborts with another signal and not after clear()', async () => {
	const other = new AbortController();
	const timeout = createTimeoutSignal(10_000, [other.signal]);
	const cleared = createTimeoutSignal(10, [other.signal]);
	cleared.clear();
	other.abort();
	await wait(30);
	expect([timeout.signal.aborted, cleared.signal.aborted]).toEqual([true, false]);
	timeout.clear();
});

test('joinSignals() aborts with the first signal and its reason', () => {
	const [first, second] = [new AbortController(), new AbortController()];
	const joined = joinSignals([first.signal, second.signal]);
	second.abort(new Error('silent'));
	expect(joined.signal.aborted).toBe(true);
	expect((joined.signal.reason as Error).message).toBe('silent');
	joined.clear();
});
