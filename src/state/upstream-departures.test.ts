import {expect, test} from 'vitest';
import {createUpstreamDepartures} from './upstream-departures.js';

test('leaving is final for a start of an upstream', () => {
	const departures = createUpstreamDepartures();
	expect(departures.isLeaving({id: 'u1', startedAt: 1000})).toBe(false);
	expect(departures.record({id: 'u1', startedAt: 1000})).toBe(true);
	expect(departures.record({id: 'u1', startedAt: 1000})).toBe(false);
	expect(departures.isLeaving({id: 'u1', startedAt: 1000})).toBe(true);
	expect(departures.isLeaving({id: 'u2', startedAt: 1000})).toBe(false);
});

test('an upstream that starts again does not leave, whatever an answer of its earlier start says', () => {
	// Guards against an upstream that is never used again because a late answer is taken for one of its new process.
	const departures = createUpstreamDepartures();
	departures.record({id: 'u1', startedAt: 1000});
	expect(departures.isLeaving({id: 'u1', startedAt: 2000})).toBe(false);
	expect(departures.record({id: 'u1', startedAt: 1000})).toBe(false);
	expect(departures.isLeaving({id: 'u1', startedAt: 2000})).toBe(false);
	expect(departures.record({id: 'u1', startedAt: 2000})).toBe(true);
	departures.record({id: 'u1', startedAt: 1000});
	expect(departures.isLeaving({id: 'u1', startedAt: 2000})).toBe(true);
});

test('an upstream that does not state when it started stays among those that leave', () => {
	const departures = createUpstreamDepartures();
	departures.record({id: 'u1', startedAt: undefined});
	expect(departures.isLeaving({id: 'u1', startedAt: 2000})).toBe(true);
	departures.record({id: 'u2', startedAt: 1000});
	expect(departures.isLeaving({id: 'u2', startedAt: undefined})).toBe(true);
});

test('the upstreams recorded first are forgotten first', () => {
	const departures = createUpstreamDepartures();
	for (let index = 0; index <= 1000; index += 1) {
		departures.record({id: `u${index}`, startedAt: undefined});
	}

	expect(departures.count()).toBe(1000);
	expect(departures.isLeaving({id: 'u0', startedAt: undefined})).toBe(false);
	expect(departures.isLeaving({id: 'u1', startedAt: undefined})).toBe(true);
});
