/**
 * Decides whether a request has enough time left to be worth sending.
 *
 * @module
 */

/** A request is not sent with less time left than this, because the round trip alone takes part of it. */
export const minRemainingMs = 15;

/**
 * Returns whether a request may still be sent to an upstream.
 *
 * This is decided by the clock and not by a timer, because a busy event loop
 * runs timers late.
 *
 * @example
 * ```ts
 * hasTimeLeft(clock.now() + 2000, clock.now()); // true
 * ```
 *
 * @param deadline Time by which the final answer is due, in milliseconds of the monotonic clock
 * @param now The current time of that clock
 * @returns True if enough time is left
 */
export function hasTimeLeft(deadline: number, now: number): boolean {
	return deadline - now >= minRemainingMs;
}
