/**
 * Monitors the lag of the event loop and reports stalls.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';

/** Counters of a process since it started. */
export type ProcessStats = {
	/** Processor time, in milliseconds. */
	readonly cpuMs: number;
	/** Accepted connections of callers. */
	readonly connections: number;
	/** Requests of callers that were started. */
	readonly requests: number;
};

/** A period in which the event loop did not run. */
export type LoopStall = {
	/** Lag of a timer, in whole milliseconds. */
	readonly lateMs: number;
	/** Processor time of the process from the end of the window before the stall until after the stall, in whole milliseconds. */
	readonly cpuMs: number;
	/** Connections accepted in the same period. */
	readonly connections: number;
	/** Requests started in the same period. */
	readonly requests: number;
	/** Seconds since monitoring began. */
	readonly upSeconds: number;
};

/** Options of {@linkcode monitorEventLoop}. */
export type MonitorEventLoopOptions = {
	readonly clock: Clock;
	/** Called after each window with its maximum lag, in milliseconds. */
	readonly onWindow: (lag: number) => void;
	/** Called after a stall. */
	readonly onStall?: (stall: LoopStall) => void;
	/** Reads the counters of the process. */
	readonly readStats?: () => ProcessStats;
};

const sampleIntervalMs = 50;
const windowMs = 250;
/** Lag above which the event loop counts as stalled, because callers wait one second for a new connection. */
const stallThresholdMs = 1000;
const millisecondsPerSecond = 1000;
const noStats: ProcessStats = {cpuMs: 0, connections: 0, requests: 0};

/**
 * Monitors the event loop until the signal is aborted.
 *
 * @example
 * ```ts
 * void monitorEventLoop({clock, onWindow: admission.recordLag}, signal);
 * ```
 *
 * @param options The clock, the callbacks and the counters of the process
 * @param signal Stops monitoring when aborted
 */
export async function monitorEventLoop(options: MonitorEventLoopOptions, signal: AbortSignal): Promise<void> {
	const {
		clock, onWindow, onStall, readStats = () => noStats,
	} = options;
	const startedAt = clock.now();
	let before = readStats();
	while (!signal.aborted) {
		let maxLagMs = 0;
		const windowEndsAt = clock.now() + windowMs;
		while (clock.now() < windowEndsAt && !signal.aborted) {
			const dueAt = clock.now() + sampleIntervalMs;
			await clock.sleep(sampleIntervalMs, signal);
			const lagMs = clock.now() - dueAt;
			maxLagMs = Math.max(maxLagMs, lagMs);
			if (lagMs > stallThresholdMs) {
				const after = readStats();
				onStall?.({
					lateMs: Math.round(lagMs),
					cpuMs: Math.round(after.cpuMs - before.cpuMs),
					connections: after.connections - before.connections,
					requests: after.requests - before.requests,
					upSeconds: Math.round((clock.now() - startedAt) / millisecondsPerSecond),
				});
			}
		}

		onWindow(maxLagMs);
		before = readStats();
	}
}
