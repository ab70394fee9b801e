/**
 * Policies that divide the requests that a cold upstream tolerates among the
 * gateways of a fleet.
 *
 * An upstream that has just started crashes if it gets many more requests per
 * second than it tolerates, no matter which gateways send them. Gateways share
 * no clock and no counter, so each needs a share that it can use on its own.
 *
 * @module
 */
import {rankByRendezvous} from './rendezvous.js';

/** Data on which a policy may base a share. */
export type ColdShareQuery = {
	readonly upstream: string;
	/** Requests that the upstream tolerates from all gateways together in any second. */
	readonly limit: number;
	/** Names of all gateways that this one knows, including itself. */
	readonly gateways: readonly string[];
	/** Name of this gateway. */
	readonly daemon: string;
};

/** Divides the limit of a cold upstream among gateways. */
export abstract class ColdSharePolicy {
	/** Returns the number of requests that this gateway may send in any second. */
	abstract computeShare(query: ColdShareQuery): number;
}

/** Does not limit requests to cold upstreams. */
export class UnlimitedColdShare extends ColdSharePolicy {
	computeShare(): number {
		return Number.POSITIVE_INFINITY;
	}
}

/**
 * Gives each gateway the same share. In a fleet with more gateways than the
 * limit the share is 0, and cold upstreams get no requests.
 */
export class EqualColdShare extends ColdSharePolicy {
	computeShare({limit, gateways}: ColdShareQuery): number {
		return Math.floor(limit / gateways.length);
	}
}

/**
 * Share of the limit that the owners use together. The remainder is for gateways
 * that also consider themselves owners because they do not know all others, as
 * after a start or while others join.
 */
const ownedLimitShare = 2 / 3;

/**
 * Gives a few gateways, the owners of the upstream by rendezvous hashing, a share
 * each, and the others none.
 *
 * If no gateway lacks more than `m` of the others in its view, at most `m` gateways
 * consider themselves owners in addition to the real ones.
 */
export class OwnedColdShare extends ColdSharePolicy {
	computeShare({upstream, limit, gateways, daemon}: ColdShareQuery): number {
		const ownedLimit = Math.max(1, Math.floor(limit * ownedLimitShare));
		const owners = rankByRendezvous(upstream, gateways).slice(0, ownedLimit);
		return owners.includes(daemon) ? Math.max(1, Math.floor(ownedLimit / owners.length)) : 0;
	}
}
