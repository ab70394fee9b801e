import {expect, test} from 'vitest';
import {createUnlimitedEligibility} from '../../../tools/harness/unlimited-upstreams.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {EventLog, GatewayService, GenerationParameters} from '../../protocol/mod.js';
import {createPeerViews, createUpstreamDirectory} from '../../state/mod.js';
import {
	UniformReceiverPolicy, createPeerCatchUp, createGossip, createUpstreamRegistry, fanOut, type UpstreamRegistry,
} from '../mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const service: GatewayService = {
	id: 'model', connectionLimit: 100, engine: {
		slots: 64, memory: 100_000, tokensPerEvent: 4, canFetchPrompts: false,
	},
};
const generation: GenerationParameters = {
	model: 'm', promptTokens: 12_000, maxOutputTokens: 100, parts: [{id: 'shared', tokens: 9000}, {id: 'own', tokens: 3000}],
};
const request = {service, generation};

type Gateway = ReturnType<typeof createGateway>;

/** Creates a gateway that places prompts and announces them to another gateway. */
function createGateway(daemon: string, {time, gateways}: {readonly time: ReturnType<typeof createVirtualTime>; readonly gateways: Gateway[]}) {
	const directory = createUpstreamDirectory();
	directory.put({
		id: 'u1', service: 'model', address: '127.0.0.1:1', failureDomain: 'd', slots: 64, isDraining: false, warmUp: 0,
	}, 0);
	const views = createPeerViews();
	const counts = {datagrams: 0};
	const registry: UpstreamRegistry = createUpstreamRegistry({
		eligibility: createUnlimitedEligibility({directory, clock: time}), directory, clock: time, failureDomain: 'd', sumPeerUse: views.sumUse,
		onUseChange() {
			gossip.markChanged();
		},
		onPromptPlaced(prompt) {
			gossip.announcePrompt(prompt);
		},
	});
	const gossip = createGossip({
		clock: time, events, daemon, views,
		receiverPolicy: new UniformReceiverPolicy({fanOut, failureDomain: 'd', random: () => 0.5}),
		listPeers: () => gateways.filter(gateway => gateway.daemon !== daemon).map(gateway => ({
			daemon: gateway.daemon, newsAddress: gateway.daemon, address: gateway.daemon, failureDomain: 'd',
		})),
		getOwnView: () => ({
			daemon, incarnation: 'i', address: daemon, free: [], uses: registry.listUses(), version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
		}),
		send(message) {
			counts.datagrams += 1;
			gateways.find(gateway => gateway.daemon !== daemon)!.gossip.handleMessage(message);
		},
		onView: () => undefined,
		onStream: () => undefined,
		onPrompt: registry.recordPeerPrompt,
	});
	return {
		daemon, registry, views, gossip, counts,
	};
}

function startGateways() {
	const time = createVirtualTime();
	const stopper = new AbortController();
	const gateways: Gateway[] = [];
	const sender = createGateway('sender', {time, gateways});
	const receiver = createGateway('receiver', {time, gateways});
	gateways.push(sender, receiver);
	for (const {gossip} of gateways) {
		void gossip.run(stopper.signal);
	}

	return {
		time, stopper, sender, receiver,
	};
}

function countCachedAt(registry: UpstreamRegistry): number {
	return registry.listCandidates({...request, excluded: new Set()})[0]!.cachedTokens;
}

// Guards against two gateways that send prompts with the same shared part to two upstreams at the same time.
test('a placed prompt is announced to another gateway immediately', async () => {
	const {time, stopper, sender, receiver} = startGateways();
	await time.runUntil(1000);
	const tracker = sender.registry.trackRequest('u1', request);
	await time.runUntil(1060);
	expect(receiver.views.sumUse('u1')).toEqual({
		upstream: 'u1', inFlight: 1, waitingTokens: 12_000, heldTokens: 12_100, statedInFlight: 1,
	});
	expect(countCachedAt(receiver.registry)).toBe(12_000);
	tracker.recordFirstEvent();
	await time.runUntil(1120);
	expect(receiver.views.sumUse('u1')).toEqual({
		upstream: 'u1', inFlight: 1, waitingTokens: 0, heldTokens: 12_100, statedInFlight: 1,
	});
	stopper.abort();
});

// Guards against processing shared parts again because a starting gateway assumes that all caches are empty.
test('a starting gateway receives the prompts that upstreams have cached', async () => {
	const {time, stopper, sender, receiver} = startGateways();
	sender.registry.trackRequest('u1', request).end();
	const catchUp = createPeerCatchUp({
		clock: time, events, findVersion: () => 1,
		queryPeer: async () => ({
			deployment: new Uint8Array(), prompts: sender.registry.listCachedPrompts(), crashes: [], parts: [], readParts: [], domains: [],
		}),
		onDeployment: () => undefined,
		onPrompt: receiver.registry.recordPeerPrompt,
		onCrashRecord: () => undefined,
		onPartRecord: () => undefined,
		onReadParts: () => undefined,
		abandonConnection: () => undefined,
	});
	catchUp.handleView({
		daemon: 'sender', incarnation: 'i', address: 'sender', free: [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	});
	await time.runUntil(200);
	expect(sender.registry.listCachedPrompts()).toEqual([{upstream: 'u1', memory: 100_000, parts: generation.parts}]);
	expect(countCachedAt(receiver.registry)).toBe(12_000);
	stopper.abort();
});

// Guards against a message for each step of each request, which a gateway on half a core processes seconds late.
test('a busy gateway announces its placements in at most twenty messages per second', async () => {
	const {time, stopper, sender} = startGateways();
	await time.runUntil(1000);
	const before = sender.counts.datagrams;
	for (let index = 0; index < 25; index += 1) {
		const tracker = sender.registry.trackRequest('u1', request);
		await time.runUntil(1000 + (index * 40) + 20);
		tracker.recordFirstEvent();
		await time.runUntil(1000 + (index * 40) + 40);
		tracker.end();
	}

	expect(sender.counts.datagrams - before).toBeLessThanOrEqual(20);
	expect(sender.counts.datagrams - before).toBeGreaterThan(10);
	stopper.abort();
});
