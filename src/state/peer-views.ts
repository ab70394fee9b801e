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

/** Requests that all other gateways have at one upstream; `slowness` is the mean over those that state one. */
export type PeerUse = UpstreamUse & {
	/** Requests of the gateways that state the tokens which they hold; undefined if none does. */
	readonly statedInFlight?: number;
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
	/** Undefined while it takes no connections that other gateways hand over. */
	readonly handOver?: HandOverOffer;
};

/** What a gateway offers to overloaded ones. */
export type HandOverOffer = {
	/** Address for connections that are handed over: IP address and port. */
	readonly address: string;
	/** Processor time that it can give to them, in thousandths of a core. */
	readonly spareMillicores: number;
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
	/** Age of its records of the upstreams, in milliseconds; undefined before the first read, and from a gateway of an earlier version. */
	readonly viewAgeMs?: number;
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

/** Slowness is summed in percent: integers leave no rounding error when they are subtracted again. */
type UseSum = {inFlight: number; waitingTokens: number; heldTokens: number; statedInFlight: number; slownessPercent: number; slownessCount: number};

const percentPerMultiple = 100;
/** The largest slowness that counts: the largest that is believed of an engine. The field of the message can hold 40 million. */
const maxSlowness = 1000;

/** @internal */
function addUse(sum: UseSum, use: UpstreamUse, sign: 1 | -1): void {
	sum.inFlight += sign * use.inFlight;
	sum.waitingTokens += sign * use.waitingTokens;
	if (use.heldTokens !== undefined) {
		sum.heldTokens += sign * use.heldTokens;
		sum.statedInFlight += sign * use.inFlight;
	}

	if (use.slowness !== undefined) {
		sum.slownessPercent += sign * Math.round(Math.min(maxSlowness, use.slowness) * percentPerMultiple);
		sum.slownessCount += sign;
	}
}

/** @internal */
function isEmpty(sum: UseSum): boolean {
	return sum.inFlight === 0 && sum.waitingTokens === 0 && sum.heldTokens === 0 && sum.slownessCount === 0;
}

/** @internal */
function buildPeerUse(upstream: string, sum: UseSum | undefined): PeerUse {
	if (!sum) {
		return {upstream, inFlight: 0, waitingTokens: 0};
	}

	const {inFlight, waitingTokens, heldTokens, statedInFlight, slownessPercent, slownessCount} = sum;
	return {
		upstream, inFlight, waitingTokens,
		heldTokens: statedInFlight > 0 ? heldTokens : undefined,
		statedInFlight: statedInFlight > 0 ? statedInFlight : undefined,
		slowness: slownessCount > 0 ? slownessPercent / slownessCount / percentPerMultiple : undefined,
	};
}

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
	const useByUpstream = new Map<string, UseSum>();

	function addUses(uses: readonly UpstreamUse[], sign: 1 | -1): void {
		for (const use of uses) {
			const sum = useByUpstream.get(use.upstream) ?? {
				inFlight: 0, waitingTokens: 0, heldTokens: 0, statedInFlight: 0, slownessPercent: 0, slownessCount: 0,
			};
			addUse(sum, use, sign);
			if (isEmpty(sum)) {
				useByUpstream.delete(use.upstream);
			} else {
				useByUpstream.set(use.upstream, sum);
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

		/** Returns when the latest view of a gateway was received; undefined if there is none. */
		findReceivedAt: (daemon: string): number | undefined => receivedViews.get(daemon)?.at,

		/** Returns the sum of all other gateways' requests at an upstream. */
		sumUse: (upstream: string): PeerUse => buildPeerUse(upstream, useByUpstream.get(upstream)),

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
