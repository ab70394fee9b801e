/**
 * Policies by which a gateway, which connects to upstreams directly, chooses one
 * for a request.
 *
 * @module
 */
import type {GenerationParameters, PromptPart} from '../../protocol/mod.js';
import {rankByRendezvous} from '../peers/rendezvous.js';

/** An upstream to which the request may be sent. */
export type PlacementCandidate = {
	readonly id: string;
	readonly slots: number;
	/** Requests in flight from all gateways, as far as known. */
	readonly inFlight: number;
	/** Prompt tokens from all gateways that the upstream has not processed yet, as far as known. */
	readonly waitingTokens: number;
	/** Tokens of this prompt that the upstream is assumed to have cached. */
	readonly cachedTokens: number;
	/** Time for the same work relative to other upstreams; 1 is typical. */
	readonly slowness: number;
	/** How long work takes on the upstream's host at this moment as a multiple of the usual; undefined if it was not stated recently. */
	readonly momentarySlowness?: number;
	/** Tokens in one event of a stream; undefined if the shape of the engine is unknown. */
	readonly tokensPerEvent?: number;
	/** Capacity of the engine's memory in tokens; undefined if the shape of the engine is unknown. */
	readonly memoryTokens?: number;
	/** Tokens that requests of all gateways hold in that memory, as far as known. */
	readonly heldTokens?: number;
	/** Share of recent requests that failed. */
	readonly failureShare: number;
	readonly isSameDomain: boolean;
	/** The upstream is no longer listed and accepts requests only during its grace period. */
	readonly isOnGrace: boolean;
	/** Version of the upstream's software; undefined if unknown. */
	readonly softwareVersion: string | undefined;
};

/** Request data on which a policy may base its choice. */
export type PlacementQuery = {
	/** Request id; the rendezvous key of requests without a prompt. */
	readonly id: string;
	readonly generation: GenerationParameters | undefined;
	/** Time within which the first event is due, in milliseconds. */
	readonly objectiveMs?: number;
};

/** Chooses an upstream for a request. */
export abstract class PlacementPolicy {
	/** Picks the candidate with the lowest cost. There must be at least one candidate. */
	pick(query: PlacementQuery, candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const ranks = new Map(rankByRendezvous(this.getRendezvousKey(query), candidates.map(({id}) => id)).map((id, rank) => [id, rank]));
		let chosen = candidates[0]!;
		let lowestCost = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			const cost = this.estimateCost(query, candidate, ranks.get(candidate.id)!);
			if (cost < lowestCost) {
				lowestCost = cost;
				chosen = candidate;
			}
		}

		return chosen;
	}

	/** Returns the candidate to which a prompt that is cached nowhere is sent; undefined if there is none. */
	findFirst(query: PlacementQuery, candidates: readonly PlacementCandidate[]): PlacementCandidate | undefined {
		const [first] = rankByRendezvous(this.getRendezvousKey(query), candidates.map(({id}) => id));
		return candidates.find(({id}) => id === first);
	}

	/** Estimates the cost of a candidate, in a unit of the policy's choice. */
	abstract estimateCost(query: PlacementQuery, candidate: PlacementCandidate, rank: number): number;

	/** Returns the key for rendezvous hashing, which gives all gateways the same ranking without communication. */
	abstract getRendezvousKey(query: PlacementQuery): string;
}

/** Additional cost of an upstream with a failure share of 1, as a multiple of its cost without failures. */
const failurePenalty = 4;

/** Fixed work of a request in prompt tokens: the connection and the first step of the batch. */
const baseRequestTokens = 400;
/** Work that each running request adds for others, in prompt tokens, because it takes part in each step of the batch. */
const runningRequestTokens = 40;
/** Cost of the traffic between failure domains, about 8 KB per stream, in prompt tokens. */
const crossDomainPenaltyTokens = 600;
/** Cost by rendezvous rank, as a share of the uncached shared tokens: other requests expect the part at its first rank. */
const rankPenaltyShares = [0, 1.2, 2];

/** Returns the parts shared with other requests: all but the last, or the only one. */
export function listSharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.length > 1 ? parts.slice(0, -1) : parts;
}

/** Returns the key by which a prompt is ranked: its last shared part. */
export function getRendezvousKey({generation, id}: PlacementQuery): string {
	const parts = generation?.parts ?? [];
	return (parts.at(-2) ?? parts.at(-1))?.id ?? id;
}

/**
 * Places prompts by the number of prompt tokens that an upstream must process
 * before the first event: the queued ones, and those of this prompt that are
 * not cached.
 *
 * A part that is assumed to be cached nowhere goes to the upstream with the
 * first rendezvous rank, unless the queue there costs more. Gateways thus send
 * the same part to the same upstream without communication, and it is
 * processed only once.
 */
export class PromptPlacementPolicy extends PlacementPolicy {
	getRendezvousKey(query: PlacementQuery): string {
		return getRendezvousKey(query);
	}

	estimateCost({generation}: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		const promptTokens = generation?.promptTokens ?? 0;
		const sharedTokens = listSharedParts(generation?.parts ?? []).reduce((sum, part) => sum + part.tokens, 0);
		const uncachedTokens = Math.max(0, sharedTokens - candidate.cachedTokens);
		const rankPenalty = uncachedTokens * rankPenaltyShares[Math.min(rank, rankPenaltyShares.length - 1)]!;
		const workTokens = baseRequestTokens + candidate.waitingTokens + (promptTokens - candidate.cachedTokens) + (candidate.inFlight * runningRequestTokens);
		const domainPenalty = candidate.isSameDomain ? 0 : crossDomainPenaltyTokens;
		return ((workTokens * candidate.slowness) + rankPenalty + domainPenalty) * (1 + (candidate.failureShare * failurePenalty));
	}
}

/** Difference in load, as a share of the slots, at which an upstream in another failure domain is preferred. */
const crossDomainPenaltyLoad = 0.25;
/** Weight of the rendezvous rank. It only breaks ties, so that gateways do not all choose the same upstream. */
const rankPenaltyLoad = 0.01;

/** Places requests to plain services by load, and in the same failure domain unless its load is much higher. */
export class ServicePlacementPolicy extends PlacementPolicy {
	getRendezvousKey({id}: PlacementQuery): string {
		return id;
	}

	estimateCost(_query: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		const load = (candidate.inFlight + 1) / candidate.slots;
		return (load * candidate.slowness * (1 + (candidate.failureShare * failurePenalty))) + (candidate.isSameDomain ? 0 : crossDomainPenaltyLoad) + (rank * rankPenaltyLoad);
	}
}

/** Cost of each rendezvous rank, in running requests. */
const rankPenaltyRequests = 1;

/**
 * Places requests suspected of crashing upstreams where the fewest others run,
 * because a crash also fails the requests running beside the suspect. The
 * ranking depends on the request id, so that suspects of the same crash are
 * spread over several upstreams.
 */
export class LeastRunningPolicy extends PlacementPolicy {
	getRendezvousKey({id}: PlacementQuery): string {
		return id;
	}

	estimateCost(_query: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		return candidate.inFlight + (rank * rankPenaltyRequests);
	}
}
