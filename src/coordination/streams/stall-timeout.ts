/**
 * Ends a call to an upstream that makes no progress once a retry at another one
 * is reserved.
 *
 * @module
 */
import {computeTimerMs, type Clock} from '../../transport/mod.js';

/** Options of {@linkcode createStallTimeout}. */
export type CreateStallTimeoutOptions = {
	/** Latency objective of the route, in milliseconds. */
	readonly objective: number;
	/** Reserves a retry at another upstream; returns false while there can be none. */
	readonly tryReserveRetry: () => boolean;
	/** Called with an exception of `tryReserveRetry`, which ends the call. */
	readonly onError: (error: Error) => void;
	readonly clock: Clock;
};

/** Ends a call that makes no progress. */
export type StallTimeout = ReturnType<typeof createStallTimeout>;

/** Time without progress after which a request is retried at another upstream, as a multiple of the route's latency objective. */
const stallTimeoutObjectives = 3;
/** Lower limit of the stall timeout. */
const minStallTimeoutMs = 1200;
/** Time after which a retry is asked for again: an upstream or the retry budget may have become free. */
const retryCheckIntervalMs = 250;

/**
 * Computes the time without progress after which a call may be given up.
 *
 * @example
 * ```ts
 * computeStallTimeoutMs(800); // 2400
 * ```
 *
 * @param objective Latency objective of the route, in milliseconds
 * @returns The time in milliseconds
 */
export function computeStallTimeoutMs(objective: number): number {
	return Math.max(minStallTimeoutMs, objective * stallTimeoutObjectives);
}

/**
 * Starts the timeout of one call. The caller must call `clear` when the call ends.
 *
 * While no retry can be reserved, silence ends nothing: an engine that is short
 * of memory preempts a request for seconds and then goes on.
 *
 * @example
 * ```ts
 * const stallTimeout = createStallTimeout({objective: 800, tryReserveRetry: () => true, onError, clock});
 * stallTimeout.recordProgress();
 * stallTimeout.clear();
 * ```
 *
 * @param options The objective, the clock and the reservation of a retry
 * @returns The timeout, whose signal aborts the call
 */
export function createStallTimeout({objective, clock, tryReserveRetry, onError}: CreateStallTimeoutOptions) {
	const timeoutMs = computeStallTimeoutMs(objective);
	const controller = new AbortController();
	let lastProgressAt = clock.now();

	// Nothing catches what a timer throws: it would end the process.
	const findReason = (): Error | undefined => {
		try {
			return tryReserveRetry() ? new Error(`The upstream made no progress for ${timeoutMs} ms`) : undefined;
		} catch (error) {
			onError(error as Error);
			return error as Error;
		}
	};

	// The timer is rescheduled only when it fires, because a stream makes progress dozens of times a second.
	const checkProgress = () => {
		const remainingMs = lastProgressAt + timeoutMs - clock.now();
		if (remainingMs > 0) {
			timer = setTimeout(checkProgress, computeTimerMs(remainingMs));
			return;
		}

		const reason = findReason();
		if (reason) {
			controller.abort(reason);
		} else {
			timer = setTimeout(checkProgress, retryCheckIntervalMs);
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
