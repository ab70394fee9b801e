/**
 * Time, as the coordination layer sees it. Measurements put their own in.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';

/** Time, in milliseconds. */
export type Clock = {
	/** Milliseconds that never go backwards. */
	readonly now: () => number;
	/** Waits; ends early, without an error, when the signal is aborted. */
	readonly sleep: (span: number, signal?: AbortSignal) => Promise<void>;
};

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
			try {
				await wait(span, undefined, {signal});
			} catch {
				// Aborted: the caller looks at the signal itself.
			}
		},
	};
}
