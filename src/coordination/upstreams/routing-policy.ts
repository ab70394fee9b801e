/**
 * Policies that pick the upstream for a model request.
 *
 * @module
 */
import {rankByRendezvous} from '../peers/rendezvous.js';

/** An upstream that may get the request. */
export type RouteCandidate = {
	readonly daemon: string;
	/** Requests of this entry daemon that are running there. */
	readonly inFlight: number;
	/** Running and queued requests in the upstream's last report, which may be seconds old. */
	readonly reported: number;
	/** Number of requests that the upstream can run concurrently. */
	readonly capacity: number;
	/** Moving average of the time to first token observed by this entry daemon, in milliseconds; 0 if unknown. */
	readonly firstMs: number;
	readonly isSameDomain: boolean;
};

/** Properties of a request that a policy may use. */
export type RouteQuery = {
	/** Digest of the beginning of the prompt, which engines cache. */
	readonly prefix: string;
};

/** Picks an upstream for a request. */
export abstract class RoutingPolicy {
	/** Name used in measurements. */
	abstract readonly name: string;

	/** Picks a candidate from a list that is not empty. */
	abstract pick(query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate;
}

/** A source of random numbers in [0, 1). */
export type RandomSource = () => number;

const maxLoadFactor = 1.25;
const slowFactor = 3;
const minSlowMs = 50;

/** @internal */
function estimateLoad(candidate: RouteCandidate): number {
	// Reports are seconds old. Requests that this entry daemon has sent since then appear only in its own count.
	return Math.max(candidate.inFlight, candidate.reported) / candidate.capacity;
}

/** @internal */
function pickLowest(candidates: readonly RouteCandidate[], rate: (candidate: RouteCandidate) => number): RouteCandidate {
	return candidates.toSorted((left, right) => rate(left) - rate(right))[0]!;
}

/**
 * Prefix affinity with bounded load: picks the first candidate in the rendezvous
 * order of the prefix whose load exceeds the mean by at most a quarter, plus one
 * request (Mirrokni, Thorup and Zadimoghaddam, 2018). Slow upstreams are excluded.
 */
export class PrefixRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'chosen';
	}

	pick(query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		const eligible = this.#excludeSlow(candidates);
		const mean = eligible.reduce((sum, candidate) => sum + estimateLoad(candidate), 0) / eligible.length;
		const byName = new Map(eligible.map(candidate => [candidate.daemon, candidate]));
		for (const name of rankByRendezvous(query.prefix, byName.keys())) {
			const candidate = byName.get(name)!;
			if (estimateLoad(candidate) <= (mean * maxLoadFactor) + (1 / candidate.capacity)) {
				return candidate;
			}
		}

		return pickLowest(eligible, estimateLoad);
	}

	// Keeps all candidates if none is fast enough.
	#excludeSlow(candidates: readonly RouteCandidate[]): readonly RouteCandidate[] {
		const latencies = candidates.map(candidate => candidate.firstMs).filter(latency => latency > 0).sort((left, right) => left - right);
		const median = latencies[Math.floor(latencies.length / 2)] ?? 0;
		const maxFirstMs = Math.max(minSlowMs, median * slowFactor);
		const eligible = candidates.filter(candidate => candidate.firstMs <= maxFirstMs);
		return eligible.length > 0 ? eligible : candidates;
	}
}

/** Baseline: picks an upstream at random. */
export class RandomRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'random';
	}

	constructor(readonly random: RandomSource = Math.random) {
		super();
	}

	pick(_query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		return candidates[Math.floor(this.random() * candidates.length)]!;
	}
}

/** Baseline: picks the upstreams in turn. */
export class RoundRobinRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'round-robin';
	}

	#pickCount = 0;

	pick(_query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		this.#pickCount += 1;
		return candidates[this.#pickCount % candidates.length]!;
	}
}

/** Baseline: picks the upstream with the lowest load in its last report, which may be seconds old. */
export class LeastReportedRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'least-reported';
	}

	pick(_query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		return pickLowest(candidates, candidate => candidate.reported / candidate.capacity);
	}
}
