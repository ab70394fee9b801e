import {expect, test} from 'vitest';
import type {PeerView} from '../state/mod.js';
import {createReturnForecast} from './return-forecast.js';

function createWorld() {
	const world = {now: 1000};
	const forecast = createReturnForecast({clock: {now: () => world.now, sleep: async () => undefined}, findStopSpan: () => 7300});
	return {world, forecast};
}

function buildView(daemon: string, {isLeaving, incarnation = 'i-1'}: {readonly isLeaving: boolean; readonly incarnation?: string}): PeerView {
	return {
		daemon, incarnation, address: daemon, free: [], uses: [], version: 1, isLeaving, crashes: [],
	};
}

test('a caller may come back at once while another gateway takes requests', () => {
	const {forecast} = createWorld();
	const views = [buildView('a', {isLeaving: true}), buildView('b', {isLeaving: false})];
	for (const view of views) {
		forecast.note(view);
	}

	expect(forecast.estimate(views, {ownLeft: 4000})).toBe(100);
});

test('a caller is sent back when the gateway that stopped first serves again', () => {
	// All gateways are replaced within seconds. A caller who is told to come back
	// in a second finds them all stopping still, and does not come a third time.
	const {world, forecast} = createWorld();
	const views = [buildView('a', {isLeaving: true}), buildView('b', {isLeaving: true})];
	forecast.note(views[0]!);
	world.now += 2000;
	forecast.note(views[1]!);
	world.now += 3000;
	forecast.note(views[0]!);
	expect(forecast.estimate(views, {ownLeft: 6000})).toBe(7300 - 5000 + 1200);
});

test('a gateway that stopped and answers no more is about to serve', () => {
	const {world, forecast} = createWorld();
	const views = [buildView('a', {isLeaving: true}), buildView('b', {isLeaving: true})];
	for (const view of views) {
		forecast.note(view);
	}

	world.now += 3000;
	expect(forecast.estimate([views[1]!], {ownLeft: 6000})).toBe(1200);
});

test('a gateway that was taken away is not waited for', () => {
	const {world, forecast} = createWorld();
	forecast.note(buildView('a', {isLeaving: true}));
	world.now += 10_000;
	expect(forecast.estimate([], {ownLeft: 5000})).toBe(6200);
});

test('alone, a gateway serves again after its own stop', () => {
	const {forecast} = createWorld();
	expect(forecast.estimate([], {ownLeft: 4000})).toBe(5200);
});
