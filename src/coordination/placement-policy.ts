/**
 * Which upstream gets a request, when upstreams are reached directly.
 *
 * @module
 */
import type {Generation, PromptPart} from '../protocol/mod.js';
import {rankByRendezvous} from './rendezvous.js';

/** An upstream that may take the request. */
export type PlacementCandidate = {
	readonly id: string;
	readonly slots: number;
	/** Requests of all gateways there, as far as known. */
	readonly inFlight: number;
	/** Prompt tokens there that are still to be read, of all gateways, as far as known. */
	readonly waitingTokens: number;
	/** Tokens of this prompt that it is believed to keep. */
	readonly cachedTokens: number;
	/** How much longer it takes than others for the same work; 1 is usual. */
	readonly slowness: number;
	/** Share of requests that failed there of late. */
	readonly failureShare: number;
	readonly isSameDomain: boolean;
	/** It is no longer listed and takes requests for a grace only. */
	readonly isOnGrace: boolean;
};

/** What a policy may know of a request. */
export type PlacementQuery = {
	/** Names the request; a service's requests have nothing else in common. */
	readonly id: string;
	readonly generation: Generation | undefined;
};

/** Chooses among upstreams. */
export abstract class PlacementPolicy {
	/** Picks one of at least one candidate. */
	pick(query: PlacementQuery, candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const ranks = new Map(rankByRendezvous(this.getKey(query), candidates.map(({id}) => id)).map((id, rank) => [id, rank]));
		const cost = new Map(candidates.map(candidate => [candidate, this.estimateCost(query, candidate, ranks.get(candidate.id)!)]));
		return candidates.toSorted((left, right) => cost.get(left)! - cost.get(right)!)[0]!;
	}

	/** Estimates what a candidate costs, in the policy's own unit. */
	abstract estimateCost(query: PlacementQuery, candidate: PlacementCandidate, rank: number): number;

	/** What gateways agree on without talking: candidates are ranked by rendezvous on this. */
	abstract getKey(query: PlacementQuery): string;
}

/** A failing upstream costs this much more of a request's work, for a failure share of 1. */
const failureFactor = 4;

/** Work of a request besides its prompt, in tokens of a prompt: connection, first step of the batch. */
const baseTokens = 400;
/** What a running request adds to the time of others, in tokens of a prompt: it takes part in each step. */
const runningTokens = 40;
/** Price of bytes between failure domains, in tokens of a prompt read again: about 8 KB a stream. */
const otherDomainTokens = 600;
/** Share of a shared part's tokens that leaving its first place costs: another request will want it there. */
const movedShare = [0, 1.2, 2];

/** @internal The parts that other requests share: all but the last, which is the request's own. */
function listShared(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.length > 1 ? parts.slice(0, -1) : parts;
}

/**
 * Places prompts by the prompt tokens to be read before the first event:
 * those queued there, and those of this prompt that are not cached there.
 *
 * A part that no cache is believed to keep goes where rendezvous on it points,
 * unless the queue there outweighs it. So gateways put the same part in the
 * same place without talking, and it is read once.
 */
export class PromptPlacementPolicy extends PlacementPolicy {
	getKey({generation, id}: PlacementQuery): string {
		const parts = generation?.parts ?? [];
		return (parts.at(-2) ?? parts.at(-1))?.id ?? id;
	}

	estimateCost({generation}: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		const prompt = generation?.promptTokens ?? 0;
		const shared = listShared(generation?.parts ?? []).reduce((sum, part) => sum + part.tokens, 0);
		const missing = Math.max(0, shared - candidate.cachedTokens);
		const moved = missing * movedShare[Math.min(rank, movedShare.length - 1)]!;
		const work = baseTokens + candidate.waitingTokens + (prompt - candidate.cachedTokens) + (candidate.inFlight * runningTokens);
		const domain = candidate.isSameDomain ? 0 : otherDomainTokens;
		return ((work * candidate.slowness) + moved + domain) * (1 + (candidate.failureShare * failureFactor));
	}
}

/** Share of an upstream's places by which another failure domain must be emptier to be chosen. */
const otherDomainLoad = 0.25;
/** Weight of the rendezvous rank: it only parts equals, so that gateways do not all choose the same. */
const rankLoad = 0.01;

/** Places requests of plain services by load, in the same failure domain if it is not much fuller. */
export class ServicePlacementPolicy extends PlacementPolicy {
	getKey({id}: PlacementQuery): string {
		return id;
	}

	estimateCost(_query: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		const load = (candidate.inFlight + 1) / candidate.slots;
		return (load * candidate.slowness * (1 + (candidate.failureShare * failureFactor))) + (candidate.isSameDomain ? 0 : otherDomainLoad) + (rank * rankLoad);
	}
}

/** Running requests by which an upstream must be emptier to be chosen before one of a better rank. */
const rankRunning = 1;

/**
 * Places requests under which upstreams have crashed where little else runs:
 * if the request is the cause, whatever runs beside it is lost too. Each has an
 * order of its own, so that those that stood under the same crash part.
 */
export class LeastRunningPolicy extends PlacementPolicy {
	getKey({id}: PlacementQuery): string {
		return id;
	}

	estimateCost(_query: PlacementQuery, candidate: PlacementCandidate, rank: number): number {
		return candidate.inFlight + (rank * rankRunning);
	}
}
