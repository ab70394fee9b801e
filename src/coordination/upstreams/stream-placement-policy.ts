/**
 * Policy by which a gateway places streams at engines of unequal speed.
 *
 * @module
 */
import {computeRequestTokens, estimateMemoryCostMs, wouldFillMemory} from './engine-memory.js';
import {
	PlacementPolicy, getRendezvousKey, listSharedParts, type PlacementCandidate, type PlacementQuery,
} from './placement-policy.js';
import {estimateReadingMs, estimateStreamCostMs} from './stream-cost.js';

/** Additional cost of an upstream with a failure share of 1, as a multiple of its cost without failures. */
const failurePenalty = 4;
/** Cost of the traffic between failure domains, in milliseconds: about 8 KB per stream cost as much as 600 prompt tokens. */
const crossDomainPenaltyMs = 10.7;
/**
 * Cost by rendezvous rank, as a share of the time to read the uncached shared
 * tokens. Gateways that place the same new part before they hear of each other
 * would read it at several engines; a part is known everywhere after half a second,
 * so this weighs less than the caches themselves.
 */
const rankPenaltyShares = [0, 0.7, 1] as const;
/**
 * Cost of reading a shared part again, as a multiple of the time that it takes:
 * it delays all that the fleet still has to read. In the model of the tests, at 120 requests
 * a second, engines read a fifth more with 0 than with 1; docs/design/uneven-engines.md compares larger values.
 */
const readAgainWeight = 4;
/**
 * Difference in cost that callers do not notice. Gateways whose views lack the
 * newest placements of the others would all choose the engine with the lowest
 * cost; within this difference each request has its own order.
 */
const tieMs = 10;
/** Cost of an engine whose memory would be filled, beyond that of any engine with memory: 17,000 tokens at an engine that is 16 times as slow as others on a host with a slowness of 1000 cost 10 million. */
const memoryShortCostMs = 1e12;
/** Steps between two events if the shape of the engine is unknown. */
const defaultStepsPerEvent = 4;
/** Number of ids whose hash is kept; more than any fleet has, and bounded because ids are never reused. */
const maxHashedIds = 10_000;

/** @internal FNV-1a. SHA-1, by which other decisions rank, takes 4 µs for each candidate. */
function computeHash(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index += 1) {
		// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point -- FNV-1a on code units
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	return hash;
}

/** @internal The finalizer of MurmurHash3, after which the scores of two keys are independent. */
function computeScore(keyHash: number, candidateHash: number): number {
	/* eslint-disable no-bitwise */
	let hash = keyHash ^ candidateHash;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}

/** @internal Of engines that are all short of memory, the one with the most free memory is taken. */
function computeMemoryCostMs(memory: Parameters<typeof wouldFillMemory>[0]): number {
	const heldShare = (memory.heldTokens + memory.requestTokens) / memory.memoryTokens;
	return estimateMemoryCostMs(heldShare) + (wouldFillMemory(memory) ? memoryShortCostMs * heldShare : 0);
}

/** @internal */
function sumSharedTokens({generation}: PlacementQuery): number {
	return listSharedParts(generation?.parts ?? []).reduce((sum, part) => sum + part.tokens, 0);
}

/** @internal */
function computeCost({generation, objectiveMs}: PlacementQuery, candidate: PlacementCandidate, {sharedTokens, rank}: {readonly sharedTokens: number; readonly rank: number}): number {
	const {cachedTokens, waitingTokens, inFlight, momentarySlowness, tokensPerEvent, memoryTokens, heldTokens, isSameDomain, failureShare} = candidate;
	const readAgainMs = estimateReadingMs(Math.max(0, sharedTokens - cachedTokens)) * (readAgainWeight + rankPenaltyShares[Math.min(rank, rankPenaltyShares.length - 1)]!);
	const streamCostMs = estimateStreamCostMs({
		queuedTokens: waitingTokens,
		uncachedTokens: Math.max(0, (generation?.promptTokens ?? 0) - cachedTokens),
		runningRequests: inFlight,
		slowness: candidate.slowness * (momentarySlowness ?? 1),
		stepsPerEvent: tokensPerEvent ?? defaultStepsPerEvent,
	}, objectiveMs);
	const memoryCostMs = memoryTokens === undefined || !generation ? 0 : computeMemoryCostMs({heldTokens: heldTokens ?? 0, requestTokens: computeRequestTokens(generation), memoryTokens});
	return ((streamCostMs + readAgainMs + (isSameDomain ? 0 : crossDomainPenaltyMs)) * (1 + (failureShare * failurePenalty))) + memoryCostMs;
}

/**
 * Places streams by the delay that they cause to callers: until their own first
 * event, and to the streams beside them.
 *
 * A part that is assumed to be cached nowhere goes to the engine with the first
 * rendezvous rank, unless that delays callers more than reading it elsewhere. An
 * engine whose memory the request would fill gets it only if no other can take it.
 */
export class StreamPlacementPolicy extends PlacementPolicy {
	readonly #hashes = new Map<string, number>();

	getRendezvousKey(query: PlacementQuery): string {
		return getRendezvousKey(query);
	}

	override pick(query: PlacementQuery, candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const ranked = this.#findFirstRanks(this.getRendezvousKey(query), candidates);
		const sharedTokens = sumSharedTokens(query);
		const costs = candidates.map((candidate, index) => computeCost(query, candidate, {sharedTokens, rank: index === ranked[0] ? 0 : (index === ranked[1] ? 1 : ranked.length)}));
		const maxCost = Math.min(...costs) + tieMs;
		const requestHash = computeHash(query.id);
		let chosen = candidates[0]!;
		let highestScore = -1;
		for (const [index, cost] of costs.entries()) {
			const score = cost <= maxCost ? computeScore(requestHash, this.#getHash(candidates[index]!.id)) : -1;
			if (score > highestScore) {
				highestScore = score;
				chosen = candidates[index]!;
			}
		}

		return chosen;
	}

	override findFirst(query: PlacementQuery, candidates: readonly PlacementCandidate[]): PlacementCandidate | undefined {
		return candidates[this.#findFirstRanks(this.getRendezvousKey(query), candidates)[0]];
	}

	estimateCost(query: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		return computeCost(query, candidate, {sharedTokens: sumSharedTokens(query), rank});
	}

	#getHash(id: string): number {
		const known = this.#hashes.get(id);
		if (known !== undefined) {
			return known;
		}

		if (this.#hashes.size >= maxHashedIds) {
			this.#hashes.clear();
		}

		const hash = computeHash(id);
		this.#hashes.set(id, hash);
		return hash;
	}

	#findFirstRanks(key: string, candidates: readonly PlacementCandidate[]): [first: number, second: number] {
		const keyHash = computeHash(key);
		const ranks: [number, number] = [-1, -1];
		const scores: [number, number] = [-1, -1];
		for (const [index, {id}] of candidates.entries()) {
			const score = computeScore(keyHash, this.#getHash(id));
			if (score > scores[0]) {
				[ranks[1], scores[1]] = [ranks[0], scores[0]];
				[ranks[0], scores[0]] = [index, score];
			} else if (score > scores[1]) {
				[ranks[1], scores[1]] = [index, score];
			}
		}

		return ranks;
	}
}
