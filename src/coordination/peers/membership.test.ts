import {expect, test} from 'vitest';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	Err, Ok, createFailure, type EventLog,
} from '../../protocol/mod.js';
import type {HostList} from '../../transport/mod.js';
import {createMembership} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};

/** Creates the membership of a daemon whose only information about peers is the host list. */
function createFixture(hosts: HostList['hosts']) {
	const time = createVirtualTime();
	const abortController = new AbortController();
	let isListUnavailable = false;
	const membership = createMembership({
		self: {
			id: 'entry-1', role: 'entry', incarnation: 'i', isLeaving: false,
		},
		fleet: undefined as never, clock: time, events, seeds: [], listMembers: () => [], getNextOffset: () => 0,
		hostList: {
			fetch: async () => isListUnavailable ? Err(createFailure('internal', 'The host list is unavailable')) : Ok({hosts}),
			close: async () => undefined,
		},
		hostListIntervalMs: 1000, heartbeatIntervalMs: 500, suspectTimeoutMs: 1500,
	});
	void membership.run(abortController.signal);
	return {
		time, membership,
		setListUnavailable(value: boolean) {
			isListUnavailable = value;
		},
		stop() {
			abortController.abort();
		},
	};
}

test('a host list that has been unavailable for long reports no daemon as gone', async () => {
	// Guards against locked customer tokens: peers end an upstream daemon that is
	// only cut off, and the tokens it has not reported count as used. The cause is
	// a host list that was last read before the daemon's host was added and has
	// been unavailable since.
	const {time, membership, setListUnavailable, stop} = createFixture([{id: 'up-1', state: 'live'}]);
	await time.runUntil(2000);
	expect(membership.isMissingFromHostList('up-2')).toBe(true);
	setListUnavailable(true);
	await time.runUntil(5000);
	expect(membership.isMissingFromHostList('up-2')).toBe(true);
	await time.runUntil(60_000);
	expect(membership.isMissingFromHostList('up-2')).toBe(false);
	stop();
});

test('a host list that has been unavailable for long reports no daemon as leaving', async () => {
	// Guards against refused callers although an upstream daemon serves: its host
	// was listed as leaving but stayed, and the host list has been unavailable
	// since.
	const {time, membership, setListUnavailable, stop} = createFixture([{id: 'up-1', state: 'leaving'}]);
	await time.runUntil(2000);
	expect(membership.isLeaving('up-1')).toBe(true);
	setListUnavailable(true);
	await time.runUntil(60_000);
	expect(membership.isLeaving('up-1')).toBe(false);
	stop();
});
