/**
 * Follows the placements of all other gateways.
 *
 * @module
 */
import type {EventLog} from '../protocol/mod.js';
import {joinSignals, type Clock} from '../transport/mod.js';
import {quietSpan, type PlacementNews} from './placement-feed.js';
import {runPeerTasks, type PeerAddress} from './peer-tasks.js';

/** Options of {@linkcode runPlacementReader}. */
export type RunPlacementReaderOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly listPeers: () => PeerAddress[];
	/** Opens a gateway's feed; it throws when its connection breaks. */
	readonly open: (address: string, signal: AbortSignal) => AsyncIterable<PlacementNews>;
	readonly take: (daemon: string, news: PlacementNews) => void;
	/** Abandons the connection to a gateway that went silent. */
	readonly abandon: (address: string) => void;
	readonly signal: AbortSignal;
};

/** A feed that says nothing for this long, in milliseconds, has gone silent: three of its quiet spans. */
const silenceBound = 3 * quietSpan;
/** Pause before a feed is opened again, and between looks for new gateways, in milliseconds. */
const retryPause = 500;

/**
 * Follows the placements of all other gateways until the signal is aborted.
 *
 * @example
 * ```ts
 * void runPlacementReader({clock, events, listPeers, open, take, abandon, signal});
 * ```
 *
 * @param options Peers and what takes their news
 */
export async function runPlacementReader(options: RunPlacementReaderOptions): Promise<void> {
	const {clock, events, signal} = options;

	async function readFeed({daemon, address}: PeerAddress, isNamed: () => boolean): Promise<void> {
		const silence = new AbortController();
		const abort = () => {
			silence.abort(new Error(`The feed was silent for ${silenceBound} ms`));
		};

		let timer = setTimeout(abort, silenceBound);
		const ended = joinSignals([signal, silence.signal]);
		try {
			for await (const news of options.open(address, ended.signal)) {
				clearTimeout(timer);
				timer = setTimeout(abort, silenceBound);
				options.take(daemon, news);
				if (!isNamed()) {
					return;
				}
			}
		} finally {
			clearTimeout(timer);
			ended.clear();
		}
	}

	async function followPeer(peer: PeerAddress, isNamed: () => boolean): Promise<void> {
		while (!signal.aborted && isNamed()) {
			try {
				await readFeed(peer, isNamed);
			} catch (error) {
				events.write('placementsLost', {peer: peer.daemon, detail: (error as Error).message});
				options.abandon(peer.address);
			}

			await clock.sleep(retryPause, signal);
		}
	}

	await runPeerTasks({
		clock, listPeers: options.listPeers, every: retryPause, run: followPeer, signal,
	});
}
