import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import {
	Err, Ok, createFailure, type EventLog,
} from '../protocol/mod.js';
import type {HostList} from '../transport/mod.js';
import {createMembership} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

/** A daemon that knows its peers from a host list alone. */
function createWorld(hosts: HostList['hosts']) {
	const time = createVirtualTime();
	const stopper = new AbortController();
	let isListAway = false;
	const membership = createMembership({
		self: {
			id: 'entry-1', role: 'entry', incarnation: 'i', isLeaving: false,
		},
		fleet: undefined as never, clock: time, events, seeds: [], listMembers: () => [], countNext: () => 0,
		hostList: {
			fetch: async () => isListAway ? Err(createFailure('internal', 'The host list is away')) : Ok({hosts}),
			close: async () => undefined,
		},
		hostListEvery: 1000, heartbeatEvery: 500, suspectAfter: 1500,
	});
	void membership.run(stopper.signal);
	return {
		time, membership,
		setListAway(value: boolean) {
			isListAway = value;
		},
		stop() {
			stopper.abort();
		},
	};
}

test('a host list that has been away for long says of nobody that it is gone', async () => {
	// A customer's tokens are locked: an upstream daemon that is only cut off is
	// ended by its peers, and what it had not reported counts as used. The host
	// list was last read before that daemon's host was there, and is away since.
	const {time, membership, setListAway, stop} = createWorld([{id: 'up-1', state: 'live'}]);
	await time.runUntil(2000);
	expect(membership.isGone('up-2')).toBe(true);
	setListAway(true);
	await time.runUntil(5000);
	expect(membership.isGone('up-2')).toBe(true);
	await time.runUntil(60_000);
	expect(membership.isGone('up-2')).toBe(false);
	stop();
});

test('a host list that has been away for long says of nobody that it is leaving', async () => {
	// Callers are refused though an upstream daemon serves: its host was to leave,
	// stayed, and the host list has been away since it said so.
	const {time, membership, setListAway, stop} = createWorld([{id: 'up-1', state: 'leaving'}]);
	await time.runUntil(2000);
	expect(membership.isLeaving('up-1')).toBe(true);
	setListAway(true);
	await time.runUntil(60_000);
	expect(membership.isLeaving('up-1')).toBe(false);
	stop();
});
