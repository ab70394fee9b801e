import {create, toBinary} from '@bufbuild/protobuf';
import {expect, test} from 'vitest';
import {PeerStateSchema} from '../../protocol/mod.js';
import {createCrashRegistry, createPartCrashRegistry, type PeerView} from '../../state/mod.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	LoggedParts, LoggedRequests, decodeEntry, encodeEntry,
} from '../mod.js';

const id = {daemon: 'g1', incarnation: 'i', sequence: 1};
const view: PeerView = {
	daemon: 'g1', incarnation: 'i', address: 'g1:1', version: 3, isLeaving: false, hasRoom: true, free: [], uses: [], crashes: [], domains: [], limits: [],
	parts: [{
		digest: 'd', round: 2, trials: 1, crashes: [{upstream: 4_294_967_295, ageMs: 1500}, {upstream: 0, ageMs: 0}],
	}],
};

test('the records of parts arrive as they were sent', () => {
	const decoded = decodeEntry(encodeEntry(view, {sequence: 1, shouldIncludeFreeTokens: true}), undefined);
	expect(decoded.unwrap()).toEqual(view);
});

// Guards against misreading what a gateway of an earlier version sends.
test('the entry of a gateway that does not know parts has none, and no room', () => {
	const state = toBinary(PeerStateSchema, create(PeerStateSchema, {address: 'g1:1', version: 3}));
	expect(decodeEntry({...id, state}, undefined).unwrap()).toMatchObject({parts: [], hasRoom: false, version: 3});
});

// Guards against a log that gateways of an earlier version cannot read: they take the record of a part for that of a request.
test('the record of a part in the log is readable as that of a request which nobody sends', () => {
	const registry = createPartCrashRegistry();
	registry.recordCrash('d', {upstream: 1, now: 0});
	const quarantine = {merge: () => undefined, isBlamed: () => true, isTrialDue: () => false};
	const value = new LoggedParts(registry, quarantine, createVirtualTime()).encode('d');
	const merged: unknown[] = [];
	const requests = new LoggedRequests(createCrashRegistry(), {
		merge(record) {
			merged.push(record);
		},
	});
	requests.merge('part/d', value);
	expect(merged).toEqual([{digest: 'part/d', round: 0, crashes: 1}]);
});
