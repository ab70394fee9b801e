/**
 * Policies that choose the gateways to which the next gossip message is sent.
 *
 * @module
 */

/** A gateway that receives gossip. */
export type GossipPeer = {
	readonly daemon: string;
	/** Where it receives datagrams: IP address and port. */
	readonly newsAddress: string;
	/** Where it serves calls: IP address and port. */
	readonly address: string;
	readonly failureDomain: string;
};

/** Options of a {@linkcode ReceiverPolicy}. */
export type ReceiverPolicyOptions = {
	/** Number of receivers of each message. */
	readonly fanOut: number;
	/** Failure domain of this gateway. */
	readonly failureDomain: string;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
};

/** Chooses the receivers of gossip messages in turn. */
export abstract class ReceiverPolicy {
	constructor(protected readonly options: ReceiverPolicyOptions) {}

	/** Returns the receivers of the next message; all peers if there are no more than the fan-out. */
	select(peers: readonly GossipPeer[]): readonly GossipPeer[] {
		return peers.length <= this.options.fanOut ? peers : this.selectSome(peers);
	}

	protected abstract selectSome(peers: readonly GossipPeer[]): readonly GossipPeer[];
}

/** @internal Takes items by a shuffled round robin: every item once before the order is drawn again. */
function createRotation(random: () => number) {
	let remaining: GossipPeer[] = [];
	return {
		pick(peers: readonly GossipPeer[], count: number): GossipPeer[] {
			if (remaining.length < count) {
				remaining = peers.map(peer => ({peer, order: random()})).sort((left, right) => left.order - right.order).map(({peer}) => peer);
			}

			return remaining.splice(0, count);
		},
	};
}

/** Sends to all peers equally often. */
export class UniformReceiverPolicy extends ReceiverPolicy {
	readonly #rotation = createRotation(this.options.random);

	protected selectSome(peers: readonly GossipPeer[]): readonly GossipPeer[] {
		return this.#rotation.pick(peers, this.options.fanOut);
	}
}

/** Receivers of each message in other failure domains. */
const remoteReceivers = 1;

/**
 * Sends to one peer in another failure domain and to the others in the own one.
 * Receivers pass entries on in the same way, so that they still reach all
 * gateways while fewer bytes cross failure domains.
 */
export class NearReceiverPolicy extends ReceiverPolicy {
	readonly #near = createRotation(this.options.random);
	readonly #remote = createRotation(this.options.random);

	protected selectSome(peers: readonly GossipPeer[]): readonly GossipPeer[] {
		const {fanOut, failureDomain} = this.options;
		const nearPeers = peers.filter(peer => peer.failureDomain === failureDomain);
		const remotePeers = peers.filter(peer => peer.failureDomain !== failureDomain);
		const nearCount = Math.min(nearPeers.length, Math.max(fanOut - remoteReceivers, fanOut - remotePeers.length));
		return [...this.#near.pick(nearPeers, nearCount), ...this.#remote.pick(remotePeers, fanOut - nearCount)];
	}
}
