/**
 * Bounds the requests that run at a gateway whose processor is full.
 *
 * A gateway that takes more than its processor can serve is late with all of
 * it: each step of each request waits for the steps of all others. Requests
 * that it refuses at once can be served elsewhere in time.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';
/** Options of {@linkcode createAdmission}. */
export type CreateAdmissionOptions = {
	/** The shortest objective of any route, in milliseconds. */
	readonly findObjective: () => number;
	/** Draws a number from 0 to 1. */
	readonly random: () => number;
	/** Called when the bound changes from or to none. */
	readonly onChange: (change: {readonly isBounded: boolean; readonly running: number; readonly lagMs: number}) => void;
};

/** What a request asks for. */
export type AdmissionAsk = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Milliseconds that the caller waits. */
	readonly patience: number;
};

/** Bounds the requests that run. */
export type Admission = ReturnType<typeof createAdmission>;

/** Share of the shortest objective by which the event loop of a full gateway is late: a request takes several of its turns. */
const fullShare = 0.25;
/** Bounds on what counts as late, in milliseconds: a single long turn, and what any caller notices. */
const fullRange = {least: 60, most: 100} as const;
/** An event loop late by less than this share of what counts as full has room. */
const freeShare = 0.4;
/** Full rounds in a row that lower the bound; a pause of the process shows in one. */
const fullRounds = 2;
const decreaseShare = 0.85;
/** Requests that may always run. */
const leastBound = 4;
/** A bound this many times what runs binds no more. */
const looseFactor = 2;
/** Share of the bound for each priority, the most urgent first; the last also for those after it. */
const priorityShares = [1.25, 1, 0.8] as const;
/** When a caller may come back, in milliseconds; it finds another gateway. */
const returnRange = {least: 200, most: 600} as const;
/** Share of its patience after which a caller comes back at the latest. */
const returnShare = 0.25;

/**
 * Creates an admission without a bound.
 *
 * The bound follows the lateness of the event loop: it is lowered by a share
 * while that is too late and raised by one while there is room (additive
 * increase, multiplicative decrease).
 *
 * @example
 * ```ts
 * const entered = admission.enter({priority: 0, patience: 4000});
 * if (entered.ok) {
 * 	entered.val(); // leaves
 * }
 * ```
 *
 * @param options The routes, and what is told of changes
 * @returns The admission
 */
export function createAdmission(options: CreateAdmissionOptions) {
	let running = 0;
	let bound = Number.POSITIVE_INFINITY;
	let fullInRow = 0;
	let lastLag = 0;

	function setBound(next: number, lagMs: number): void {
		const wasBounded = Number.isFinite(bound);
		bound = next;
		if (Number.isFinite(bound) !== wasBounded) {
			options.onChange({isBounded: !wasBounded, running, lagMs: Math.round(lagMs)});
		}
	}

	function decideBound(lag: number): void {
		const fullLag = Math.min(fullRange.most, Math.max(fullRange.least, options.findObjective() * fullShare));
		fullInRow = lag > fullLag ? fullInRow + 1 : 0;
		if (fullInRow >= fullRounds && running > leastBound) {
			setBound(Math.max(leastBound, Math.min(bound, running) * decreaseShare), lag);
		} else if (lag < fullLag * freeShare && Number.isFinite(bound)) {
			setBound(bound > (running * looseFactor) + leastBound ? Number.POSITIVE_INFINITY : bound + 1, lag);
		}
	}

	function estimateReturn(patience: number): number {
		const {least, most} = returnRange;
		return Math.round(Math.min(patience * returnShare, least + (options.random() * (most - least))));
	}

	return {
		/** Takes a request, or says when to come back; what is returned ends its stay. */
		enter({priority, patience}: AdmissionAsk): Result<() => void, Failure> {
			const share = priorityShares[Math.min(priority, priorityShares.length - 1)]!;
			if (running >= leastBound && running >= bound * share) {
				return Err(createFailure('overloaded', `This gateway runs ${running} requests and is full`, {retryAfterMs: estimateReturn(patience)}));
			}

			running += 1;
			return Ok(() => {
				running -= 1;
			});
		},

		/** Requests that may run; infinite while nothing binds. */
		countBound: () => bound,
		/** How late the event loop was at most in the last round, in whole milliseconds. */
		countLag: () => Math.round(lastLag),

		/** Takes how late the event loop was at most in the last round, in milliseconds. */
		noteLag(lag: number): void {
			lastLag = lag;
			decideBound(lag);
		},
	};
}
