/**
 * What gateways tell each other several times a second: free tokens, own
 * requests at upstreams, and newer deployments. Goes on while the store is
 * away.
 *
 * @module
 */
import type {EventLog} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';
import {runPeerTasks, type PeerAddress} from './peer-tasks.js';

/** A gateway's own requests at one upstream. */
export type UpstreamUse = {readonly upstream: string; readonly inFlight: number; readonly waitingTokens: number};

/** What one gateway has. */
export type PeerView = {
	readonly daemon: string;
	readonly incarnation: string;
	readonly address: string;
	readonly free: Array<{readonly customer: string; readonly tokens: number}>;
	readonly uses: UpstreamUse[];
	readonly version: number;
	readonly isLeaving: boolean;
};

/** Options of {@linkcode createPeerExchange}. */
export type CreatePeerExchangeOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly daemon: string;
	/** Gateways that the log of grants names, without this one. */
	readonly listPeers: () => PeerAddress[];
	/** Sends this gateway's view, and what is newer than the version that the peer last named; throws when it does not answer. */
	readonly exchange: (address: string, knownVersion: number) => Promise<PeerView>;
	/** Called with each view that arrives. */
	readonly onView: (view: PeerView) => void;
	/** Abandons the connection to a peer that went silent. */
	readonly abandon: (address: string) => void;
	/** Pause between exchanges with one peer, in milliseconds. */
	readonly every: number;
};

/** What gateways tell each other. */
export type PeerExchange = ReturnType<typeof createPeerExchange>;

type Known = {view: PeerView; readonly at: number};

/** A view older than this counts for nothing, in milliseconds. */
const viewLife = 1500;
/** A gateway that was silent for so long, in milliseconds, is taken for lost: it restarts in less, and so do most cuts end. */
const silenceLife = 10_000;
/** Pause before a peer that does not answer is asked again, in milliseconds. */
const silentPause = 500;

/**
 * Creates the exchange; `run` is its task.
 *
 * @example
 * ```ts
 * void exchange.run(signal);
 * exchange.listViews();
 * ```
 *
 * @param options Peers and the way to them
 * @returns The exchange
 */
export function createPeerExchange(options: CreatePeerExchangeOptions) {
	const {clock, events} = options;
	const known = new Map<string, Known>();
	/** Clock at which a gateway was last heard, or first asked for. */
	const heardAt = new Map<string, number>();

	function isFresh(daemon: string): boolean {
		const item = known.get(daemon);
		return item !== undefined && clock.now() - item.at < viewLife;
	}

	function countSinceHeard(daemon: string): number {
		const at = heardAt.get(daemon) ?? clock.now();
		heardAt.set(daemon, at);
		return clock.now() - at;
	}

	function take(view: PeerView): void {
		if (!known.has(view.daemon)) {
			events.write('peerBack', {peer: view.daemon, incarnation: view.incarnation});
		}

		known.set(view.daemon, {view, at: clock.now()});
		heardAt.set(view.daemon, clock.now());
		options.onView(view);
	}

	async function exchangeWith(peer: PeerAddress, isNamed: () => boolean, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && isNamed()) {
			try {
				take(await options.exchange(peer.address, known.get(peer.daemon)?.view.version ?? Number.POSITIVE_INFINITY));
				await clock.sleep(options.every, signal);
			} catch (error) {
				if (known.delete(peer.daemon)) {
					events.write('peerSuspected', {peer: peer.daemon, detail: (error as Error).message});
				}

				options.abandon(peer.address);
				await clock.sleep(silentPause, signal);
			}
		}
	}

	return {
		/** Takes the view that a peer sent along with its own call. */
		take,

		/** The views of gateways that answered lately. */
		listViews(): PeerView[] {
			return [...known.values()].map(({view}) => view).filter(({daemon}) => isFresh(daemon));
		},

		/** Gateways that the log names and that fell silent, or have not been heard yet, within the last seconds. */
		listSilent(): string[] {
			return options.listPeers().map(({daemon}) => daemon).filter(daemon => !isFresh(daemon) && countSinceHeard(daemon) < silenceLife);
		},

		/** Takes a peer's use of some upstreams, which is newer than that in its view. */
		takeUses(daemon: string, uses: readonly UpstreamUse[]): void {
			const item = known.get(daemon);
			if (!item) {
				return;
			}

			const changed = new Set(uses.map(({upstream}) => upstream));
			item.view = {...item.view, uses: [...item.view.uses.filter(({upstream}) => !changed.has(upstream)), ...uses]};
		},

		async run(signal: AbortSignal): Promise<void> {
			await runPeerTasks({
				clock, every: options.every, signal,
				// One of two asks, since an exchange goes both ways.
				listPeers: () => options.listPeers().filter(({daemon}) => daemon > options.daemon),
				run: async (peer, isNamed) => exchangeWith(peer, isNamed, signal),
			});
		},
	};
}
