import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createBound} from './mod.js';

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
