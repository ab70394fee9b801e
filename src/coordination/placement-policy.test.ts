import {expect, test} from 'vitest';
import {
	PromptPlacementPolicy, ServicePlacementPolicy, computeUrgency, type PlacementCandidate, type PlacementQuery,
} from './mod.js';

const policy = new PromptPlacementPolicy();

function buildCandidate(id: string, fields: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, slots: 64, inFlight: 0, waitingTokens: 0, cachedTokens: 0, slowness: 1, failureShare: 0, isSameDomain: true, isOnGrace: false, ...fields,
	};
}

function buildQuery(shared: string, own: string): PlacementQuery {
	return {
		id: own, generation: {
			model: 'm', promptTokens: 12_000, outputTokens: 400, parts: [{id: shared, tokens: 9000}, {id: own, tokens: 3000}],
		},
	};
}

const names = ['u1', 'u2', 'u3', 'u4', 'u5'];

test('gateways that have not talked put a shared part in the same place', () => {
	const picks = ['a', 'b', 'c'].map(own => policy.pick(buildQuery('shared', own), names.map(id => buildCandidate(id))).id);
	expect(new Set(picks).size).toBe(1);
});

test('a prompt leaves its cached place when the queue there outweighs it', () => {
	const query = buildQuery('shared', 'own');
	const first = policy.pick(query, names.map(id => buildCandidate(id))).id;
	const pick = (waitingTokens: number) => policy.pick(query, names.map(id => buildCandidate(id, id === first ? {waitingTokens, cachedTokens: 9000} : {}))).id;
	expect(pick(10_000)).toBe(first);
	expect(pick(40_000)).not.toBe(first);
});

test('a slow or failing upstream is left', () => {
	const query = buildQuery('shared', 'own');
	const first = policy.pick(query, names.map(id => buildCandidate(id))).id;
	expect(policy.pick(query, names.map(id => buildCandidate(id, id === first ? {slowness: 6} : {}))).id).not.toBe(first);
	expect(policy.pick(query, names.map(id => buildCandidate(id, id === first ? {failureShare: 0.9} : {}))).id).not.toBe(first);
});

test('a service call stays in its failure domain until that is much fuller', () => {
	const services = new ServicePlacementPolicy();
	const pick = (inFlight: number) => services.pick({id: 'r', generation: undefined}, [
		buildCandidate('near', {slots: 6, inFlight}), buildCandidate('far', {slots: 6, isSameDomain: false}),
	]).id;
	expect(pick(1)).toBe('near');
	expect(pick(2)).toBe('far');
});

test('shared parts are read once while load allows, and load is spread when it does not', () => {
	// Callers wait seconds for first tokens in the first minute of a day: four
	// gateways, each by its own greedy view, have the same shared parts read at
	// several engines.
	const cached = new Map(names.map(id => [id, new Set<string>()]));
	const waiting = new Map(names.map(id => [id, 0]));
	let read = 0;
	for (let request = 0; request < 200; request += 1) {
		const shared = `s${(request * 7) % 20}`;
		const query = buildQuery(shared, `own${request}`);
		const {id} = policy.pick(query, names.map(name => buildCandidate(name, {waitingTokens: waiting.get(name)!, cachedTokens: cached.get(name)!.has(shared) ? 9000 : 0})));
		read += cached.get(id)!.has(shared) ? 0 : 9000;
		waiting.set(id, waiting.get(id)! + (cached.get(id)!.has(shared) ? 3000 : 12_000));
		cached.get(id)!.add(shared);
		// Each engine reads as much between two requests as the load brings in the mean.
		for (const name of names) {
			waiting.set(name, Math.max(0, waiting.get(name)! - 900));
		}
	}

	expect(read).toBeLessThanOrEqual(20 * 9000 * 1.5);
	expect(Math.max(...waiting.values())).toBeLessThan(30_000);
});

test('computeUrgency puts priority first and short prompts before long ones', () => {
	const short = {...buildQuery('s', 'o').generation!, promptTokens: 1000};
	const long = {...short, promptTokens: 17_000};
	expect(computeUrgency({priority: 0, generation: long})).toBeLessThan(computeUrgency({priority: 1, generation: short}));
	expect(computeUrgency({priority: 1, generation: short})).toBeLessThan(computeUrgency({priority: 1, generation: long}));
	expect(computeUrgency({priority: 7, generation: long})).toBe(9);
});
