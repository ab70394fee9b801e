import {expect, test} from 'vitest';
import {isViewOutdated} from './mod.js';

const drainMs = 3000;

test('a gateway that alone cannot read the store sends no requests after the drain time', () => {
	// Guards against requests to an upstream that left while the link of its gateway was saturated for 5.7 s.
	const peerAgesMs = Array.from({length: 23}, (_, index) => index * 25);
	expect([1000, 2800, 2801, 5700, undefined].map(ownAgeMs => isViewOutdated({ownAgeMs, peerAgesMs, drainMs}))).toEqual([false, false, true, true, true]);
});

test('requests are sent while most gateways cannot read the store', () => {
	// Guards against an outage of the store that stops the whole fleet.
	expect(isViewOutdated({ownAgeMs: 8000, peerAgesMs: [8000, 7900, 8100, 300], drainMs})).toBe(false);
	expect(isViewOutdated({ownAgeMs: 8000, peerAgesMs: [8000, 300], drainMs})).toBe(false);
});

test('requests are sent while no other gateway states the age of its records', () => {
	// Guards against a gateway that is cut off from all others, or whose peers run the earlier version, and stops for no reason.
	expect(isViewOutdated({ownAgeMs: 8000, peerAgesMs: [], drainMs})).toBe(false);
	expect(isViewOutdated({ownAgeMs: 8000, peerAgesMs: [Number.NaN, Number.NaN], drainMs})).toBe(false);
});

test('requests are sent where the settings do not name the drain time', () => {
	expect(isViewOutdated({ownAgeMs: 8000, peerAgesMs: [0, 0], drainMs: undefined})).toBe(false);
});

test('requests are sent by recent records also where upstreams drain for a short time', () => {
	// Guards against a fleet that refuses requests between two reads, because all gateways have records that are older than the drain time.
	expect(isViewOutdated({ownAgeMs: 600, peerAgesMs: [0, 300, 600], drainMs: 500})).toBe(false);
	expect(isViewOutdated({ownAgeMs: 1201, peerAgesMs: [0, 300, 600], drainMs: 500})).toBe(true);
});
