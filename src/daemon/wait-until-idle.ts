/**
 * Waits for running work to end, for a graceful stop.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode waitUntilIdle}. */
export type WaitUntilIdleOptions = {
	/** Longest wait, in milliseconds. */
	readonly timeoutMs: number;
	/** Time without running work after which the daemon counts as idle; default 0. */
	readonly settleMs?: number;
	readonly clock: Clock;
};

const pollIntervalMs = 20;

/**
 * Waits until no work is running or the timeout has passed.
 *
 * @example
 * ```ts
 * await waitUntilIdle(() => table.countRunning(), {timeoutMs: 60_000, clock});
 * ```
 *
 * @param countRunning Counts the running work
 * @param options Timeout and clock
 * @returns True if no work is running
 */
export async function waitUntilIdle(countRunning: () => number, options: WaitUntilIdleOptions): Promise<boolean> {
	const {timeoutMs, settleMs = 0, clock} = options;
	const deadline = clock.now() + timeoutMs;
	let busyAt = clock.now();
	while (clock.now() < deadline) {
		if (countRunning() > 0) {
			busyAt = clock.now();
		} else if (clock.now() - busyAt >= settleMs) {
			return true;
		}

		await clock.sleep(pollIntervalMs);
	}

	return countRunning() === 0;
}
