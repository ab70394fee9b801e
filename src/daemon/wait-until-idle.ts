/**
 * Waiting for running work to end, for a graceful stop.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode waitUntilIdle}. */
export type WaitUntilIdleOptions = {
	/** Longest wait, in milliseconds. */
	readonly within: number;
	/** Nothing may run for this long before it counts as idle, in milliseconds; default 0. */
	readonly settle?: number;
	readonly clock: Clock;
};

const step = 20;

/**
 * Waits until nothing runs, or the bound has passed.
 *
 * @example
 * ```ts
 * await waitUntilIdle(() => table.countRunning(), {within: 60_000, clock});
 * ```
 *
 * @param count Counts what runs
 * @param options Bound and clock
 * @returns True when nothing runs any more
 */
export async function waitUntilIdle(count: () => number, options: WaitUntilIdleOptions): Promise<boolean> {
	const {within, settle = 0, clock} = options;
	const until = clock.now() + within;
	let busyAt = clock.now();
	while (clock.now() < until) {
		if (count() > 0) {
			busyAt = clock.now();
		} else if (clock.now() - busyAt >= settle) {
			return true;
		}

		await clock.sleep(step);
	}

	return count() === 0;
}
