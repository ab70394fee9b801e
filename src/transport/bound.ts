/**
 * Bounds on calls, by time and by other signals.
 *
 * @module
 */

/** A signal that ends a call, and what must be called when the call has ended. */
export type Bound = {
	readonly signal: AbortSignal;
	/** Frees the timer and the listeners. */
	readonly clear: () => void;
};

/**
 * Creates a bound.
 *
 * `AbortSignal.any` over `AbortSignal.timeout` holds its sources weakly, and on
 * Node.js 20 a timeout collected that way never fires: a call on a silent
 * connection then waits for good. Here a timer holds the controller until
 * `clear` is called.
 *
 * @example
 * ```ts
 * const bound = createBound(3000, [callerSignal]);
 * try {
 * 	await request(url, {signal: bound.signal});
 * } finally {
 * 	bound.clear();
 * }
 * ```
 *
 * @param span Milliseconds after which the signal is aborted
 * @param signals Other signals that abort it; default none
 * @returns The bound
 */
export function createBound(span: number, signals: readonly AbortSignal[] = []): Bound {
	const controller = new AbortController();
	const abort = () => {
		controller.abort(new Error(`The bound of ${Math.round(span)} ms passed or the call was given up`));
	};

	const timer = setTimeout(abort, Math.max(1, span));
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
 * Joins signals into one that is aborted with the first of them, and that is
 * not collected as one of `AbortSignal.any` can be on Node.js 20.
 *
 * @example
 * ```ts
 * const joined = joinSignals([stopSignal, silenceSignal]);
 * ```
 *
 * @param signals The signals
 * @returns The joined signal
 */
export function joinSignals(signals: readonly AbortSignal[]): Bound {
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
 * await waitUnlessAborted(reserve(), caller.signal); // undefined once the caller has left
 * ```
 *
 * @param pending The value to come
 * @param signal Ends the wait
 * @returns The value; undefined when the signal was aborted first
 */
export async function waitUnlessAborted<Value>(pending: Promise<Value>, signal: AbortSignal): Promise<Value | undefined> {
	let stop: () => void = () => undefined;
	const aborted = new Promise<undefined>(resolve => {
		stop = () => {
			resolve(undefined);
		};

		signal.addEventListener('abort', stop);
		if (signal.aborted) {
			stop();
		}
	});
	try {
		return await Promise.race([pending, aborted]);
	} finally {
		signal.removeEventListener('abort', stop);
	}
}
