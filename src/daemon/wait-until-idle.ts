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
	const {within, clock} = options;
	const until = clock.now() + within;
	while (count() > 0 && clock.now() < until) {
		await clock.sleep(step);
	}

	return count() === 0;
}
