/**
 * Ends a call to an upstream that makes no progress while the request can be
 * retried at another one.
 *
 * @module
 */
import {computeTimerMs, type Clock} from '../../transport/mod.js';

/** Options of {@linkcode createStallTimeout}. */
export type CreateStallTimeoutOptions = {
	/** Latency objective of the route, in milliseconds. */
	readonly objective: number;
	/** Returns true if the request can still be retried at another upstream. */
	readonly canRetry: () => boolean;
	readonly clock: Clock;
};

/** Ends a call that makes no progress. */
export type StallTimeout = ReturnType<typeof createStallTimeout>;

/** Time without progress after which a request is retried at another upstream, as a multiple of the route's latency objective. */
const stallTimeoutObjectives = 3;
/** Lower limit of the stall timeout. */
const minStallTimeoutMs = 1200;

/**
 * Starts the timeout of one call. The caller must call `clear` when the call ends.
 *
 * @example
 * ```ts
 * const stallTimeout = createStallTimeout({objective: 800, canRetry: () => true, clock});
 * stallTimeout.recordProgress();
 * stallTimeout.clear();
 * ```
 *
 * @param options The objective, the clock and whether the request can be retried
 * @returns The timeout, whose signal aborts the call
 */
export function createStallTimeout({objective, clock, canRetry}: CreateStallTimeoutOptions) {
	const timeoutMs = Math.max(minStallTimeoutMs, objective * stallTimeoutObjectives);
	const controller = new AbortController();
	const abort = () => {
		if (canRetry()) {
			controller.abort(new Error(`The upstream made no progress for ${timeoutMs} ms`));
		}
	};

	let lastProgressAt = clock.now();
	// The timer is rescheduled only when it fires, because a stream makes progress dozens of times a second.
	const checkProgress = () => {
		const remainingMs = lastProgressAt + timeoutMs - clock.now();
		if (remainingMs > 0) {
			timer = setTimeout(checkProgress, computeTimerMs(remainingMs));
		} else {
			abort();
		}
	};

	let timer = setTimeout(checkProgress, computeTimerMs(timeoutMs));
	return {
		signal: controller.signal,
		recordProgress() {
			lastProgressAt = clock.now();
		},
		clear() {
			clearTimeout(timer);
		},
	};
}
