import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createBound, joinSignals} from './mod.js';

test('createBound() aborts after its span', async () => {
	const bound = createBound(20);
	await wait(60);
	expect(bound.signal.aborted).toBe(true);
});

test('createBound() aborts with another signal and not after clear()', async () => {
	const other = new AbortController();
	const bound = createBound(10_000, [other.signal]);
	const cleared = createBound(10, [other.signal]);
	cleared.clear();
	other.abort();
	await wait(30);
	expect([bound.signal.aborted, cleared.signal.aborted]).toEqual([true, false]);
	bound.clear();
});

test('joined signals end with the first of them', () => {
	const [first, second] = [new AbortController(), new AbortController()];
	const joined = joinSignals([first.signal, second.signal]);
	second.abort(new Error('silent'));
	expect(joined.signal.aborted).toBe(true);
	expect((joined.signal.reason as Error).message).toBe('silent');
	joined.clear();
});
