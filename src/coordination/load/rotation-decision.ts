/**
 * Decides whether a gateway asks the load balancer for new connections.
 *
 * Answers the load of a failure domain whose callers the load balancer spreads
 * by a hash: one small gateway is saturated while others of the domain are
 * nearly idle. That gateway reports not ready, so that its callers reach the
 * others. The load balancer ignores readiness once fewer than half of a
 * domain's gateways are in rotation, so at most half of them may leave.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import {rankByRendezvous} from '../peers/rendezvous.js';
import type {DomainPeer} from './domain-load.js';
import type {LoadShares} from './load-meter.js';

/** Why a gateway takes connections or not. */
export type RotationReason = 'has-room' | 'overloaded' | 'no-room-elsewhere' | 'too-few-gateways';

/** Options of {@linkcode createRotationDecision}. */
export type CreateRotationDecisionOptions = {
	readonly daemon: string;
	readonly failureDomain: string;
	readonly clock: Pick<Clock, 'now'>;
	/** Called when the gateway begins or ends to take connections. */
	readonly onChange: (change: {readonly takesConnections: boolean; readonly reason: RotationReason}) => void;
};

/** What the decision depends on. */
export type RotationInput = {
	/** The smoothed shares of this gateway. */
	readonly shares: LoadShares;
	/** The other gateways of the failure domain. */
	readonly peers: readonly DomainPeer[];
};

/** Decides whether a gateway takes connections. */
export type RotationDecision = ReturnType<typeof createRotationDecision>;

/**
 * Used share above which a gateway sheds callers. Above it, bursts of long prompts fill the link for as long as calls to the
 * store and to peers may take.
 */
export const overloadShare = 0.8;
/** Used share below which a gateway takes callers again: room for a third of its capacity before it is overloaded once more. */
export const recoveryShare = 0.5;
/**
 * Used share of memory below which a gateway takes callers again. Memory that a process holds hardly falls with the load, and
 * an idle gateway holds 0.45 of the smallest memory; with the share of the other resources it would stay out for good.
 */
const memoryRecoveryShare = 0.75;
/**
 * Time after which a gateway takes callers again although memory is not below its recovery share. A process gives back
 * little of what a peak took; while it is below the share that counts as overload, staying out would serve nobody.
 */
const maxMemoryOutMs = 10_000;
/** Mean share of the others below which they have room for the callers of one more gateway. */
export const peerRoomShare = 0.6;
/**
 * Shortest time without new connections. The load balancer needs two checks, a second apart, to notice, and the load of the
 * callers that it moves leaves the smoothed shares a second later; a gateway that returned sooner would get them back.
 */
const minOutMs = 3000;
/** Time for which the others must be overloaded before a gateway returns for their sake: two measurements, and less than the second between two readiness checks. */
const minNoRoomMs = 500;

/** @internal Returns whether the shares are low enough to take connections again. */
function hasRecovered({processorShare, linkShare, memoryShare}: LoadShares): boolean {
	return Math.max(processorShare, linkShare) < recoveryShare && memoryShare < memoryRecoveryShare;
}

/** @internal Returns the mean share of the gateways that take connections; infinite if none is known to. */
function computeMeanShare(peers: readonly DomainPeer[]): number {
	const taking = peers.filter(({takesConnections}) => takesConnections);
	return taking.length === 0 ? Number.POSITIVE_INFINITY : taking.reduce((sum, {busiestShare}) => sum + busiestShare!, 0) / taking.length;
}

/**
 * Returns whether open connections should be closed after their response, so
 * that their callers reach other gateways.
 *
 * @example
 * ```ts
 * shouldMoveCallers({processorShare: 0.1, linkShare: 0.7, memoryShare: 0.4}); // true
 * ```
 *
 * @param shares The smoothed shares of this gateway
 * @returns True until the gateway could take connections again
 */
export function shouldMoveCallers(shares: LoadShares): boolean {
	return !hasRecovered(shares);
}

