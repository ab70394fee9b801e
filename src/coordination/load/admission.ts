/**
 * Limits the number of concurrent requests at a gateway whose processor is
 * overloaded.
 *
 * A gateway that accepts more requests than its processor can handle delays
 * all of them, because each step of a request waits for the steps of all
 * others. Requests that it refuses immediately can still be served in time by
 * another gateway.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../../protocol/mod.js';
import {hasTimeLeft} from './remaining-time.js';

/** Options of {@linkcode createAdmission}. */
export type CreateAdmissionOptions = {
	/** Returns the shortest latency objective of any route, in milliseconds. */
	readonly findShortestObjective: () => number;
	/** Returns a random number between 0 and 1. */
	readonly random: () => number;
	/** Called when a limit comes into force or is removed. */
	readonly onChange: (change: {readonly isBounded: boolean; readonly running: number; readonly lagMs: number}) => void;
};

/** Properties of a request that decide on its admission. */
export type AdmissionRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time for which the caller waits, in milliseconds. */
	readonly timeoutMs: number;
	/** Longest time since the request can have arrived, in milliseconds. */
	readonly elapsedMs: number;
};

/** Limits the number of concurrent requests. */
export type Admission = ReturnType<typeof createAdmission>;

/** Event loop lag that counts as overload, as a share of the shortest objective: a request takes several iterations of the loop. */
const overloadLagShare = 0.25;
/** Limits of the lag that counts as overload: a single long iteration stays below the minimum, and any caller notices the maximum. */
const overloadLagRangeMs = {min: 60, max: 100} as const;
/** Lag below which the limit is raised, as a share of the lag that counts as overload. */
const recoveryLagShare = 0.4;
/** Consecutive overloaded windows that lower the limit; a single pause of the process affects only one. */
const overloadWindows = 2;
const decreaseFactor = 0.85;
/** Number of concurrent requests that are always admitted. */
const minLimit = 4;
/** The limit is removed when it exceeds the running requests by about this factor. */
const unlimitedFactor = 2;
/** Share of the limit for each priority, the most urgent first. The last also applies to all lower priorities. */
const priorityShares = [1.25, 1, 0.8] as const;
/** Range of the retry-after time; the retry reaches another gateway. */
const retryAfterRangeMs = {min: 200, max: 600} as const;
/** Upper limit of the retry-after time, as a share of the time for which the caller waits. */
const retryAfterShare = 0.25;

/**
 * Creates an admission control without a limit.
 *
 * The limit follows the event loop lag: it is multiplied by a factor below one
 * during overload and raised by one per window while the lag is low (additive
 * increase, multiplicative decrease).
 *
 * @example
 * ```ts
 * const entered = admission.admit({priority: 0, timeoutMs: 4000, elapsedMs: 0});
 * if (entered.ok) {
 * 	entered.val(); // called when the request ends
 * }
 * ```
 *
 * @param options The shortest objective and the change callback
 * @returns The admission control
 */
export function createAdmission(options: CreateAdmissionOptions) {
	let running = 0;
	let limit = Number.POSITIVE_INFINITY;
	let overloadsInRow = 0;
	let lastLagMs = 0;

	function setLimit(next: number, lagMs: number): void {
		const wasLimited = Number.isFinite(limit);
		limit = next;
		if (Number.isFinite(limit) !== wasLimited) {
			options.onChange({isBounded: !wasLimited, running, lagMs: Math.round(lagMs)});
		}
	}

	function updateLimit(lagMs: number): void {
		const overloadLagMs = Math.min(overloadLagRangeMs.max, Math.max(overloadLagRangeMs.min, options.findShortestObjective() * overloadLagShare));
		overloadsInRow = lagMs > overloadLagMs ? overloadsInRow + 1 : 0;
		if (overloadsInRow >= overloadWindows && running > minLimit) {
			setLimit(Math.max(minLimit, Math.min(limit, running) * decreaseFactor), lagMs);
		} else if (lagMs < overloadLagMs * recoveryLagShare && Number.isFinite(limit)) {
			setLimit(limit > (running * unlimitedFactor) + minLimit ? Number.POSITIVE_INFINITY : limit + 1, lagMs);
		}
	}

	function chooseRetryAfterMs(timeoutMs: number): number {
		const {min, max} = retryAfterRangeMs;
		return Math.round(Math.min(timeoutMs * retryAfterShare, min + (options.random() * (max - min))));
	}

	return {
		/** Admits a request and returns a function to call when it ends, or refuses it with a retry-after time. */
		admit({priority, timeoutMs, elapsedMs}: AdmissionRequest): Result<() => void, Failure> {
			if (!hasTimeLeft(timeoutMs, elapsedMs)) {
				const detail = `The request has no time left: it may have arrived ${Math.round(elapsedMs)} ms ago, and its timeout is ${timeoutMs} ms`;
				return Err(createFailure('overloaded', detail, {retryAfterMs: chooseRetryAfterMs(timeoutMs)}));
			}

			const share = priorityShares[Math.min(priority, priorityShares.length - 1)]!;
			if (running >= minLimit && running >= limit * share) {
				return Err(createFailure('overloaded', `This gateway is overloaded with ${running} running requests`, {retryAfterMs: chooseRetryAfterMs(timeoutMs)}));
			}

			running += 1;
			return Ok(() => {
				running -= 1;
			});
		},

		/** Returns how many more requests of any priority are admitted now; infinite while there is no limit. */
		countRoom: (): number => Math.max(minLimit, limit * priorityShares.at(-1)!) - running,
		/** Returns true while there is a limit. */
		isOverloaded: () => Number.isFinite(limit),
		/** Returns the maximum number of concurrent requests; infinite while there is no limit. */
		getLimit: () => limit,
		/** Returns the maximum event loop lag of the last window, in whole milliseconds. */
		getLagMs: () => Math.round(lastLagMs),

		/** Records the maximum event loop lag of the last window, in milliseconds, and adjusts the limit. */
		recordLag(lagMs: number): void {
			lastLagMs = lagMs;
			updateLimit(lagMs);
		},
	};
}
