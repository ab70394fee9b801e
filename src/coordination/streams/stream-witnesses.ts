/**
 * Which gateways record a stream besides the one that serves it, and which are
 * queried for it.
 *
 * @module
 */
import {rankByRendezvous} from '../peers/rendezvous.js';

/** Gateways that record each stream, so that one of them may fail together with the gateway that serves it. */
export const witnessCount = 2;
/** Gateways that are queried: one more than record a stream, since two gateways may differ by one in their view of the fleet. */
export const queriedCount = 3;

/**
 * Selects the gateways that keep the record of a stream, by rendezvous hashing of
 * its ID, so that the gateway at which its caller resumes it finds them without
 * communication.
 *
 * @example
 * ```ts
 * selectWitnesses('a-1', peers, witnessCount);
 * ```
 *
 * @param stream ID of the attempt that received the first event
 * @param peers The other gateways
 * @param count Maximum number of gateways to select
 * @returns The selected gateways
 */
export function selectWitnesses<Peer extends {readonly daemon: string}>(stream: string, peers: readonly Peer[], count: number): Peer[] {
	const peerByName = new Map(peers.map(peer => [peer.daemon, peer]));
	return rankByRendezvous(stream, peerByName.keys()).slice(0, count).map(daemon => peerByName.get(daemon)!);
}
