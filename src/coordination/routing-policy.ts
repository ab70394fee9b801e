/**
 * Which upstream gets a model request.
 *
 * @module
 */
import {rankByRendezvous} from './rendezvous.js';

/** An upstream that may take the request. */
export type RouteCandidate = {
	readonly daemon: string;
	/** Requests that this entry has running there. */
	readonly inFlight: number;
	/** Running and queued requests by the upstream's last report, which lags. */
	readonly reported: number;
	readonly capacity: number;
	/** Moving average of the time to the first token seen from here, in milliseconds; 0 when unknown. */
	readonly firstMs: number;
	readonly isSameDomain: boolean;
};

/** What a policy may know of a request. */
export type RouteQuery = {
	/** Digest of the prompt's beginning, which engines cache. */
	readonly prefix: string;
};

/** Chooses among upstreams. */
export abstract class RoutingPolicy {
	/** Name in measurements. */
	abstract readonly name: string;

	/** Picks one of at least one candidate. */
	abstract pick(query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate;
}

/** A source of random numbers in [0, 1). */
export type RandomSource = () => number;

const loadSlack = 1.25;
const slowFactor = 3;
const slowFloor = 50;

/** @internal */
function estimateLoad(candidate: RouteCandidate): number {
	// Reports lag by seconds; what this entry has sent since is only in its own count.
	return Math.max(candidate.inFlight, candidate.reported) / candidate.capacity;
}

/** @internal */
function pickLeast(candidates: readonly RouteCandidate[], rate: (candidate: RouteCandidate) => number): RouteCandidate {
	return candidates.toSorted((left, right) => rate(left) - rate(right))[0]!;
}

/**
 * Prefix affinity with bounded load: the first candidate in the prefix's
 * rendezvous order whose load is within a quarter of the mean (Mirrokni,
 * Thorup and Zadimoghaddam, 2018), leaving out upstreams that are slow.
 */
export class PrefixRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'chosen';
	}

	pick(query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		const fit = this.#leaveOutSlow(candidates);
		const mean = fit.reduce((sum, candidate) => sum + estimateLoad(candidate), 0) / fit.length;
		const byName = new Map(fit.map(candidate => [candidate.daemon, candidate]));
		for (const name of rankByRendezvous(query.prefix, byName.keys())) {
			const candidate = byName.get(name)!;
			if (estimateLoad(candidate) <= (mean * loadSlack) + (1 / candidate.capacity)) {
				return candidate;
			}
		}

		return pickLeast(fit, estimateLoad);
	}

	#leaveOutSlow(candidates: readonly RouteCandidate[]): readonly RouteCandidate[] {
		const known = candidates.map(candidate => candidate.firstMs).filter(span => span > 0).sort((left, right) => left - right);
		const median = known[Math.floor(known.length / 2)] ?? 0;
		const bound = Math.max(slowFloor, median * slowFactor);
		const fit = candidates.filter(candidate => candidate.firstMs <= bound);
		return fit.length > 0 ? fit : candidates;
	}
}

/** Baseline: any upstream. */
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

/** Baseline: one after the other. */
export class RoundRobinRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'round-robin';
	}

	#turn = 0;

	pick(_query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		this.#turn += 1;
		return candidates[this.#turn % candidates.length]!;
	}
}

/** Baseline: the least load by the upstreams' own lagging reports. */
export class LeastReportedRoutingPolicy extends RoutingPolicy {
	get name() {
		return 'least-reported';
	}

	pick(_query: RouteQuery, candidates: readonly RouteCandidate[]): RouteCandidate {
		return pickLeast(candidates, candidate => candidate.reported / candidate.capacity);
	}
}
