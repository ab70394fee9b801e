/**
 * Decides what an overloaded gateway asks of its load balancer.
 *
 * The load balancer distributes connections by a hash of the caller, so a few
 * gateways of a fleet get a multiple of the others' share, and a caller who
 * connects again reaches the same gateway. A gateway that is overloaded while
 * most others have room is not ready, so that new connections go to them. If
 * most are overloaded, sending callers elsewhere does not help, and all stay
 * ready.
 *
 * @module
 */

/** Other gateways that are not leaving. */
export type PeerRoom = {
	readonly total: number;
	/** Number of those that have room for further requests. */
	readonly withRoom: number;
};

/**
 * Counts the other gateways that are not leaving, and those of them that have
 * room.
 *
 * @example
 * ```ts
 * countPeerRoom([{isLeaving: false, hasRoom: true}, {isLeaving: true, hasRoom: true}]); // {total: 1, withRoom: 1}
 * ```
 *
 * @param views What the other gateways advertise
 * @returns The counts
 */
export function countPeerRoom(views: ReadonlyArray<{readonly isLeaving: boolean; readonly hasRoom: boolean}>): PeerRoom {
	const staying = views.filter(({isLeaving}) => !isLeaving);
	return {total: staying.length, withRoom: staying.filter(({hasRoom}) => hasRoom).length};
}

/** What another gateway advertises that decides whether callers of a failure domain reach it. */
export type PeerRoomView = {
	readonly daemon: string;
	readonly isLeaving: boolean;
	readonly hasRoom: boolean;
	readonly load?: {readonly failureDomain: string};
};

/** Options of {@linkcode countDomainRoom}. */
export type CountDomainRoomOptions = {
	readonly failureDomain: string;
	/** Names of the other gateways that the log records in the failure domain. */
	readonly members: readonly string[];
	readonly views: readonly PeerRoomView[];
};

/**
 * Counts the other gateways of a failure domain that are not leaving, and those
 * of them that have room.
 *
 * @example
 * ```ts
 * countDomainRoom({failureDomain: 'z1', members: ['gw-2'], views: peerViews.list()});
 * ```
 *
 * @param options The failure domain, its recorded gateways and the views
 * @returns The counts
 */
export function countDomainRoom({failureDomain, members, views}: CountDomainRoomOptions): PeerRoom {
	const names = new Set(members);
	return countPeerRoom(views.filter(({daemon, load}) => names.has(daemon) || load?.failureDomain === failureDomain));
}

/**
 * Returns whether most other gateways have room.
 *
 * @example
 * ```ts
 * hasRoomElsewhere({total: 3, withRoom: 2}); // true
 * ```
 *
 * @param peers The other gateways
 * @returns True if a caller that is sent away probably reaches one with room
 */
export function hasRoomElsewhere({total, withRoom}: PeerRoom): boolean {
	return withRoom > total / 2;
}

/**
 * Returns whether a gateway asks for new connections.
 *
 * @example
 * ```ts
 * isReadyForConnections({isOverloaded: true, peers: {total: 30, withRoom: 27}}); // false
 * ```
 *
 * @param load Whether the gateway limits its requests, and the other gateways
 * @returns True if the load balancer may hand it new connections
 */
export function isReadyForConnections({isOverloaded, peers}: {readonly isOverloaded: boolean; readonly peers: PeerRoom}): boolean {
	return !isOverloaded || !hasRoomElsewhere(peers);
}
