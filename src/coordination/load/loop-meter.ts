/**
 * Measures the share of time in which the event loop of a gateway is busy.
 *
 * @module
 */
import {performance, type EventLoopUtilization} from 'node:perf_hooks';

/** Options of {@linkcode createLoopMeter}. */
export type CreateLoopMeterOptions = {
	/** Returns the times since the start of the process; default those of this process. */
	readonly readUtilization?: () => Pick<EventLoopUtilization, 'active' | 'idle'>;
};

/** Measures the event loop. */
export type LoopMeter = ReturnType<typeof createLoopMeter>;

/** Number of intervals of 250 ms over which the share is averaged: one second. */
const smoothedIntervals = 4;

/**
 * Creates a meter.
 *
 * @example
 * ```ts
 * const loopMeter = createLoopMeter();
 * loopMeter.measure();
 * loopMeter.getBusyShare(); // 0.3
 * ```
 *
 * @param options Where the times come from
 * @returns The meter
 */
export function createLoopMeter({readUtilization = () => performance.eventLoopUtilization()}: CreateLoopMeterOptions = {}) {
	const samples = [readUtilization()];

	return {
		/** Takes a sample; to be called at each interval. */
		measure(): void {
			samples.push(readUtilization());
			samples.splice(0, samples.length - 1 - smoothedIntervals);
		},

		/** Returns the busy share of the last second; 1 before the first measurement. */
		getBusyShare(): number {
			const active = samples.at(-1)!.active - samples[0]!.active;
			const idle = samples.at(-1)!.idle - samples[0]!.idle;
			return active + idle > 0 ? active / (active + idle) : 1;
		},
	};
}
