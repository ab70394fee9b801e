/**
 * Policies that divide the requests that an upstream tolerates among the
 * gateways of a fleet.
 *
 * An upstream that has just started, or that named a limit, gets into trouble if
 * it gets more requests than it tolerates, no matter which gateways send them.
 * Gateways share no clock and no counter, so each needs a share that it can use
 * on its own.
 *
 * @module
 */
import {rankByRendezvous} from '../peers/rendezvous.js';

/** Data on which a policy may base a share. */
export type ShareQuery = {
	readonly upstream: string;
	/** Requests that the upstream may get from all gateways together in any window. */
	readonly limit: number;
	/** Names of all gateways that this one knows, including itself. */
	readonly gateways: readonly string[];
	/** Name of this gateway. */
	readonly daemon: string;
	/** Time since the limit was last confirmed, in milliseconds. */
	readonly unconfirmedMs: number;
};

/** Divides the limit of an upstream among gateways. */
export abstract class SharePolicy {
	/** Returns the number of requests that this gateway may send in any window. */
	abstract computeShare(query: ShareQuery): number;
}

/** Does not limit requests. */
export class UnlimitedShare extends SharePolicy {
	computeShare(): number {
		return Number.POSITIVE_INFINITY;
	}
}

/**
 * Gives each gateway the same share. In a fleet with more gateways than the
 * limit the share is 0, and the upstream gets no requests.
 */
export class EqualShare extends SharePolicy {
	computeShare({limit, gateways}: ShareQuery): number {
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
export class OwnedShare extends SharePolicy {
	computeShare({upstream, limit, gateways, daemon}: ShareQuery): number {
		const ownedLimit = Math.max(1, Math.floor(limit * ownedLimitShare));
		const owners = rankByRendezvous(upstream, gateways).slice(0, ownedLimit);
		return owners.includes(daemon) ? Math.max(1, Math.floor(ownedLimit / owners.length)) : 0;
	}
}

/** Time without confirmation after which gateways that own no share may send in turn, in milliseconds. */
const substitutionDelayMs = 6000;
/** Time for which a gateway is the substitute; shorter than a window, so that it sends one request at most. */
const substitutionTurnMs = 4000;

/** @internal Returns true if it is the turn of the gateway with this index among those that own no share. */
function isSubstitute(index: number, count: number, unconfirmedMs: number): boolean {
	if (unconfirmedMs < substitutionDelayMs) {
		return false;
	}

	const turn = Math.floor((unconfirmedMs - substitutionDelayMs) / substitutionTurnMs);
	return index === turn % count;
}

/**
 * Gives owners by rendezvous hashing the whole limit, in equal shares.
 *
 * Answers the load of an upstream that lifts its limit while its owners send it
 * nothing, or have failed: without confirmation, the other gateways may send one
 * request in turn, and learn from the answer what holds.
 */
export class SubstitutedShare extends SharePolicy {
	computeShare({upstream, limit, gateways, daemon, unconfirmedMs}: ShareQuery): number {
		const share = Math.max(1, Math.ceil(limit / gateways.length));
		const ownerCount = Math.floor(limit / share);
		const rank = rankByRendezvous(upstream, gateways).indexOf(daemon);
		if (rank < ownerCount) {
			return share;
		}

		return isSubstitute(rank - ownerCount, gateways.length - ownerCount, unconfirmedMs) ? 1 : 0;
	}
}
