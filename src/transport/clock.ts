/**
 * The clock used by the coordination layer. Measurements replace it by a virtual one.
 *
 * @module
 */
/** A source of time in milliseconds. */
export type Clock = {
	/** Returns a monotonic time in milliseconds. */
	readonly now: () => number;
	/** Waits; resolves early, without an error, if the signal is aborted. */
	readonly sleep: (durationMs: number, signal?: AbortSignal) => Promise<void>;
};

/** The longest delay that a timer of Node.js can wait; it fires after 1 ms if the delay is longer. */
const maxTimerMs = 2_147_483_647;

/**
 * Limits a delay to what a timer can wait, which is 24 days.
 *
 * @example
 * ```ts
 * computeTimerMs(1e12); // 2_147_483_647
 * ```
 *
 * @param delayMs The delay in milliseconds
 * @returns The delay, or the longest possible one
 */
export function computeTimerMs(delayMs: number): number {
	return Math.min(maxTimerMs, delayMs);
}

/** Shared abort reason; without one, every `abort` call would construct an error. */
const waitFinished = new Error('The wait has finished');

/**
 * Waits for a value, but no longer than a timeout.
 *
 * @example
 * ```ts
 * await waitWithTimeout(response, {clock, timeoutMs: 300}); // undefined after 300 ms
 * ```
 *
 * @param pending The promise to wait for
 * @param options The clock, and the timeout in milliseconds
 * @returns The value, or undefined if the timeout expired first
 */
export async function waitWithTimeout<Value>(pending: Promise<Value>, {clock, timeoutMs}: {readonly clock: Clock; readonly timeoutMs: number}): Promise<Value | undefined> {
	const timer = new AbortController();
	const value = await Promise.race([pending, clock.sleep(timeoutMs, timer.signal)]);
	timer.abort(waitFinished);
	return value ?? undefined;
}

/**
 * Creates a clock that uses the monotonic clock and the timers of Node.js.
 *
 * @example
 * ```ts
 * await createSystemClock().sleep(10);
 * ```
 *
 * @returns The clock
 */
export function createSystemClock(): Clock {
	return {
		now: () => performance.now(),
		async sleep(durationMs, signal) {
			if (signal?.aborted) {
				return;
			}

			// Not node:timers/promises: aborting one of its timers rejects with a newly constructed error.
			await new Promise<void>(resolve => {
				const end = () => {
					clearTimeout(timer);
					signal?.removeEventListener('abort', end);
					resolve();
				};

				const timer = setTimeout(end, computeTimerMs(durationMs));
				signal?.addEventListener('abort', end);
			});
		},
	};
}
