/**
 * Counts occurrences of the last seconds.
 *
 * @module
 */

/** Smallest factor, so that a count may be divided by it; nothing that counted before matters then. */
const minFactor = 1e-100;

/** Counts of several kinds that decay together. */
export type DecayClock = ReturnType<typeof createDecayClock>;

/**
 * Creates the factor by which counts of the last seconds shrink between two uses.
 *
 * A clock that stands still or jumps backwards shrinks nothing, so a count
 * never grows by time alone.
 *
 * @example
 * ```ts
 * const decay = createDecayClock(4000);
 * count *= decay.advance(clock.now());
 * ```
 *
 * @param windowMs Time in which a count falls to 1/e, in milliseconds
 * @returns The factor since the previous use
 */
export function createDecayClock(windowMs: number) {
	let lastAt: number | undefined;

	return {
		/** Returns the factor, above 0 and at most 1, for the time since the previous call. */
		advance(now: number): number {
			const elapsedMs = lastAt === undefined ? 0 : Math.max(0, now - lastAt);
			lastAt = now;
			return Math.max(minFactor, Math.exp(-elapsedMs / windowMs));
		},
	};
}
