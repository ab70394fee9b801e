/**
 * Estimates when a caller that a stopping gateway refuses can be served again.
 *
 * @module
 */
import type {PeerView} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createRetryAfterEstimator}. */
export type CreateRetryAfterEstimatorOptions = {
	readonly clock: Clock;
	/** Returns the longest time that a gateway takes to stop, in milliseconds. */
	readonly findMaxStopMs: () => number;
};

/** Estimates the retry-after time for callers. */
export type RetryAfterEstimator = ReturnType<typeof createRetryAfterEstimator>;

/** Retry-after time while another gateway accepts requests, because a new connection goes there. */
const otherGatewayRetryMs = 100;
/** Time allowed from the end of a gateway's process until its successor serves requests. It takes about 1.1 s, most of it before the process starts. */
const restartMs = 1200;

/**
 * Creates an estimator that does not know of any other gateway yet.
 *
 * Callers retry only once or twice, so a request whose caller retries too
 * early fails for good. While all gateways are replaced at once, the first to
 * serve again is the one that began to stop first.
 *
 * @example
 * ```ts
 * estimator.recordView(view);
 * estimator.estimate(views.list(), {ownRemainingMs: 4800});
 * ```
 *
 * @param options The clock and the longest time that a stop takes
 * @returns The estimator
 */
export function createRetryAfterEstimator({clock, findMaxStopMs}: CreateRetryAfterEstimatorOptions) {
	const stops = new Map<string, {readonly incarnation: string; readonly since: number}>();

	// A gateway that no longer answers has ended, and its successor is starting.
	function estimatePeerMs(since: number, isAnswering: boolean): number {
		return isAnswering ? Math.max(0, since + findMaxStopMs() - clock.now()) + restartMs : restartMs;
	}

	// A gateway that was removed for good never restarts, so its stop expires after the time that a restart takes at most.
	function dropExpiredStops(): void {
		for (const [daemon, {since}] of stops) {
			if (clock.now() - since > findMaxStopMs() + (2 * restartMs)) {
				stops.delete(daemon);
			}
		}
	}

	return {
		/** Records the state that a gateway reports about itself. */
		recordView({daemon, incarnation, isLeaving}: PeerView): void {
			if (!isLeaving) {
				stops.delete(daemon);
			} else if (stops.get(daemon)?.incarnation !== incarnation) {
				stops.set(daemon, {incarnation, since: clock.now()});
			}
		},

		/** Returns the milliseconds until a gateway accepts requests, given the gateways that answer and the time that this gateway's stop still takes. */
		estimate(views: readonly PeerView[], {ownRemainingMs}: {readonly ownRemainingMs: number}): number {
			if (views.some(({isLeaving}) => !isLeaving)) {
				return otherGatewayRetryMs;
			}

			dropExpiredStops();
			const answering = new Set(views.map(({daemon}) => daemon));
			const peerEstimates = [...stops].map(([daemon, {since}]) => estimatePeerMs(since, answering.has(daemon)));
			return Math.min(ownRemainingMs + restartMs, ...peerEstimates);
		},
	};
}
