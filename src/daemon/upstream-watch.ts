/**
 * Watches the upstream behind an upstream daemon, and tells its load to peers.
 *
 * @module
 */
import type {Clock, EngineLoad} from '../transport/mod.js';
import type {TellLoad} from './peer-interface.js';

/** Options of {@linkcode createUpstreamWatch}. */
export type CreateUpstreamWatchOptions = {
	readonly clock: Clock;
	readonly capacity: number;
	readonly countRunning: () => number;
	readonly countQueued: () => number;
	/** The engine's own report; undefined for plain services and engines that do not answer. */
	readonly fetchLoad: () => Promise<EngineLoad | undefined>;
	/** Whether a plain service answers. */
	readonly isAlive: () => Promise<boolean>;
};

const pause = 500;
const missesAllowed = 3;

/**
 * Creates the watch; `run` is its task.
 *
 * @example
 * ```ts
 * void watch.run(signal);
 * watch.tellLoad().running;
 * ```
 *
 * @param options The daemon's own counts and the ways to its upstream
 * @returns The watch
 */
export function createUpstreamWatch(options: CreateUpstreamWatchOptions) {
	const {clock, capacity} = options;
	let misses = 0;
	let load: EngineLoad | undefined;
	let hasLoad = false;

	const tellLoad: TellLoad = () => ({
		// This daemon is the only way to its upstream, so its own count is fresh where the report lags.
		running: Math.max(options.countRunning(), hasLoad ? 0 : load?.running ?? 0),
		queued: options.countQueued(),
		capacity,
		ageMs: Math.round(load?.ageMs ?? 0),
		upstreamAlive: misses < missesAllowed,
	});

	return {
		tellLoad,
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				load = await options.fetchLoad();
				hasLoad ||= load !== undefined;
				const isAlive = hasLoad ? load !== undefined : await options.isAlive();
				misses = isAlive ? 0 : misses + 1;
				await clock.sleep(pause, signal);
			}
		},
	};
}
