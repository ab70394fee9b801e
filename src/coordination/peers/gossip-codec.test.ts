import {create, toBinary} from '@bufbuild/protobuf';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {PeerNewsSchema, PeerStateSchema} from '../../protocol/mod.js';
import {createCrashRegistry, createPartCrashRegistry, type PeerView} from '../../state/mod.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import {
	LoggedParts, LoggedRequests, decodeEntry, decodeGossip, encodeEntry, encodeGossip, listStreams,
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

const odd = [Number.NaN, Number.POSITIVE_INFINITY, -1, 1e300];

// Guards against a version, an offset or an epoch that nothing exceeds, and against sums that are no numbers.
test.each([
	...[Number.NaN, Number.POSITIVE_INFINITY, 1.5, 1e300].map(version => ({version})),
	...[Number.NaN, Number.POSITIVE_INFINITY, -1].map(tokens => ({tellsFree: true, free: [{customer: 'c', tokens}]})),
	...[Number.NaN, Number.POSITIVE_INFINITY, 0.5, 1e300].flatMap(number => [{domains: [{failureDomain: 'd', offset: number}]}, {domains: [{failureDomain: 'd', offset: 1, epoch: number}]}]),
	...[Number.NaN, Number.POSITIVE_INFINITY, -1].flatMap(number => [{limits: [{upstream: 'u', requestsPerSecond: number}]}, {limits: [{upstream: 'u', ageMs: number}]}]),
])('an entry with an odd number is malformed: %j', fields => {
	const state = toBinary(PeerStateSchema, create(PeerStateSchema, {address: 'g1:1', version: 3, ...fields}));
	expect(decodeEntry({...id, state}, undefined).err).toBe(true);
});

test.each([Number.NaN, Number.POSITIVE_INFINITY])('an entry with the sequence number %s is malformed', sequence => {
	// Guards against an entry that no later one of the gateway replaces.
	const {state} = encodeEntry(view, {sequence: 1, shouldIncludeFreeTokens: true});
	expect(decodeEntry({...id, sequence, state}, undefined).err).toBe(true);
});

test('streams with an odd lifetime are not listed', () => {
	const origin = {service: 's', softwareVersion: 'v'};
	const news = create(PeerNewsSchema, {streams: [...odd, 20_000].map((lifetimeMs, index) => ({stream: `a-${index}`, origin, lifetimeMs}))});
	expect(listStreams(news).map(({stream}) => stream)).toEqual(['a-4']);
});

/** Any number, among them those that no field of a message can hold. */
const anyNumber = fc.oneof(fc.double(), fc.integer(), fc.constantFrom(2 ** 32, 2 ** 53, -1, Number.NaN, Number.POSITIVE_INFINITY));

test('a view can be encoded whatever numbers it holds', () => {
	// Guards against a gateway that ends because of a number in what it has read.
	fc.assert(fc.property(anyNumber, number => {
		const entry = encodeEntry({
			...view, viewAgeMs: number,
			uses: [{
				upstream: 'u', inFlight: number, waitingTokens: number, heldTokens: number, slowness: number,
			}],
			crashes: [{digest: 'd', round: number, crashes: number}],
			parts: [{
				digest: 'd', round: number, trials: number, crashes: [{upstream: number, ageMs: number}],
			}],
			load: {
				processorShare: number, linkShare: number, memoryShare: number, takesConnections: true, failureDomain: 'd', handOver: {address: 'h:1', spareMillicores: number},
			},
		}, {sequence: 1, shouldIncludeFreeTokens: true});
		encodeGossip([entry], [{upstream: 'u', memory: number, parts: [{id: 'p', tokens: number}]}]);
		expect(decodeEntry({...id, state: entry.state}, undefined).ok).toBe(true);
	}));
});

test('no bytes make the decoding of gossip throw', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 400}), fc.nat(), fc.nat(255), (bytes, position, value) => {
		const good = Uint8Array.from(encodeGossip([encodeEntry(view, {sequence: 1, shouldIncludeFreeTokens: true})], [{upstream: 'u', memory: 9, parts: [{id: 'p', tokens: 3}]}]));
		good[position % good.length] = value;
		for (const message of [bytes, good]) {
			const news = decodeGossip(message);
			for (const entry of news.ok ? news.val.entries : []) {
				decodeEntry(entry, undefined);
			}
		}

		decodeEntry({...id, state: bytes}, undefined);
	}), {numRuns: 1000});
});

test.each([
	'null', '[]', '', '{', '{"round":0}', '{"round":4294967295,"crashes":3}', '{"round":1e300,"crashes":3}', '{"round":0,"crashes":2147483648}', '{"round":-1,"crashes":3}', '{"round":0.5,"crashes":3}',
])('an odd record of a request in the log changes nothing: %s', value => {
	// Guards against counts that messages cannot hold once they rise, in the entry of every gateway that has read them.
	const requests = new LoggedRequests(createCrashRegistry(), {
		merge() {
			throw new Error('merged');
		},
	});
	expect(() => {
		requests.merge('d', value);
	}).not.toThrow('merged');
	expect(() => requests.describeLogged(value)).toThrow();
});

test.each([
	{round: 0xFF_FF_FF_FF}, {trials: 1e300}, {crashes: -1}, {upstreams: [[2 ** 32, 1]]}, {upstreams: [[1, -1]]}, {upstreams: [[1]]}, {upstreams: Array.from({length: 65}, () => [1, 1])}, {upstreams: 'x'},
])('an odd record of a part in the log changes nothing: %j', fields => {
	const parts = new LoggedParts(createPartCrashRegistry(), {
		merge() {
			throw new Error('merged');
		},
		isBlamed: () => false, isTrialDue: () => false,
	}, createVirtualTime());
	const value = JSON.stringify({
		round: 0, crashes: 1, trials: 0, upstreams: [[1, 1]], ...fields,
	});
	expect(() => {
		parts.merge('d', value);
	}).not.toThrow('merged');
	expect(() => parts.describeLogged(value)).toThrow();
});
