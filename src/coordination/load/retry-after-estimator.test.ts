import {expect, test} from 'vitest';
import type {PeerView} from '../../state/mod.js';
import {createRetryAfterEstimator} from './retry-after-estimator.js';

function createFixture() {
	const state = {now: 1000};
	const forecast = createRetryAfterEstimator({clock: {now: () => state.now, sleep: async () => undefined}, findMaxStopMs: () => 7300});
	return {state, forecast};
}

function buildView(daemon: string, {isLeaving, incarnation = 'i-1'}: {readonly isLeaving: boolean; readonly incarnation?: string}): PeerView {
	return {
		daemon, incarnation, address: daemon, free: [], uses: [], version: 1, isLeaving, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
}

test('a caller may retry after 100 ms while another gateway accepts requests', () => {
	const {forecast} = createFixture();
	const views = [buildView('a', {isLeaving: true}), buildView('b', {isLeaving: false})];
	for (const view of views) {
		forecast.recordView(view);
	}

	expect(forecast.estimate(views, {ownRemainingMs: 4000})).toBe(100);
});

test('the retry-after time ends when the gateway that stopped first serves again', () => {
	// Guards against a retry that comes too early while all gateways are replaced
	// within seconds: after one second all are still stopping, and the caller does
	// not retry a second time.
	const {state, forecast} = createFixture();
	const views = [buildView('a', {isLeaving: true}), buildView('b', {isLeaving: true})];
	forecast.recordView(views[0]!);
	state.now += 2000;
	forecast.recordView(views[1]!);
	state.now += 3000;
	forecast.recordView(views[0]!);
	expect(forecast.estimate(views, {ownRemainingMs: 6000})).toBe(7300 - 5000 + 1200);
});

test('a stopping gateway that no longer answers is expected to serve after a restart', () => {
	const {state, forecast} = createFixture();
	const views = [buildView('a', {isLeaving: true}), buildView('b', {isLeaving: true})];
	for (const view of views) {
		forecast.recordView(view);
	}

	state.now += 3000;
	expect(forecast.estimate([views[1]!], {ownRemainingMs: 6000})).toBe(1200);
});

test('a gateway that was removed is not waited for', () => {
	const {state, forecast} = createFixture();
	forecast.recordView(buildView('a', {isLeaving: true}));
	state.now += 10_000;
	expect(forecast.estimate([], {ownRemainingMs: 5000})).toBe(6200);
});

test('a gateway without peers serves again after its own stop', () => {
	const {forecast} = createFixture();
	expect(forecast.estimate([], {ownRemainingMs: 4000})).toBe(5200);
});
