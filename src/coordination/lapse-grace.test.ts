import {expect, test} from 'vitest';
import {createLapseGrace} from './mod.js';

const heartbeat = 1200;

test('a grace ends two seconds after the store was last seen to be away', () => {
	// All callers are refused when the store is back after some seconds: every
	// upstream's entry lapsed, and each is back within two seconds.
	const grace = createLapseGrace({heartbeat});
	grace.noteReturn({from: 0, until: 5000, answeredAt: 5200});
	expect(grace.findEnd(5200)).toBe(7000);
	expect(grace.findEnd(6900)).toBe(7000);
	expect(grace.findEnd(7000)).toBeUndefined();
});

test('a return that is noticed late gets no later end', () => {
	const grace = createLapseGrace({heartbeat});
	grace.noteReturn({from: 0, until: 5000, answeredAt: 6800});
	expect(grace.findEnd(6800)).toBe(7000);
});

test('an absence in which no entry can have lapsed gives no grace', () => {
	// One read fails, by a lost connection or a refusal; the upstream whose
	// removal is read next has left.
	const grace = createLapseGrace({heartbeat});
	grace.noteReturn({from: 0, until: 500, answeredAt: 1700});
	expect(grace.findEnd(1700)).toBeUndefined();
});

test('a short absence after a long one takes no grace away', () => {
	// The store falters as it comes back, while upstreams still return.
	const grace = createLapseGrace({heartbeat});
	grace.noteReturn({from: 0, until: 5000, answeredAt: 5200});
	grace.noteReturn({from: 5200, until: 5700, answeredAt: 5900});
	expect(grace.findEnd(6000)).toBe(7000);
});
