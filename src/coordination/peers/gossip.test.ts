import {setMaxListeners} from 'node:events';
import {expect, test} from 'vitest';
import {createRandom} from '../../../tools/measure/random.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog} from '../../protocol/mod.js';
import {createPeerViews, type PeerView, type PlacedPrompt} from '../../state/mod.js';
import {
	NearReceiverPolicy, UniformReceiverPolicy, createGossip, decodeGossip, encodeGossip, fanOut, listStreams, type ReceiverPolicy, type ReceiverPolicyOptions, type StreamAnnouncement,
} from '../mod.js';
import {encodeEntry} from './gossip-codec.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
/** One-way delay between two hosts. */
const networkDelayMs = 1;

type Gateway = ReturnType<typeof createGateway>;
type Fixture = {
	readonly time: ReturnType<typeof createVirtualTime>; readonly random: () => number; readonly members: Gateway[]; readonly lossRate: number;
	readonly createPolicy: (options: ReceiverPolicyOptions) => ReceiverPolicy;
};

const createNearPolicy = (options: ReceiverPolicyOptions) => new NearReceiverPolicy(options);
const createUniformPolicy = (options: ReceiverPolicyOptions) => new UniformReceiverPolicy(options);
const findDomain = (index: number) => `d${index % 4}`;

function createGateway({time, random, members, lossRate, createPolicy}: Fixture, index: number) {
	const daemon = `e${index}`;
	const views = createPeerViews();
	const state = {
		inFlight: 0, isPartitioned: false, datagrams: 0, bytes: 0, remoteBytes: 0, prompts: [] as PlacedPrompt[], streams: [] as StreamAnnouncement[],
	};
	const failureDomain = findDomain(index);
	const sendTo = async (message: Uint8Array, address: string) => {
		await time.sleep(networkDelayMs);
		const receiver = members.find(member => member.daemon === address)!;
		if (!state.isPartitioned && !receiver.state.isPartitioned && random() >= lossRate) {
			receiver.state.datagrams += 1;
			receiver.state.bytes += message.length;
			receiver.state.remoteBytes += receiver.failureDomain === failureDomain ? 0 : message.length;
			receiver.gossip.handleMessage(message);
		}
	};

	const gossip = createGossip({
		clock: time, events, daemon, views,
		receiverPolicy: createPolicy({fanOut, failureDomain, random}),
		listPeers: () => members.filter(member => member.daemon !== daemon).map(member => ({
			daemon: member.daemon, newsAddress: member.daemon, address: member.daemon, failureDomain: member.failureDomain,
		})),
		getOwnView: (): PeerView => ({
			daemon, incarnation: 'i', address: `${daemon}:1`, version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
			free: [{customer: 'c', tokens: 1000}],
			uses: Array.from({length: 8}, (_, upstream) => ({upstream: `upstream-${upstream}`, inFlight: state.inFlight, waitingTokens: 4000})),
		}),
		send(message, receivers) {
			for (const receiver of receivers) {
				void sendTo(message, receiver.daemon);
			}
		},
		onView: () => undefined,
		onStream(announcement) {
			state.streams.push(announcement);
		},
		onPrompt(prompt) {
			state.prompts.push(prompt);
		},
	});
	return {
		daemon, failureDomain, views, state, gossip,
	};
}

const createView = (daemon: string): PeerView => ({
	daemon, incarnation: 'i', address: `${daemon}:1`, version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [], free: [], uses: [],
});

/** Runs gateways whose requests at upstreams change every 50 ms. */
async function runFleet(count: number, {durationMs, lossRate = 0, createPolicy = createNearPolicy}: {readonly durationMs: number} & Partial<Pick<Fixture, 'lossRate' | 'createPolicy'>>) {
	const time = createVirtualTime();
	const stopper = new AbortController();
	setMaxListeners(0, stopper.signal);
	const fixture: Fixture = {
		time, random: createRandom(7), members: [], lossRate, createPolicy,
	};
	for (let index = 0; index < count; index += 1) {
		fixture.members.push(createGateway(fixture, index));
	}

	const changeRepeatedly = async (member: Gateway) => {
		while (!stopper.signal.aborted) {
			await time.sleep(50);
			member.state.inFlight += 1;
			member.gossip.markChanged();
		}
	};

	for (const member of fixture.members) {
		void member.gossip.run(stopper.signal);
		void changeRepeatedly(member);
	}

	await time.runUntil(durationMs);
	return {...fixture, stopper};
}

