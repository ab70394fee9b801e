/**
 * Runs one task for each peer, from the moment at which it is known until it
 * no longer is.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Where a gateway is reached. */
export type PeerAddress = {readonly daemon: string; readonly address: string};

/** Options of {@linkcode runPeerTasks}. */
export type RunPeerTasksOptions = {
	readonly clock: Clock;
	readonly listPeers: () => PeerAddress[];
	/** Pause between looks for new peers, in milliseconds. */
	readonly every: number;
	/** One peer's task; it ends when `isNamed` is false or the signal is aborted, and must not throw. */
	readonly run: (peer: PeerAddress, isNamed: () => boolean) => Promise<void>;
	readonly signal: AbortSignal;
};

/**
 * Runs the tasks until the signal is aborted.
 *
 * @example
 * ```ts
 * await runPeerTasks({clock, listPeers, every: 250, run: async peer => follow(peer), signal});
 * ```
 *
 * @param options Peers and their task
 */
export async function runPeerTasks(options: RunPeerTasksOptions): Promise<void> {
	const {clock, listPeers, signal} = options;
	const running = new Set<string>();

	async function runOne(peer: PeerAddress, name: string): Promise<void> {
		await options.run(peer, () => listPeers().some(({daemon, address}) => daemon === peer.daemon && address === peer.address));
		running.delete(name);
	}

	while (!signal.aborted) {
		for (const peer of listPeers()) {
			const name = `${peer.daemon} ${peer.address}`;
			if (!running.has(name)) {
				running.add(name);
				void runOne(peer, name);
			}
		}

		await clock.sleep(options.every, signal);
	}
}
