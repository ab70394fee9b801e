import {expect, test} from 'vitest';
import {findWaitingSince, type ConnectionActivity} from './connection-eviction.js';

const now = 10_000;
const served: ConnectionActivity = {
	idleSince: undefined, receivedAt: 4000, isComplete: true, isAnswered: false, unreadSince: undefined,
};

// Guards against callers who are shut out by connections that wait for others.
test('a connection waits for its caller while it is idle or its request or answer is unfinished', () => {
	expect(findWaitingSince({...served, idleSince: 9999}, now)).toBe(9999);
	expect(findWaitingSince({...served, isComplete: false}, now)).toBe(4000);
	expect(findWaitingSince({...served, isAnswered: true, unreadSince: 8000}, now)).toBe(8000);
});

// Guards against closing connections of callers who are served or have only begun to send or read.
test('a connection that is served, or whose caller had little time, is not closed', () => {
	expect(findWaitingSince(served, now)).toBeUndefined();
	expect(findWaitingSince({...served, unreadSince: 5000}, now)).toBeUndefined();
	expect(findWaitingSince({...served, isAnswered: true}, now)).toBeUndefined();
	expect(findWaitingSince({...served, isAnswered: true, unreadSince: 9500}, now)).toBeUndefined();
	expect(findWaitingSince({...served, isComplete: false, receivedAt: 9500}, now)).toBeUndefined();
});
