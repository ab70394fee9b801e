/**
 * Time, as the coordination layer sees it. Measurements put their own in.
 *
 * @module
 */
/** Time, in milliseconds. */
export type Clock = {
	/** Milliseconds that never go backwards. */
	readonly now: () => number;
	/** Waits; ends early, without an error, when the signal is aborted. */
	readonly sleep: (span: number, signal?: AbortSignal) => Promise<void>;
};

/** Why a signal that only ends a wait is aborted; without a reason each abort builds an error. */
const waitOver = new Error('The wait is over');

/**
 * Waits for a value, but no longer than a span.
 *
 * @example
 * ```ts
 * await waitAtMost(answer, {clock, span: 300}); // undefined after 300 ms
 * ```
 *
 * @param pending The value to come
 * @param options Time, and the longest wait in milliseconds
 * @returns The value; undefined when the span has passed or the signal was aborted first
 */
export async function waitAtMost<Value>(pending: Promise<Value>, {clock, span}: {readonly clock: Clock; readonly span: number}): Promise<Value | undefined> {
	const timer = new AbortController();
	const value = await Promise.race([pending, clock.sleep(span, timer.signal)]);
	timer.abort(waitOver);
	return value ?? undefined;
}

/**
 * Creates the clock of the machine.
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
		async sleep(span, signal) {
			if (signal?.aborted) {
				return;
			}

			// A timer of node:timers/promises rejects when it is aborted, with an error that is built for each.
			await new Promise<void>(resolve => {
				const end = () => {
					clearTimeout(timer);
					signal?.removeEventListener('abort', end);
					resolve();
				};

				const timer = setTimeout(end, span);
				signal?.addEventListener('abort', end);
			});
		},
	};
}
