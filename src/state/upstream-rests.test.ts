import {expect, test} from 'vitest';
import {createUpstreamRests} from './upstream-rests.js';

const start = {id: 'u1', startedAt: 1000};

/** Sends whenever that is allowed, and returns the times. */
function listSends(rests: ReturnType<typeof createUpstreamRests>, {from, until}: {readonly from: number; readonly until: number}): number[] {
	const sends: number[] = [];
	for (let now = from; now < until; now += 10) {
		if (rests.computeWaitMs(start, now) === 0) {
			rests.recordSend(start, now);
			sends.push(now);
		}
	}

	return sends;
}

test('an upstream gets nothing while it rests, and one request at a time after it', () => {
	const rests = createUpstreamRests();
	expect(rests.record(start, {durationMs: 3000, now: 0})).toBe(true);
	const sends = listSends(rests, {from: 0, until: 5000});
	expect(sends[0]).toBe(3000);
	expect(sends.filter(at => at < 3500).length).toBe(5);
	expect(sends.filter(at => at >= 4000).length).toBe(100);
	rests.prune(5000);
	expect(rests.count(0)).toBe(0);
});

test('the longest rest holds, whatever the order of the answers', () => {
	// Guards against the refusal of a request that was sent earlier ending a rest.
	const rests = createUpstreamRests();
	rests.record(start, {durationMs: 3000, now: 0});
	expect(rests.record(start, {durationMs: 1000, now: 100})).toBe(false);
	expect(rests.computeWaitMs(start, 1200)).toBe(1800);
});

test('an upstream that starts again does not rest, and a rest is not taken from it', () => {
	const rests = createUpstreamRests();
	rests.record(start, {durationMs: 3000, now: 0});
	expect(rests.computeWaitMs({...start, startedAt: 2000}, 100)).toBe(0);
	expect(rests.computeWaitMs({...start, startedAt: undefined}, 100)).toBe(2900);
	expect(rests.computeWaitMs({id: 'u2', startedAt: 1000}, 100)).toBe(0);
	// A late answer of the earlier process does not concern the later one.
	rests.record({...start, startedAt: 2000}, {durationMs: 500, now: 200});
	expect(rests.record(start, {durationMs: 9000, now: 300})).toBe(false);
	expect(rests.computeWaitMs({...start, startedAt: 2000}, 300)).toBe(400);
});

test('a rest of no time holds back nothing for longer than its warm-up', () => {
	const rests = createUpstreamRests();
	rests.record(start, {durationMs: 0, now: 0});
	expect(rests.computeWaitMs(start, 0)).toBe(0);
	expect(rests.computeWaitMs(start, 1000)).toBe(0);
	expect(rests.count(0)).toBe(0);
});
