import {expect, test} from 'vitest';
import type {UpstreamRegistration} from '../../protocol/mod.js';
import type {ProbeResult} from '../../transport/mod.js';
import {createCrashDetector} from '../mod.js';

const upstream: UpstreamRegistration = {
	id: 'u1', service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0,
};

const startedUpstream: UpstreamRegistration = {...upstream, startedAt: 1000};

function createFixture(verdict: ProbeResult, isExpected = true) {
	const state = {probes: 0, isExpected, verdict};
	const detector = createCrashDetector({
		isExpectedUp: () => state.isExpected,
		async probe() {
			state.probes += 1;
			return state.verdict;
		},
	});
	return {state, detector};
}

test('an upstream that refuses connections after a lost connection has crashed', async () => {
	const {state, detector} = createFixture('refused');
	expect(await Promise.all([detector.hasCrashed(startedUpstream), detector.hasCrashed(startedUpstream)])).toEqual([true, true]);
	expect(await detector.hasCrashed(startedUpstream)).toBe(true);
	expect(state.probes).toBe(1);
});

// Guards against holding requests because an earlier process of their upstream crashed.
test('a crash of one start is not remembered for the next start under the same ID', async () => {
	const {state, detector} = createFixture('refused');
	expect(await detector.hasCrashed(startedUpstream)).toBe(true);
	state.verdict = 'open';
	expect(await detector.hasCrashed({...startedUpstream, startedAt: 2000})).toBe(false);
	expect(state.probes).toBe(2);
	expect(await detector.hasCrashed(startedUpstream)).toBe(true);
});

// Guards against holding requests after a restart that the registration does not show.
test('an upstream that names no start is probed at each lost connection', async () => {
	const {state, detector} = createFixture('refused');
	expect(await Promise.all([detector.hasCrashed(upstream), detector.hasCrashed(upstream)])).toEqual([true, true]);
	expect(state.probes).toBe(1);
	state.verdict = 'open';
	expect(await detector.hasCrashed(upstream)).toBe(false);
	expect(state.probes).toBe(2);
});

// Guards against answering for a new process with the probe of the process before it.
test('starts under the same ID share no probe', async () => {
	const {state, detector} = createFixture('refused');
	await Promise.all([detector.hasCrashed(startedUpstream), detector.hasCrashed({...startedUpstream, startedAt: 2000})]);
	expect(state.probes).toBe(2);
});

// Guards against suspecting each request whose connection a network device has reset.
test('a connection reset is not a crash', async () => {
	expect(await createFixture('open').detector.hasCrashed(upstream)).toBe(false);
});

// Guards against taking a network partition for a crash.
test('an unanswered probe is not a crash', async () => {
	expect(await createFixture('silent').detector.hasCrashed(upstream)).toBe(false);
});

// Guards against suspecting long requests that were interrupted because their upstream was released.
test('the end of a leaving upstream is not a crash and is not probed', async () => {
	const {state, detector} = createFixture('refused', false);
	expect(await detector.hasCrashed(upstream)).toBe(false);
	expect(state.probes).toBe(0);
});
