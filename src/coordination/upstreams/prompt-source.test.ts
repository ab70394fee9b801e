import {expect, test} from 'vitest';
import {
	CachedPromptSource, NoPromptSource, PromptPlacementPolicy, type PlacementCandidate, type PlacementQuery,
} from '../mod.js';

const ids = ['u1', 'u2', 'u3', 'u4'];
const sharedTokens = 13_000;
const ownTokens = 3000;

function buildCandidate(id: string, fields: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, slots: 64, inFlight: 0, waitingTokens: 0, cachedTokens: 0, slowness: 1, failureShare: 0, isSameDomain: true, isOnGrace: false, softwareVersion: 'v1', ...fields,
	};
}

function buildQuery(shared: string): PlacementQuery {
	return {
		id: 'r', generation: {
			model: 'm', promptTokens: sharedTokens + ownTokens, maxOutputTokens: 100, parts: [{id: shared, tokens: sharedTokens}, {id: 'own', tokens: ownTokens}],
		},
	};
}

test('a part is fetched from the upstream that has cached it, and not where it is cached', () => {
	const policy = new CachedPromptSource();
	const candidates = ids.map(id => buildCandidate(id, {cachedTokens: id === 'u3' ? sharedTokens : 0}));
	expect(policy.pick(buildQuery('p'), {chosen: candidates[0]!, candidates})?.id).toBe('u3');
	expect(policy.pick(buildQuery('p'), {chosen: candidates[2]!, candidates})).toBeUndefined();
	const unfetched: PlacementCandidate | undefined = new NoPromptSource().pick();
	expect(unfetched).toBeUndefined();
});

test('a part that is known nowhere is fetched from where other gateways send it', () => {
	const policy = new CachedPromptSource();
	const candidates = ids.map(id => buildCandidate(id));
	const first = new PromptPlacementPolicy().pick(buildQuery('p'), candidates).id;
	const chosen = candidates.find(({id}) => id !== first)!;
	expect(policy.pick(buildQuery('p'), {chosen, candidates})?.id).toBe(first);
});

test('no part is fetched from an upstream that is no longer listed', () => {
	const candidates = [buildCandidate('u1'), buildCandidate('u2', {cachedTokens: sharedTokens, isOnGrace: true})];
	expect(new CachedPromptSource().pick(buildQuery('p'), {chosen: candidates[0]!, candidates})).toBeUndefined();
});

test('no part is fetched from an upstream of another or an unknown software version', () => {
	// Guards against a stream that one version begins on memory that another one wrote.
	const policy = new CachedPromptSource();
	const cached = {cachedTokens: sharedTokens};
	const candidates = [buildCandidate('u1'), buildCandidate('u2', {...cached, softwareVersion: 'v2'}), buildCandidate('u3', {...cached, softwareVersion: undefined})];
	expect(policy.pick(buildQuery('p'), {chosen: candidates[0]!, candidates})).toBeUndefined();
	expect(policy.pick(buildQuery('p'), {chosen: buildCandidate('u4', {softwareVersion: undefined}), candidates})).toBeUndefined();
	expect(policy.pick(buildQuery('p'), {chosen: candidates[0]!, candidates: [...candidates, buildCandidate('u4', cached)]})?.id).toBe('u4');
});
