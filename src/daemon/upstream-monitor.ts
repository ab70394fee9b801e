/**
 * Monitors the upstream of an upstream daemon, and provides its load for peers.
 *
 * @module
 */
import type {Clock, EngineLoad} from '../transport/mod.js';
import type {GetLoad} from './peer-interface.js';

/** Options of {@linkcode createUpstreamMonitor}. */
export type CreateUpstreamMonitorOptions = {
	readonly clock: Clock;
	readonly capacity: number;
	readonly countRunning: () => number;
	readonly countQueued: () => number;
	/** Fetches the load that the engine reports; undefined for plain services and for engines that do not answer. */
	readonly fetchLoad: () => Promise<EngineLoad | undefined>;
	/** Checks whether a plain service answers. */
	readonly isAlive: () => Promise<boolean>;
};

const pollIntervalMs = 500;
const maxMisses = 3;

/**
 * Creates the monitor; `run` polls the upstream until the signal is aborted.
 *
 * @example
 * ```ts
 * void monitor.run(signal);
 * monitor.getLoad().running;
 * ```
 *
 * @param options The daemon's own counts and the checks of its upstream
 * @returns The monitor
 */
export function createUpstreamMonitor(options: CreateUpstreamMonitorOptions) {
	const {clock, capacity} = options;
	let misses = 0;
	let load: EngineLoad | undefined;
	let hasReportedLoad = false;

	const getLoad: GetLoad = () => ({
		// All requests to the upstream pass through this daemon, so its own count is newer than the engine's report.
		running: Math.max(options.countRunning(), hasReportedLoad ? 0 : load?.running ?? 0),
		queued: options.countQueued(),
		capacity,
		ageMs: Math.round(load?.ageMs ?? 0),
		upstreamAlive: misses < maxMisses,
	});

	return {
		getLoad,
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				load = await options.fetchLoad();
				hasReportedLoad ||= load !== undefined;
				const isAlive = hasReportedLoad ? load !== undefined : await options.isAlive();
				misses = isAlive ? 0 : misses + 1;
				await clock.sleep(pollIntervalMs, signal);
			}
		},
	};
}