test('a change reaches all of four gateways within one interval', async () => {
	const {members, time, stopper} = await runFleet(4, {durationMs: 1000});
	members[0]!.state.inFlight = 1000;
	members[0]!.gossip.markChanged();
	await time.runUntil(1060);
	expect(members.slice(1).map(({views}) => views.get('e0')!.uses[0]!.inFlight)).toEqual([1000, 1000, 1000]);
	stopper.abort();
});

test.each([['near', createNearPolicy], ['uniform', createUniformPolicy]] as const)('each of ninety gateways has a view of all others: %s receivers', async (_name, createPolicy) => {
	const {members, stopper} = await runFleet(90, {durationMs: 8000, lossRate: 0.01, createPolicy});
	const known = members.map(({views}) => views.list().length);
	expect(Math.min(...known)).toBe(89);
	stopper.abort();
});

// Guards against traffic that grows with the fleet: 14 gateways that sent to each other in pairs spent 0.23 cores on it.
test('the traffic that a gateway receives does not grow with the fleet', async () => {
	const durationMs = 6000;
	const rates: Array<{datagrams: number; bytes: number}> = [];
	for (const count of [31, 90]) {
		const {members, stopper} = await runFleet(count, {durationMs});
		const perGateway = (read: (member: Gateway) => number) => members.map(member => read(member)).reduce((sum, value) => sum + value, 0) / count / (durationMs / 1000);
		rates.push({datagrams: perGateway(({state}) => state.datagrams), bytes: perGateway(({state}) => state.bytes)});
		stopper.abort();
	}

	expect(rates[1]!.datagrams).toBeLessThan(rates[0]!.datagrams * 1.1);
	expect(rates[1]!.datagrams).toBeLessThan(35);
	expect(rates[1]!.bytes).toBeLessThan(50_000);
});

test('gossip crosses failure domains half as often if most of its receivers are near', async () => {
	const remoteBytes: number[] = [];
	for (const createPolicy of [createUniformPolicy, createNearPolicy]) {
		const {members, stopper} = await runFleet(26, {durationMs: 4000, createPolicy});
		remoteBytes.push(members.reduce((sum, {state}) => sum + state.remoteBytes, 0));
		stopper.abort();
	}

	expect(remoteBytes[1]).toBeLessThan(remoteBytes[0]! / 2);
});

// Guards against counting the requests of a gateway that no longer exists, which would make upstreams look loaded forever.
test('a partitioned gateway is dropped, and its view is restored after the partition', async () => {
	const {members, time, stopper} = await runFleet(14, {durationMs: 3000});
	members[0]!.state.isPartitioned = true;
	await time.runUntil(8000);
	expect(members[1]!.views.has('e0')).toBe(false);
	expect(members[1]!.gossip.listUnresponsive()).toEqual(['e0']);
	members[0]!.state.isPartitioned = false;
	await time.runUntil(10_000);
	expect(members.slice(1).every(({views}) => views.has('e0'))).toBe(true);
	stopper.abort();
});

// Guards against a permanent refusal while a gateway that has just started has not advertised its free tokens yet.
test('a gateway is listed as unresponsive before it is first heard from, and for some seconds after it stops responding', async () => {
	const {members, time, stopper} = await runFleet(2, {durationMs: 0});
	expect(members[0]!.gossip.listUnresponsive()).toEqual(['e1']);
	await time.runUntil(1000);
	expect(members[0]!.gossip.listUnresponsive()).toEqual([]);
	members[1]!.state.isPartitioned = true;
	await time.runUntil(3500);
	expect(members[0]!.gossip.listUnresponsive()).toEqual(['e1']);
	await time.runUntil(13_000);
	expect(members[0]!.gossip.listUnresponsive()).toEqual([]);
	stopper.abort();
});

test('prompts are sent to the gateways that receive the entry', async () => {
	const {members, time, stopper} = await runFleet(4, {durationMs: 1000});
	const prompt: PlacedPrompt = {upstream: 'u', memory: 1000, parts: [{id: 'a', tokens: 10}]};
	members[0]!.gossip.announcePrompt(prompt);
	await time.runUntil(1060);
	expect(members.slice(1).map(({state}) => state.prompts.map(({upstream}) => upstream))).toEqual([['u'], ['u'], ['u']]);
	stopper.abort();
});

