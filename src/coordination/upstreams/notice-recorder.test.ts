import {expect, test} from 'vitest';
import {createUpstreamDepartures, createUpstreamRests} from '../../state/mod.js';
import {createNoticeRecorder, type UpstreamNotice} from './notice-recorder.js';

function createFixture() {
	const written: string[] = [];
	const departures = createUpstreamDepartures();
	const rests = createUpstreamRests();
	const recorder = createNoticeRecorder({
		departures,
		rests,
		clock: {now: () => 0, sleep: async () => undefined},
		events: {
			counts: new Map(),
			write(name) {
				written.push(name);
			},
		},
	});
	return {
		departures, rests, written,
		record(notice: UpstreamNotice, id = 'u1') {
			recorder.recordAnswer({id, startedAt: 1000}, notice);
		},
	};
}

test('an upstream that says that it leaves is logged once, and an answer that does not say so changes nothing', () => {
	const {departures, written, record} = createFixture();
	record({});
	record({isLeaving: false});
	expect(departures.isLeaving({id: 'u1', startedAt: 1000})).toBe(false);
	record({isLeaving: true});
	record({isLeaving: true});
	record({isLeaving: false});
	record({});
	expect(departures.isLeaving({id: 'u1', startedAt: 1000})).toBe(true);
	expect(written).toEqual(['upstreamLeaving']);
});

test('an unreadable notice is logged once for each upstream', () => {
	const {departures, written, record} = createFixture();
	record({isLeaving: 'malformed'});
	record({isLeaving: 'malformed'});
	record({isLeaving: 'malformed'}, 'u2');
	expect(departures.count()).toBe(0);
	expect(written).toEqual(['upstreamNoticeUnreadable', 'upstreamNoticeUnreadable']);
});

test('a rest is logged when it begins', () => {
	const {rests, written, record} = createFixture();
	record({restMs: 3000});
	record({restMs: 2000});
	expect(rests.computeWaitMs({id: 'u1', startedAt: 1000}, 0)).toBe(3000);
	record({restMs: 'malformed'}, 'u2');
	expect(written).toEqual(['upstreamResting', 'upstreamNoticeUnreadable']);
});
