/**
 * What other gateways have last said of themselves, with the sum of their
 * requests at each upstream.
 *
 * The sums are kept as views change, so that the cost of placing a request
 * does not depend on the number of gateways.
 *
 * @module
 */
import type {CrashRecord} from './crash-book.js';

/** A gateway's own requests at one upstream. */
export type UpstreamUse = {
	readonly upstream: string;
	readonly inFlight: number;
	/** Prompt tokens of requests there that have no first event yet. */
	readonly waitingTokens: number;
};

/** Free tokens of a customer's budget. */
export type FreeTokens = {readonly customer: string; readonly tokens: number};

/** What one gateway has. */
export type PeerView = {
	readonly daemon: string;
	readonly incarnation: string;
	/** Where it serves peers: IP number and port. */
	readonly address: string;
	readonly free: readonly FreeTokens[];
	readonly uses: readonly UpstreamUse[];
	/** Version of the deployment in force; 0 before the first. */
	readonly version: number;
	readonly isLeaving: boolean;
	/** Requests under which upstreams have crashed, and that changed of late. */
	readonly crashes: readonly CrashRecord[];
};

/** What other gateways have said. */
export type PeerViews = ReturnType<typeof createPeerViews>;

type Known = {readonly view: PeerView; readonly sequence: number; readonly at: number};

/** Which entry of a gateway a view stands in. */
export type EntryNumber = {readonly daemon: string; readonly incarnation: string; readonly sequence: number};

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
	const known = new Map<string, Known>();
	const sums = new Map<string, {inFlight: number; waitingTokens: number}>();

	function addUses(uses: readonly UpstreamUse[], sign: 1 | -1): void {
		for (const {upstream, inFlight, waitingTokens} of uses) {
			const sum = sums.get(upstream) ?? {inFlight: 0, waitingTokens: 0};
			sum.inFlight += sign * inFlight;
			sum.waitingTokens += sign * waitingTokens;
			if (sum.inFlight === 0 && sum.waitingTokens === 0) {
				sums.delete(upstream);
			} else {
				sums.set(upstream, sum);
			}
		}
	}

	function drop(daemon: string): void {
		addUses(known.get(daemon)?.view.uses ?? [], -1);
		known.delete(daemon);
	}

	return {
		/** True for an entry that is newer than what is known of its gateway. */
		isNews({daemon, incarnation, sequence}: EntryNumber): boolean {
			const item = known.get(daemon);
			return item === undefined || incarnation > item.view.incarnation || (incarnation === item.view.incarnation && sequence > item.sequence);
		},

		put(view: PeerView, {sequence, now}: {readonly sequence: number; readonly now: number}): void {
			addUses(known.get(view.daemon)?.view.uses ?? [], -1);
			addUses(view.uses, 1);
			known.set(view.daemon, {view, sequence, at: now});
		},

		get: (daemon: string): PeerView | undefined => known.get(daemon)?.view,
		list: (): PeerView[] => [...known.values()].map(({view}) => view),
		has: (daemon: string): boolean => known.has(daemon),

		/** Requests of all other gateways at an upstream. */
		sumUse: (upstream: string): UpstreamUse => ({
			upstream, inFlight: 0, waitingTokens: 0, ...sums.get(upstream),
		}),

		/** Drops views that are older than a bound, and names their gateways. */
		dropOlder(before: number): string[] {
			const old = [...known].filter(([, {at}]) => at < before).map(([daemon]) => daemon);
			for (const daemon of old) {
				drop(daemon);
			}

			return old;
		},
	};
}