// Guards against a process that exits because of a datagram from another version.
test('malformed messages are ignored', async () => {
	const {members, stopper} = await runFleet(2, {durationMs: 1000});
	members[0]!.gossip.handleMessage(new Uint8Array([255, 255, 255]));
	members[0]!.gossip.handleMessage(new Uint8Array(0));
	expect(members[0]!.views.list()).toHaveLength(1);
	stopper.abort();
});

test('a stream is announced at once to the receivers given, and a message of an earlier version announces none', async () => {
	const {members, time, stopper} = await runFleet(4, {durationMs: 1000});
	const announcement = {
		stream: 'a-1', origin: {service: 's', softwareVersion: 'v1'}, lifetimeMs: 100, source: 'e0',
	};
	const receivers = [{
		daemon: 'e1', newsAddress: 'e1', address: 'e1', failureDomain: 'd1',
	}];
	members[0]!.gossip.announceStream(announcement, receivers);
	members[0]!.gossip.announceStream({...announcement, stream: 'a-2', origin: {service: 's', softwareVersion: undefined}}, receivers);
	await time.runUntil(1000 + networkDelayMs);
	expect(members.map(({state}) => state.streams)).toEqual([[], [announcement, {...announcement, stream: 'a-2', origin: {service: 's', softwareVersion: undefined}}], [], []]);
	const earlier = decodeGossip(encodeGossip([], []));
	expect(earlier.ok && listStreams(earlier.val)).toEqual([]);
	stopper.abort();
});

test('gossip goes on when a message cannot be sent or handled', async () => {
	// Guards against a process that ends because of what a peer or the log has told.
	const time = createVirtualTime();
	const stopper = new AbortController();
	const lines: string[] = [];
	let sent = 0;
	const gossip = createGossip({
		clock: time, daemon: 'g0', views: createPeerViews(),
		events: {
			write(name) {
				lines.push(name);
			},
			counts: new Map(),
		},
		receiverPolicy: new UniformReceiverPolicy({fanOut, failureDomain: 'd', random: () => 0}),
		listPeers: () => [],
		getOwnView: () => createView('g0'),
		send() {
			sent += 1;
			if (sent < 3) {
				throw new RangeError('Port should be > 0 and < 65536');
			}
		},
		onView: () => undefined,
		onStream: () => undefined,
		onPrompt() {
			throw new TypeError('test');
		},
	});
	const running = gossip.run(stopper.signal);
	gossip.handleMessage(encodeGossip([], [{upstream: 'u', memory: 1, parts: []}]));
	gossip.handleMessage(new Uint8Array([255, 255, 255]));
	await time.runUntil(10_000);
	stopper.abort();
	await time.runUntil(20_000);
	await running;
	expect(sent).toBeGreaterThan(3);
	expect(lines.toSorted()).toEqual(['peerNewsLost', 'peerNewsLost', 'peerNewsUnreadable', 'peerNewsUnreadable']);
});

test('a gateway that begins to be heard from is reported once, and again after it was not heard from', async () => {
	// Guards against a fleet in which a gateway goes on as the only one although others have announced themselves.
	const time = createVirtualTime();
	const views = createPeerViews();
	const reported: string[] = [];
	const gossip = createGossip({
		clock: time, daemon: 'g0', views, events,
		receiverPolicy: new UniformReceiverPolicy({fanOut, failureDomain: 'd', random: () => 0}),
		listPeers: () => [],
		getOwnView: () => createView('g0'),
		send: () => undefined,
		onPeerBack(peer) {
			reported.push(peer);
		},
		onView: () => undefined,
		onStream: () => undefined,
		onPrompt: () => undefined,
	});
	const receive = (sequence: number) => {
		gossip.handleMessage(encodeGossip([encodeEntry(createView('g1'), {sequence, shouldIncludeFreeTokens: false})], []));
	};

	receive(1);
	receive(2);
	expect(reported).toEqual(['g1']);
	views.dropStale(time.now() + 1);
	receive(3);
	expect(reported).toEqual(['g1', 'g1']);
});
