/**
 * Abort signals that combine a timeout and other signals.
 *
 * @module
 */

import {computeTimerMs} from './clock.js';

/** An abort signal for a call; `clear` must be called when the call has ended. */
export type ClearableSignal = {
	readonly signal: AbortSignal;
	/** Removes the timer and the listeners. */
	readonly clear: () => void;
};

/**
 * Creates a signal that is aborted after a timeout or with any of the given
 * signals.
 *
 * `AbortSignal.any` references its sources weakly. On Node.js 20 an
 * `AbortSignal.timeout` among them can be garbage collected and then never
 * fires, so that a call on an unresponsive connection waits forever. Here the
 * timer keeps the controller reachable until `clear` is called.
 *
 * @example
 * ```ts
 * const timeout = createTimeoutSignal(3000, [callerSignal]);
 * try {
 * 	await request(url, {signal: timeout.signal});
 * } finally {
 * 	timeout.clear();
 * }
 * ```
 *
 * @param timeoutMs Milliseconds after which the signal is aborted; at least 1
 * @param signals Other signals that abort it; default none
 * @returns The signal, and a function that releases its resources
 */
export function createTimeoutSignal(timeoutMs: number, signals: readonly AbortSignal[] = []): ClearableSignal {
	const controller = new AbortController();
	const abort = () => {
		controller.abort(new Error(`The call was aborted or exceeded its timeout of ${Math.round(timeoutMs)} ms`));
	};

	const timer = setTimeout(abort, computeTimerMs(Math.max(1, timeoutMs)));
	for (const signal of signals) {
		if (signal.aborted) {
			abort();
		}

		signal.addEventListener('abort', abort);
	}

	return {
		signal: controller.signal,
		clear() {
			clearTimeout(timer);
			for (const signal of signals) {
				signal.removeEventListener('abort', abort);
			}
		},
	};
}

/**
 * Joins signals into one that is aborted with the first of them, for the same
 * reason. Unlike a signal of `AbortSignal.any` on Node.js 20, it is not garbage
 * collected while a source can still abort it.
 *
 * @example
 * ```ts
 * const joined = joinSignals([stopSignal, idleSignal]);
 * ```
 *
 * @param signals The signals
 * @returns The joined signal, and a function that removes its listeners
 */
export function joinSignals(signals: readonly AbortSignal[]): ClearableSignal {
	const controller = new AbortController();
	const abort = (event: Event) => {
		controller.abort((event.target as AbortSignal).reason);
	};

	for (const signal of signals) {
		if (signal.aborted) {
			controller.abort(signal.reason);
		}

		signal.addEventListener('abort', abort);
	}

	return {
		signal: controller.signal,
		clear() {
			for (const signal of signals) {
				signal.removeEventListener('abort', abort);
			}
		},
	};
}

/**
 * Waits for a value until a signal is aborted.
 *
 * @example
 * ```ts
 * await waitUnlessAborted(reserve(), caller.signal); // undefined if the caller disconnects first
 * ```
 *
 * @param pending The promise to wait for
 * @param signal Ends the wait
 * @returns The value, or undefined if the signal was aborted first
 */
export async function waitUnlessAborted<Value>(pending: Promise<Value>, signal: AbortSignal): Promise<Value | undefined> {
	let resolveAborted: () => void = () => undefined;
	const aborted = new Promise<undefined>(resolve => {
		resolveAborted = () => {
			resolve(undefined);
		};

		signal.addEventListener('abort', resolveAborted);
		if (signal.aborted) {
			resolveAborted();
		}
	});
	try {
		return await Promise.race([pending, aborted]);
	} finally {
		signal.removeEventListener('abort', resolveAborted);
	}
}
