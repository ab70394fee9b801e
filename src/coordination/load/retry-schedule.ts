/**
 * Schedules when refused callers may return.
 *
 * Load: a gateway that is full refuses hundreds of callers within a second. If
 * all get the same time they return together and are refused again, and
 * each has only two attempts. Refused callers are therefore given times in
 * order, spaced by the rate at which requests end here.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import {createDecayClock} from './decayed-count.js';
import {hasRoomElsewhere, type PeerRoom} from './peer-room.js';

/** Options of {@linkcode createRetrySchedule}. */
export type CreateRetryScheduleOptions = {
	readonly clock: Pick<Clock, 'now'>;
	/** Counts the other gateways that are not leaving, and those of them that have room. */
	readonly countPeers: () => PeerRoom;
};

/** A refused request. */
export type RefusedRequest = {
	/** Time for which the caller still waits, in milliseconds. */
	readonly remainingMs: number;
	/** True if the caller will return; a caller that was refused twice does not. */
	readonly mayReturn: boolean;
	/** Number of requests that have to end before there is room for one like it. */
	readonly endsNeeded: number;
};

/** Schedules the returns of refused callers. */
export type RetrySchedule = ReturnType<typeof createRetrySchedule>;

/** Shortest retry-after time: callers that return sooner find the same requests still running. */
export const minRetryAfterMs = 50;
/** Callers ignore a retry-after time above this share of their remaining time. */
export const maxRetryAfterShare = 1 / 3;
/** The longest time is a multiple of this, because the header has two decimals, and a time that is rounded up there would be ignored. */
const retryAfterStepMs = 10;
/** Longest retry-after time while most other gateways have room: the retry probably reaches one of them, and half of the shortest objective (400 ms) is left for the answer. */
const maxRetryElsewhereMs = 200;
/** Longest time ahead that the order can reach: a third of the longest timeout (15 s), and one interval. */
const maxOrderMs = 6000;
/** The rate of ends is measured over about this time, which is shorter than the longest retry-after time (5 s for a timeout of 15 s). */
const rateWindowMs = 4000;
/** Assumed time between ends before any request has ended; a request takes about this long. */
const maxIntervalMs = 1000;
/** Largest step through the range of times: multiples of the golden ratio do not coincide while the range holds fewer callers than the rate allows. */
const maxPhaseStep = 0.382;

/**
 * Creates a schedule without refused callers.
 *
 * @example
 * ```ts
 * schedule.scheduleReturn({remainingMs: 3000, mayReturn: true, endsNeeded: 2}); // 200, if a request ends every 100 ms
 * ```
 *
 * @param options The clock and the other gateways
 * @returns The schedule
 */
export function createRetrySchedule({clock, countPeers}: CreateRetryScheduleOptions) {
	const decay = createDecayClock(rateWindowMs);
	let ended = 0;
	let nextAt = Number.NEGATIVE_INFINITY;
	let phase = 0;

	function findIntervalMs(): number {
		ended *= decay.advance(clock.now());
		return Math.min(maxIntervalMs, rateWindowMs / ended);
	}

	// Spreads callers over a range if their place in the order lies beyond what they would wait.
	function spread(rangeMs: number, intervalMs: number): number {
		phase = (phase + Math.min(maxPhaseStep, intervalMs / Math.max(1, rangeMs))) % 1;
		return minRetryAfterMs + (phase * rangeMs);
	}

	return {
		/** Records that a request ended and made room. */
		recordEnd(): void {
			ended = (ended * decay.advance(clock.now())) + 1;
		},

		/** Returns the retry-after time of a refused caller, in milliseconds. */
		scheduleReturn({remainingMs, mayReturn, endsNeeded}: RefusedRequest): number {
			const maxMs = Math.max(minRetryAfterMs, Math.floor(remainingMs * maxRetryAfterShare / retryAfterStepMs) * retryAfterStepMs);
			if (!mayReturn) {
				return minRetryAfterMs;
			}

			const intervalMs = findIntervalMs();
			const peers = countPeers();
			if (hasRoomElsewhere(peers)) {
				const rangeMs = Math.min(maxMs, maxRetryElsewhereMs) - minRetryAfterMs;
				return Math.floor(spread(rangeMs, intervalMs / (1 + peers.withRoom)));
			}

			const now = clock.now();
			const earliestAt = now + Math.max(minRetryAfterMs, endsNeeded * intervalMs);
			// A clock that jumped back leaves the order far ahead; it starts again from now.
			const at = nextAt > now + maxOrderMs ? earliestAt : Math.max(nextAt, earliestAt);
			if (at - now > maxMs) {
				return Math.floor(spread(maxMs - minRetryAfterMs, intervalMs));
			}

			nextAt = at + intervalMs;
			return Math.floor(at - now);
		},
	};
}
