import {setImmediate as turn} from 'node:timers/promises';
import {expect, test} from 'vitest';
import type {EventLog, GatewayService, Generation} from '../protocol/mod.js';
import {createUpstreamDirectory} from '../state/mod.js';
import {createSystemClock} from '../transport/mod.js';
import {
	createPlacementFeed, createUpstreamBook, runPlacementReader, type PlacementNews, type UpstreamBook,
} from './mod.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const clock = createSystemClock();
const service: GatewayService = {id: 'model', connectionLimit: 100, engine: {slots: 64, memory: 100_000, tokensPerEvent: 4}};
const generation: Generation = {
	model: 'm', promptTokens: 12_000, outputTokens: 100, parts: [{id: 'shared', tokens: 9000}, {id: 'own', tokens: 3000}],
};
const request = {service, generation};

function createGateway() {
	const directory = createUpstreamDirectory();
	directory.put({
		id: 'u1', service: 'model', address: '127.0.0.1:1', failureDomain: 'd', slots: 64, isDraining: false, warmUp: 0,
	}, 0);
	const book: UpstreamBook = createUpstreamBook({
		directory, clock, failureDomain: 'd', listViews: () => [],
		onUse(upstream) {
			feed.noteUse(upstream);
		},
		onPrompt(prompt) {
			feed.notePrompt(prompt);
		},
	});
	const feed = createPlacementFeed({clock, readUse: book.readUse, readAll: () => ({uses: book.listUses(), prompts: book.listCached()})});
	return {book, feed};
}

function countCachedAt(book: UpstreamBook): number {
	return book.listCandidates({...request, without: new Set()})[0]!.cachedTokens;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		await turn();
	}
}

test('another gateway learns of a prompt as it is placed', async () => {
	// A caller's first words come late: two gateways send prompts with one
	// shared part to two engines in the same moment, and both read it.
	const stopper = new AbortController();
	const sender = createGateway();
	const receiver = createGateway();
	const uses: PlacementNews['uses'] = [];
	void runPlacementReader({
		clock, events, signal: stopper.signal,
		listPeers: () => [{daemon: 'sender', address: 'a'}],
		open: (_address, signal) => sender.feed.follow(signal),
		take(_daemon, news) {
			uses.push(...news.uses);
			for (const prompt of news.prompts) {
				receiver.book.takePrompt(prompt);
			}
		},
		abandon: () => undefined,
	});
	await turn();
	const visit = sender.book.start('u1', request);
	await waitUntil(() => uses.length > 0);
	expect(uses).toEqual([{upstream: 'u1', inFlight: 1, waitingTokens: 12_000}]);
	expect(countCachedAt(receiver.book)).toBe(12_000);
	visit.noteFirst();
	await waitUntil(() => uses.length > 1);
	expect(uses[1]).toEqual({upstream: 'u1', inFlight: 1, waitingTokens: 0});
	stopper.abort();
});

test('a gateway that starts is told what engines keep', async () => {
	// After a restart all prompts of a gateway are placed as if every cache
	// were empty, and shared parts are read again elsewhere.
	const sender = createGateway();
	sender.book.start('u1', request).end();
	const follower = sender.feed.follow(new AbortController().signal);
	const {value} = await follower.next() as {value: PlacementNews};
	expect(value.prompts).toEqual([{upstream: 'u1', memory: 100_000, parts: generation.parts}]);
	await follower.return(undefined);
});

test('a feed that falls silent is opened again', async () => {
	// Something between two gateways loses track of their connection; it stays
	// silent for good, and each places by what it knew before.
	const stopper = new AbortController();
	let opened = 0;
	let abandoned = 0;
	void runPlacementReader({
		clock, events, signal: stopper.signal,
		listPeers: () => [{daemon: 'sender', address: 'a'}],
		async * open(_address, signal) {
			opened += 1;
			yield {uses: [], prompts: []};
			await new Promise((_resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(signal.reason as Error);
				});
			});
		},
		take: () => undefined,
		abandon() {
			abandoned += 1;
		},
	});
	await waitUntil(() => opened === 2);
	expect(abandoned).toBe(1);
	stopper.abort();
});

test('a busy gateway tells its placements in at most twenty messages a second', async () => {
	// After a power cut gateways answer seconds late: on half a core they also
	// tell each other of each step of each request. 25 requests in a second,
	// each placed and then begun: 26 messages at 10 ms, 13 at 50 ms.
	const stopper = new AbortController();
	const {book, feed} = createGateway();
	let messages = 0;
	const reading = (async () => {
		for await (const news of feed.follow(stopper.signal)) {
			messages += news.uses.length > 0 ? 1 : 0;
		}
	})();
	await turn();
	for (let index = 0; index < 25; index += 1) {
		const visit = book.start('u1', request);
		await clock.sleep(20);
		visit.noteFirst();
		await clock.sleep(20);
		visit.end();
	}

	stopper.abort();
	await reading;
	expect(messages).toBeLessThanOrEqual(20);
});
