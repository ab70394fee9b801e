/**
 * Estimates how long a request waited in the buffers of the operating system
 * before this process read it.
 *
 * The system does not tell when data arrived. A process whose event loop stalls
 * reads seconds of requests at once, and each of them would otherwise seem to
 * have arrived that very moment.
 *
 * @module
 */
import type {Clock} from './clock.js';

/** Options of {@linkcode createReadDelayEstimator}. */
export type CreateReadDelayEstimatorOptions = {
	readonly clock: Clock;
	/** Interval at which `recordTick` is called while the event loop is idle, in milliseconds. */
	readonly tickIntervalMs: number;
	/** Calls back once the event loop has next polled its connections; default `setImmediate`. */
	readonly runAfterPoll?: (callback: () => void) => void;
};

/** Estimates how long requests waited to be read. */
export type ReadDelayEstimator = ReturnType<typeof createReadDelayEstimator>;

type AcceptedConnection = {readonly acceptedAt: number; readonly delayMs: number};

/**
 * Creates an estimator. Its estimates are upper bounds: a request that was read
 * may have arrived at any time since the event loop last polled.
 *
 * @example
 * ```ts
 * const readDelay = createReadDelayEstimator({clock, tickIntervalMs: 100});
 * setInterval(readDelay.recordTick, 100);
 * server.on('connection', readDelay.recordAccept);
 * server.on('request', ({socket}) => readDelay.estimateMs(socket));
 * ```
 *
 * @param options The clock and the interval of ticks
 * @returns The estimator
 */
export function createReadDelayEstimator({clock, tickIntervalMs, runAfterPoll = setImmediate}: CreateReadDelayEstimatorOptions) {
	/** All data that arrived before this time has been read, and all connections accepted. */
	let polledAt = clock.now();
	/** Connections on which no request has been read yet. */
	const accepted = new WeakMap<WeakKey, AcceptedConnection>();

	// An idle event loop polls all the time, but only ticks show that it does.
	function computeDelayMs(): number {
		return Math.max(0, clock.now() - polledAt - tickIntervalMs);
	}

	return {
		/** Records that the event loop runs; to be called by a timer. */
		recordTick(): void {
			const now = clock.now();
			runAfterPoll(() => {
				polledAt = now;
			});
		},

		/** Records a connection that was accepted. */
		recordAccept(connection: WeakKey): void {
			accepted.set(connection, {acceptedAt: clock.now(), delayMs: computeDelayMs()});
		},

		/** Returns the longest time, in milliseconds, for which a request that was just read on a connection may have waited. */
		estimateMs(connection: WeakKey): number {
			const accept = accepted.get(connection);
			accepted.delete(connection);
			// A connection is first read one iteration of the event loop after it was accepted, so its first request may have
			// waited for as long as the connection.
			return accept && accept.acceptedAt >= polledAt
				? Math.max(computeDelayMs(), accept.delayMs + clock.now() - accept.acceptedAt)
				: computeDelayMs();
		},
	};
}
