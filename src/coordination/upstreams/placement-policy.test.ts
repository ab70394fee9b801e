import {expect, test} from 'vitest';
import {
	PromptPlacementPolicy, ServicePlacementPolicy, computeUrgency, type PlacementCandidate, type PlacementQuery,
} from '../mod.js';

const promptPolicy = new PromptPlacementPolicy();

function buildCandidate(id: string, fields: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, slots: 64, inFlight: 0, waitingTokens: 0, cachedTokens: 0, slowness: 1, failureShare: 0, isSameDomain: true, isOnGrace: false, softwareVersion: 'v1', ...fields,
	};
}

function buildQuery(sharedPart: string, ownPart: string): PlacementQuery {
	return {
		id: ownPart, generation: {
			model: 'm', promptTokens: 12_000, maxOutputTokens: 400, parts: [{id: sharedPart, tokens: 9000}, {id: ownPart, tokens: 3000}],
		},
	};
}

const upstreamIds = ['u1', 'u2', 'u3', 'u4', 'u5'];

test('gateways place a shared part at the same upstream without communication', () => {
	const picks = ['a', 'b', 'c'].map(own => promptPolicy.pick(buildQuery('shared', own), upstreamIds.map(id => buildCandidate(id))).id);
	expect(new Set(picks).size).toBe(1);
});

test('a prompt is placed away from its cache when the queue there costs more', () => {
	const query = buildQuery('shared', 'own');
	const first = promptPolicy.pick(query, upstreamIds.map(id => buildCandidate(id))).id;
	const pickWithQueue = (waitingTokens: number) => promptPolicy.pick(query, upstreamIds.map(id => buildCandidate(id, id === first ? {waitingTokens, cachedTokens: 9000} : {}))).id;
	expect(pickWithQueue(10_000)).toBe(first);
	expect(pickWithQueue(40_000)).not.toBe(first);
});

test('a slow or failing upstream is avoided', () => {
	const query = buildQuery('shared', 'own');
	const first = promptPolicy.pick(query, upstreamIds.map(id => buildCandidate(id))).id;
	expect(promptPolicy.pick(query, upstreamIds.map(id => buildCandidate(id, id === first ? {slowness: 6} : {}))).id).not.toBe(first);
	expect(promptPolicy.pick(query, upstreamIds.map(id => buildCandidate(id, id === first ? {failureShare: 0.9} : {}))).id).not.toBe(first);
});

test('a service request stays in its failure domain unless the load there is much higher', () => {
	const servicePolicy = new ServicePlacementPolicy();
	const pick = (inFlight: number) => servicePolicy.pick({id: 'r', generation: undefined}, [
		buildCandidate('near', {slots: 6, inFlight}), buildCandidate('far', {slots: 6, isSameDomain: false}),
	]).id;
	expect(pick(1)).toBe('near');
	expect(pick(2)).toBe('far');
});

test('shared parts are mostly processed once, and queues stay short', () => {
	// Guards against waits of seconds for the first token in the first minute of a day:
	// four gateways, each choosing greedily by its own view, had the same shared
	// parts processed at several engines.
	const cachedParts = new Map(upstreamIds.map(id => [id, new Set<string>()]));
	const queuedTokens = new Map(upstreamIds.map(id => [id, 0]));
	let tokensRead = 0;
	for (let request = 0; request < 200; request += 1) {
		const shared = `s${(request * 7) % 20}`;
		const query = buildQuery(shared, `own${request}`);
		const {id} = promptPolicy.pick(query, upstreamIds.map(name => buildCandidate(name, {waitingTokens: queuedTokens.get(name)!, cachedTokens: cachedParts.get(name)!.has(shared) ? 9000 : 0})));
		tokensRead += cachedParts.get(id)!.has(shared) ? 0 : 9000;
		queuedTokens.set(id, queuedTokens.get(id)! + (cachedParts.get(id)!.has(shared) ? 3000 : 12_000));
		cachedParts.get(id)!.add(shared);
		// Between two requests, each engine processes the mean number of tokens that arrive.
		for (const name of upstreamIds) {
			queuedTokens.set(name, Math.max(0, queuedTokens.get(name)! - 900));
		}
	}

	expect(tokensRead).toBeLessThanOrEqual(20 * 9000 * 1.5);
	expect(Math.max(...queuedTokens.values())).toBeLessThan(30_000);
});

test('computeUrgency ranks by priority first, then short prompts before long ones', () => {
	const short = {...buildQuery('s', 'o').generation!, promptTokens: 1000};
	const long = {...short, promptTokens: 17_000};
	expect(computeUrgency({priority: 0, generation: long})).toBeLessThan(computeUrgency({priority: 1, generation: short}));
	expect(computeUrgency({priority: 1, generation: short})).toBeLessThan(computeUrgency({priority: 1, generation: long}));
	expect(computeUrgency({priority: 7, generation: long})).toBe(9);
});
