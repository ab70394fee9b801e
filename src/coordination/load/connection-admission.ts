/**
 * Decides whether a gateway accepts new connections.
 *
 * The load balancer may hand most new connections to one gateway. A request that
 * it reads and refuses counts as an attempt of its caller, who waits before the
 * next one; a connection that is closed unread lets the caller go to another
 * gateway at once. So a gateway without room closes new connections while most
 * others have room. If they have not, it reads and refuses the requests, and the
 * answers say when to retry.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import {hasRoomElsewhere, type PeerRoom} from './peer-room.js';

/** Options of {@linkcode createConnectionAdmission}. */
export type CreateConnectionAdmissionOptions = {
	/** Returns how many more requests this gateway can run; infinite while it is not overloaded. */
	readonly countRoom: () => number;
	/** Counts the other gateways that are not leaving, and those of them that have room. */
	readonly countPeers: () => PeerRoom;
	readonly clock: Clock;
};

/** Decides whether a gateway accepts new connections. */
export type ConnectionAdmission = ReturnType<typeof createConnectionAdmission>;

/** A load balancer expects a gateway that is ready to accept connections, even while long requests take up its room. */
const minAcceptIntervalMs = 500;

/**
 * Creates the decision.
 *
 * @example
 * ```ts
 * const admission = createConnectionAdmission({countRoom: () => 1, countPeers: () => ({total: 3, withRoom: 3}), clock});
 * admission.shouldAccept(0); // true
 * ```
 *
 * @param options The room at this gateway and at others
 * @returns The decision
 */
export function createConnectionAdmission({countRoom, countPeers, clock}: CreateConnectionAdmissionOptions) {
	let lastAcceptedAt = Number.NEGATIVE_INFINITY;

	return {
		/** Returns true if the next connection is to be accepted; `awaiting` is the number of accepted connections whose first request has not been read. */
		shouldAccept(awaiting: number): boolean {
			const isAccepted = countRoom() > awaiting || !hasRoomElsewhere(countPeers()) || clock.now() - lastAcceptedAt >= minAcceptIntervalMs;
			if (isAccepted) {
				lastAcceptedAt = clock.now();
			}

			return isAccepted;
		},
	};
}
