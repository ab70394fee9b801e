import {expect, test} from 'vitest';
import {createVirtualTime} from '../../tools/measure/virtual-clock.js';
import type {EventLog, GatewayService, Generation} from '../protocol/mod.js';
import {createPeerViews, createUpstreamDirectory} from '../state/mod.js';
import {
	createPeerCatchUp, createPeerNews, createUpstreamBook, type UpstreamBook,
} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const service: GatewayService = {id: 'model', connectionLimit: 100, engine: {slots: 64, memory: 100_000, tokensPerEvent: 4}};
const generation: Generation = {
	model: 'm', promptTokens: 12_000, outputTokens: 100, parts: [{id: 'shared', tokens: 9000}, {id: 'own', tokens: 3000}],
};
const request = {service, generation};

type Gateway = ReturnType<typeof createGateway>;

/** A gateway that places prompts and tells another one of them. */
function createGateway(daemon: string, {time, gateways}: {readonly time: ReturnType<typeof createVirtualTime>; readonly gateways: Gateway[]}) {
	const directory = createUpstreamDirectory();
	directory.put({
		id: 'u1', service: 'model', address: '127.0.0.1:1', failureDomain: 'd', slots: 64, isDraining: false, warmUp: 0,
	}, 0);
	const views = createPeerViews();
	const counts = {datagrams: 0};
	const book: UpstreamBook = createUpstreamBook({
		directory, clock: time, failureDomain: 'd', sumPeerUse: views.sumUse,
		onUse() {
			news.noteChange();
		},
		onPrompt(prompt) {
			news.notePrompt(prompt);
		},
	});
	const news = createPeerNews({
		clock: time, events, daemon, views, random: () => 0.5,
		listPeers: () => gateways.filter(gateway => gateway.daemon !== daemon).map(gateway => ({daemon: gateway.daemon, newsAddress: gateway.daemon})),
		readOwn: () => ({
			daemon, incarnation: 'i', address: daemon, free: [], uses: book.listUses(), version: 1, isLeaving: false, crashes: [],
		}),
		send(message) {
			counts.datagrams += 1;
			gateways.find(gateway => gateway.daemon !== daemon)!.news.take(message);
		},
		onView: () => undefined,
		onPrompt: book.takePrompt,
	});
	return {
		daemon, book, views, news, counts,
	};
}

function startPair() {
	const time = createVirtualTime();
	const stopper = new AbortController();
	const gateways: Gateway[] = [];
	const sender = createGateway('sender', {time, gateways});
	const receiver = createGateway('receiver', {time, gateways});
	gateways.push(sender, receiver);
	for (const {news} of gateways) {
		void news.run(stopper.signal);
	}

	return {
		time, stopper, sender, receiver,
	};
}

function countCachedAt(book: UpstreamBook): number {
	return book.listCandidates({...request, without: new Set()})[0]!.cachedTokens;
}

// Guards against two gateways that send prompts with one shared part to two upstreams in the same moment.
test('another gateway learns of a prompt as it is placed', async () => {
	const {time, stopper, sender, receiver} = startPair();
	await time.runUntil(1000);
	const visit = sender.book.start('u1', request);
	await time.runUntil(1060);
	expect(receiver.views.sumUse('u1')).toEqual({upstream: 'u1', inFlight: 1, waitingTokens: 12_000});
	expect(countCachedAt(receiver.book)).toBe(12_000);
	visit.noteFirst();
	await time.runUntil(1120);
	expect(receiver.views.sumUse('u1')).toEqual({upstream: 'u1', inFlight: 1, waitingTokens: 0});
	stopper.abort();
});

// Guards against shared parts that are read again because a gateway that starts takes all caches for empty.
test('a gateway that starts is told what upstreams keep', async () => {
	const {time, stopper, sender, receiver} = startPair();
	sender.book.start('u1', request).end();
	const catchUp = createPeerCatchUp({
		clock: time, events, findVersion: () => 1,
		ask: async () => ({deployment: new Uint8Array(), prompts: sender.book.listCached(), crashes: []}),
		onDeployment: () => undefined,
		onPrompt: receiver.book.takePrompt,
		onCrashes: () => undefined,
		abandon: () => undefined,
	});
	catchUp.note({
		daemon: 'sender', incarnation: 'i', address: 'sender', free: [], uses: [], version: 1, isLeaving: false, crashes: [],
	});
	await time.runUntil(200);
	expect(sender.book.listCached()).toEqual([{upstream: 'u1', memory: 100_000, parts: generation.parts}]);
	expect(countCachedAt(receiver.book)).toBe(12_000);
	stopper.abort();
});

// Guards against messages for each step of each request, which a gateway on half a core answers seconds late.
test('a busy gateway tells its placements in at most twenty messages a second', async () => {
	const {time, stopper, sender} = startPair();
	await time.runUntil(1000);
	const before = sender.counts.datagrams;
	for (let index = 0; index < 25; index += 1) {
		const visit = sender.book.start('u1', request);
		await time.runUntil(1000 + (index * 40) + 20);
		visit.noteFirst();
		await time.runUntil(1000 + (index * 40) + 40);
		visit.end();
	}

	expect(sender.counts.datagrams - before).toBeLessThanOrEqual(20);
	expect(sender.counts.datagrams - before).toBeGreaterThan(10);
	stopper.abort();
});
