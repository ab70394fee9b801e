import {expect, test} from 'vitest';
import type {UpstreamEntry} from '../protocol/mod.js';
import type {ProbeVerdict} from '../transport/mod.js';
import {createCrashWatch} from './mod.js';

const upstream: UpstreamEntry = {
	id: 'u1', service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0,
};

function createWorld(verdict: ProbeVerdict, isExpected = true) {
	const world = {probes: 0, isExpected};
	const watch = createCrashWatch({
		isExpected: () => world.isExpected,
		async probe() {
			world.probes += 1;
			return verdict;
		},
	});
	return {world, watch};
}

test('an upstream that refuses connections after a break has crashed', async () => {
	const {world, watch} = createWorld('refused');
	expect(await Promise.all([watch.hasCrashed(upstream), watch.hasCrashed(upstream)])).toEqual([true, true]);
	expect(await watch.hasCrashed(upstream)).toBe(true);
	expect(world.probes).toBe(1);
});

// Guards against a suspicion of each request whose connection something in between has reset.
test('a reset of one connection is no crash', async () => {
	expect(await createWorld('open').watch.hasCrashed(upstream)).toBe(false);
});

// Guards against a partition that is taken for a crash.
test('silence is no crash', async () => {
	expect(await createWorld('silent').watch.hasCrashed(upstream)).toBe(false);
});

// Guards against a suspicion of long requests that were cut as their upstream was released.
test('the end of an upstream that was leaving is no crash, and is not asked for', async () => {
	const {world, watch} = createWorld('refused', false);
	expect(await watch.hasCrashed(upstream)).toBe(false);
	expect(world.probes).toBe(0);
});
