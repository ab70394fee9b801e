/**
 * The latest state advertised by each other gateway, and the sums of their
 * requests at each upstream.
 *
 * The sums are updated as views change, so that the cost of placing a request
 * does not depend on the number of gateways.
 *
 * @module
 */
import type {CrashRecord} from './crash-registry.js';
import type {DomainState} from './evacuations.js';
import type {PartAnnouncement} from './part-crash-registry.js';
import type {LimitAnnouncement} from './upstream-limits.js';

/** Requests that one gateway has at one upstream. */
export type UpstreamUse = {
	readonly upstream: string;
	readonly inFlight: number;
	/** Prompt tokens of those requests that have not received a first event yet. */
	readonly waitingTokens: number;
	/** Tokens that those requests hold in the upstream's memory at most, prompts and output. */
	readonly heldTokens?: number;
	/** How long work takes on the upstream's host as a multiple of the usual; undefined if it was not stated recently. */
	readonly slowness?: number;
};

/** How much of its capacity a gateway uses; shares from 0, above 1 if it is asked for more than it has. */
export type GatewayLoad = {
	readonly processorShare: number;
	/** Share of the busier direction of the network link. */
	readonly linkShare: number;
	readonly memoryShare: number;
	/** True if the gateway asks the load balancer for new connections. */
	readonly takesConnections: boolean;
	/** Failure domain of the gateway, whose load balancer hands connections to it. */
	readonly failureDomain: string;
};

/** Free tokens of a customer's budget. */
export type FreeTokens = {readonly customer: string; readonly tokens: number};

/** State that one gateway advertises. */
export type PeerView = {
	readonly daemon: string;
	readonly incarnation: string;
	/** Address at which it serves peers: IP address and port. */
	readonly address: string;
	readonly free: readonly FreeTokens[];
	readonly uses: readonly UpstreamUse[];
	/** Version of the deployment in force; 0 before the first. */
	readonly version: number;
	readonly isLeaving: boolean;
	/** True if it accepts all connections and requests. */
	readonly hasRoom: boolean;
	/** Undefined if the gateway does not know its capacity. */
	readonly load?: GatewayLoad;
	/** Recently changed records of requests during which upstreams crashed. */
	readonly crashes: readonly CrashRecord[];
	/** Recently changed records of parts of prompts during whose answers upstreams crashed. */
	readonly parts: readonly PartAnnouncement[];
	/** Failure domains that are evacuated or that returned recently. */
	readonly domains: readonly DomainState[];
	/** Limits that it has seen upstreams name, or no longer name. */
	readonly limits: readonly LimitAnnouncement[];
};

/** Views of all other gateways. */
export type PeerViews = ReturnType<typeof createPeerViews>;

type ReceivedView = {readonly view: PeerView; readonly sequence: number; readonly at: number};

/** Identifies the gossip entry that a view was received in. */
export type PeerEntryId = {readonly daemon: string; readonly incarnation: string; readonly sequence: number};

/**
 * Creates an empty collection.
 *
 * @example
 * ```ts
 * const views = createPeerViews();
 * views.put(view, {sequence: 7, now: 1200});
 * views.sumUse('i-7').inFlight;
 * ```
 *
 * @returns The collection
 */
export function createPeerViews() {
	const receivedViews = new Map<string, ReceivedView>();
	const useByUpstream = new Map<string, {inFlight: number; waitingTokens: number}>();

	function addUses(uses: readonly UpstreamUse[], sign: 1 | -1): void {
		for (const {upstream, inFlight, waitingTokens} of uses) {
			const sum = useByUpstream.get(upstream) ?? {inFlight: 0, waitingTokens: 0};
			sum.inFlight += sign * inFlight;
			sum.waitingTokens += sign * waitingTokens;
			if (sum.inFlight === 0 && sum.waitingTokens === 0) {
				useByUpstream.delete(upstream);
			} else {
				useByUpstream.set(upstream, sum);
			}
		}
	}

	function drop(daemon: string): void {
		addUses(receivedViews.get(daemon)?.view.uses ?? [], -1);
		receivedViews.delete(daemon);
	}

	return {
		/** Returns true if an entry is newer than the stored view of its gateway. */
		isNewer({daemon, incarnation, sequence}: PeerEntryId): boolean {
			const item = receivedViews.get(daemon);
			return item === undefined || incarnation > item.view.incarnation || (incarnation === item.view.incarnation && sequence > item.sequence);
		},

		put(view: PeerView, {sequence, now}: {readonly sequence: number; readonly now: number}): void {
			addUses(receivedViews.get(view.daemon)?.view.uses ?? [], -1);
			addUses(view.uses, 1);
			receivedViews.set(view.daemon, {view, sequence, at: now});
		},

		get: (daemon: string): PeerView | undefined => receivedViews.get(daemon)?.view,
		list: (): PeerView[] => [...receivedViews.values()].map(({view}) => view),
		has: (daemon: string): boolean => receivedViews.has(daemon),

		/** Returns the sum of all other gateways' requests at an upstream. */
		sumUse: (upstream: string): UpstreamUse => ({
			upstream, inFlight: 0, waitingTokens: 0, ...useByUpstream.get(upstream),
		}),

		/** Deletes views received before `minReceivedAt` and returns the names of their gateways. */
		dropStale(minReceivedAt: number): string[] {
			const staleDaemons = [...receivedViews].filter(([, {at}]) => at < minReceivedAt).map(([daemon]) => daemon);
			for (const daemon of staleDaemons) {
				drop(daemon);
			}

			return staleDaemons;
		},
	};
}