/**
 * Creates the decision for a gateway that takes connections.
 *
 * @example
 * ```ts
 * const rotation = createRotationDecision({daemon: 'gw-1', failureDomain: 'z1', clock, onChange});
 * rotation.update({shares, peers});
 * rotation.takesConnections();
 * ```
 *
 * @param options The gateway, its failure domain, the clock and the change callback
 * @returns The decision
 */
export function createRotationDecision({daemon, failureDomain, clock, onChange}: CreateRotationDecisionOptions) {
	let isTaking = true;
	let leftAt = 0;
	let noRoomSince: number | undefined;
	let rankByDaemon = new Map<string, number>();

	// The order changes only with the gateways of the domain; computing it takes longer than the rest of the decision.
	function updateRanks(peers: readonly DomainPeer[]): void {
		if (rankByDaemon.size !== peers.length + 1 || !peers.every(peer => rankByDaemon.has(peer.daemon))) {
			const ranked = rankByRendezvous(failureDomain, [daemon, ...peers.map(peer => peer.daemon)]);
			rankByDaemon = new Map(ranked.map((member, rank) => [member, rank]));
		}
	}

	function countBefore(peers: readonly DomainPeer[]): number {
		const ownRank = rankByDaemon.get(daemon)!;
		return peers.filter(peer => rankByDaemon.get(peer.daemon)! < ownRank).length;
	}

	/**
	 * Returns whether this gateway may be among those that take no connections. Gateways that became overloaded at the same
	 * moment count each other, and the first in the order leave; after a race, the last in the order return.
	 */
	function mayBeOut(peers: readonly DomainPeer[]): boolean {
		const maxOut = Math.floor((peers.length + 1) / 2);
		const out = peers.filter(({takesConnections}) => !takesConnections);
		if (isTaking) {
			const rivals = peers.filter(({takesConnections, busiestShare}) => takesConnections && busiestShare! > overloadShare);
			return out.length + countBefore(rivals) < maxOut;
		}

		// A gateway that is out with a low or unknown load has another reason and does not return in its turn.
		const mayReturn = ({busiestShare}: DomainPeer) => busiestShare !== undefined && busiestShare >= recoveryShare;
		return out.filter(peer => !mayReturn(peer)).length + countBefore(out.filter(peer => mayReturn(peer))) < maxOut;
	}

	function setTaking(takesConnections: boolean, reason: RotationReason): void {
		isTaking = takesConnections;
		leftAt = clock.now();
		noRoomSince = undefined;
		onChange({takesConnections, reason});
	}

	function hasNoRoomElsewhere(peers: readonly DomainPeer[]): boolean {
		noRoomSince = computeMeanShare(peers) > overloadShare ? noRoomSince ?? clock.now() : undefined;
		return noRoomSince !== undefined && clock.now() - noRoomSince >= minNoRoomMs;
	}

	function decideLeaving({shares, peers}: RotationInput): void {
		const isOverloaded = Math.max(shares.processorShare, shares.linkShare, shares.memoryShare) > overloadShare;
		if (isOverloaded && computeMeanShare(peers) < peerRoomShare && mayBeOut(peers)) {
			setTaking(false, 'overloaded');
		}
	}

	function mayReturnByLoad(shares: LoadShares): boolean {
		const outMs = clock.now() - leftAt;
		const isMemoryOnly = hasRecovered({...shares, memoryShare: 0}) && shares.memoryShare <= overloadShare;
		return (hasRecovered(shares) && outMs >= minOutMs) || (isMemoryOnly && outMs >= maxMemoryOutMs);
	}

	function decideReturn({shares, peers}: RotationInput): void {
		if (!mayBeOut(peers)) {
			setTaking(true, 'too-few-gateways');
		} else if (hasNoRoomElsewhere(peers)) {
			setTaking(true, 'no-room-elsewhere');
		} else if (mayReturnByLoad(shares)) {
			setTaking(true, 'has-room');
		}
	}

	return {
		/** Decides anew; to be called after each measurement. */
		update(input: RotationInput): void {
			updateRanks(input.peers);
			if (isTaking) {
				decideLeaving(input);
			} else {
				decideReturn(input);
			}
		},

		/** Returns true if the gateway asks for new connections as far as its load decides. */
		takesConnections: (): boolean => isTaking,
	};
}
