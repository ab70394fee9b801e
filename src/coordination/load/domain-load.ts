/**
 * What a gateway knows of the load of the other gateways in its failure domain,
 * to which the load balancer would give the connections that it does not take.
 *
 * @module
 */
import type {GatewayLoad, PeerView} from '../../state/mod.js';
import {maxLoadShare, type LoadShares} from './load-meter.js';

/** Another gateway of the failure domain. */
export type DomainPeer = {
	readonly daemon: string;
	/** Used share of its busiest resource; undefined if it is unknown, which counts as no room. */
	readonly busiestShare: number | undefined;
	/** True if it is known to ask the load balancer for new connections. */
	readonly takesConnections: boolean;
};

/** Options of {@linkcode listDomainPeers}. */
export type ListDomainPeersOptions = {
	readonly failureDomain: string;
	/** Names of the other gateways that the log records in the failure domain, whether they respond or not. */
	readonly members: readonly string[];
	/** The views that are not older than the view timeout. */
	readonly views: readonly PeerView[];
};

/**
 * Returns the used share of the busiest resource.
 *
 * @example
 * ```ts
 * computeBusiestShare({processorShare: 0.2, linkShare: 0.9, memoryShare: 0.4}); // 0.9
 * ```
 *
 * @param shares The shares of the resources
 * @returns The largest; undefined if one of them is not a number, is negative or exceeds what a gateway can measure
 */
export function computeBusiestShare({processorShare, linkShare, memoryShare}: LoadShares): number | undefined {
	// Both are NaN, and so the comparisons false, if one of the shares is.
	const largest = Math.max(processorShare, linkShare, memoryShare);
	return Math.min(processorShare, linkShare, memoryShare) >= 0 && largest <= maxLoadShare ? largest : undefined;
}

/** @internal */
function describePeer(daemon: string, load: GatewayLoad | undefined, isLeaving: boolean): DomainPeer {
	const busiestShare = load && computeBusiestShare(load);
	return {daemon, busiestShare, takesConnections: busiestShare !== undefined && load!.takesConnections && !isLeaving};
}

/**
 * Lists the other gateways of a failure domain.
 *
 * A gateway that is silent, that runs a version without load or whose load is
 * unreadable is listed without room and as taking no connections, so that a
 * gateway never relies on it.
 *
 * @example
 * ```ts
 * listDomainPeers({failureDomain: 'z1', members: ['gw-2'], views: peerViews.list()});
 * ```
 *
 * @param options The failure domain, its recorded gateways and the views
 * @returns The other gateways
 */
export function listDomainPeers({failureDomain, members, views}: ListDomainPeersOptions): DomainPeer[] {
	const peers = new Map(members.map(daemon => [daemon, describePeer(daemon, undefined, false)]));
	for (const {daemon, load, isLeaving} of views) {
		if (load?.failureDomain === failureDomain || peers.has(daemon)) {
			peers.set(daemon, describePeer(daemon, load, isLeaving));
		}
	}

	return [...peers.values()];
}
