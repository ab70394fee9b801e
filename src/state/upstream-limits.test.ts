import {expect, test} from 'vitest';
import {createUpstreamLimits} from './mod.js';

function createLimited() {
	const limits = createUpstreamLimits();
	limits.recordNamed('u', {requestsPerSecond: 2, now: 1000});
	return limits;
}

test('a limit is new once and again when its value changes', () => {
	const limits = createUpstreamLimits();
	expect([2, 2, 1].map((requestsPerSecond, index) => limits.recordNamed('u', {requestsPerSecond, now: index}))).toEqual([true, false, true]);
	expect(limits.findInForce('u')).toEqual({requestsPerSecond: 1, confirmedAt: 2});
	expect(limits.count()).toBe(1);
});

test('the answer to a request that was sent before the limit was named does not end it', () => {
	// Guards against a burst at an upstream in need after an answer that was delayed.
	const limits = createLimited();
	expect(limits.recordUnnamed('u', 900)).toBe(false);
	expect(limits.findInForce('u')?.requestsPerSecond).toBe(2);
	expect(limits.recordUnnamed('u', 1100)).toBe(true);
	expect(limits.findInForce('u')).toBeUndefined();
});

test('an announced end counts only if it is newer than the limit, whatever its delay', () => {
	const limits = createLimited();
	const end = {upstream: 'u', requestsPerSecond: undefined};
	expect(limits.merge({...end, ageMs: 0}, 2500)).toBe(false);
	expect(limits.merge({...end, ageMs: 0}, 3500)).toBe(true);
	expect(limits.findInForce('u')).toBeUndefined();
});

test('an announced limit that was delayed does not come back after its end', () => {
	const limits = createLimited();
	limits.recordUnnamed('u', 1500);
	expect(limits.merge({upstream: 'u', requestsPerSecond: 2, ageMs: 100}, 2000)).toBe(false);
	expect(limits.merge({upstream: 'u', requestsPerSecond: 2, ageMs: 0}, 3600)).toBe(true);
});

test('only what this gateway has seen itself is announced, with its age', () => {
	// Guards against announcements that circulate between gateways for good.
	const limits = createUpstreamLimits();
	limits.merge({upstream: 'v', requestsPerSecond: 3, ageMs: 0}, 1000);
	limits.recordNamed('u', {requestsPerSecond: 2, now: 1000});
	expect(limits.listAnnouncements(1500)).toEqual([{upstream: 'u', requestsPerSecond: 2, ageMs: 500}]);
	expect(limits.listAnnouncements(11_500)).toEqual([]);
});

test('an upstream without a limit, and one that is no longer registered, are not kept', () => {
	const limits = createLimited();
	limits.recordUnnamed('v', 1000);
	expect(limits.listAnnouncements(1000).map(({upstream}) => upstream)).toEqual(['u']);
	limits.prune(() => false);
	expect(limits.count()).toBe(0);
	expect(limits.listAnnouncements(1000)).toEqual([]);
});
