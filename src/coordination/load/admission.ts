/**
 * Limits the number of concurrent requests at a gateway whose processor is
 * overloaded.
 *
 * A gateway that accepts more requests than its processor can handle delays
 * all of them, because each step of a request waits for the steps of all
 * others. Requests that it refuses immediately can still be served in time by
 * another gateway. Within the limit, customers and urgencies are admitted by
 * their shares; see docs/design/fair-admission.md.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../../protocol/mod.js';
import type {Clock} from '../../transport/mod.js';
import {createFairShares, type ShareRequest, type ShareStanding} from './fair-shares.js';
import type {PeerRoom} from './peer-room.js';
import {hasTimeLeft} from './remaining-time.js';
import {createRetrySchedule, type RefusedRequest} from './retry-schedule.js';
import {createRouteTimes} from './route-times.js';

/** Options of {@linkcode createAdmission}. */
export type CreateAdmissionOptions = {
	/** Returns the shortest latency objective of any route, in milliseconds. */
	readonly findShortestObjective: () => number;
	readonly clock: Pick<Clock, 'now'>;
	/** Counts the other gateways that are not leaving, and those of them that have room. */
	readonly countPeers: () => PeerRoom;
	/** Called when a limit comes into force or is removed. */
	readonly onChange: (change: {readonly isBounded: boolean; readonly running: number; readonly lagMs: number}) => void;
};

/** Properties of a request that decide on its admission. */
export type AdmissionRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Undefined if the route needs no customer. */
	readonly customer: string | undefined;
	/** ID of the route. */
	readonly route: string;
	/** Time for which the caller waits, in milliseconds. */
	readonly timeoutMs: number;
	/** Longest time since the request can have arrived, in milliseconds. */
	readonly elapsedMs: number;
};

/** Why a request is refused: its time is over; even the fastest recent request of its route took longer; its customer or urgency has had its share; no room for any. */
export const refusalReasons = ['expired', 'too-late', 'over-share', 'full'] as const;

/** Why a request is refused, see {@linkcode refusalReasons}. */
export type RefusalReason = typeof refusalReasons[number];

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
/** Share of the limit for requests whose customer has had its share. The rest stays free for those that have not: a fifth of 20 requests covers four arrivals between two ends. */
const surplusShare = 0.8;
/** The same for a retry, which goes before first attempts of its customer. */
const surplusRetryShare = 0.9;
/** The shares above fall by this for a customer that has had twice its share or more, because one that sends ten times as many requests would also find room first ten times as often. */
const maxSurplusReduction = 0.2;
/** Share of the limit for retries within their share: the caller has no further attempt. */
const retryShare = 1.1;
/** Share of the limit for the most urgent requests within their share, so that room for them is left when all others are refused. */
const urgentShare = 1.25;

/** @internal Returns the share of the limit that a request may use. */
function computeLimitShare({priority, isRetry}: ShareRequest, {isWithinShare, excessShare}: ShareStanding): number {
	if (!isWithinShare) {
		return (isRetry ? surplusRetryShare : surplusShare) - (maxSurplusReduction * Math.min(1, excessShare));
	}

	return priority === 0 ? urgentShare : (isRetry ? retryShare : 1);
}

/**
 * Creates an admission control without a limit.
 *
 * The limit follows the event loop lag: it is multiplied by a factor below one
 * during overload and raised by one per window while the lag is low (additive
 * increase, multiplicative decrease).
 *
 * @example
 * ```ts
 * const entered = admission.admit({priority: 0, customer: 'c', route: 'chat', timeoutMs: 4000, elapsedMs: 0});
 * if (entered.ok) {
 * 	entered.val(); // called when the request ends
 * }
 * ```
 *
 * @param options The clock, the shortest objective, the other gateways and the change callback
 * @returns The admission control
 */
export function createAdmission(options: CreateAdmissionOptions) {
	const {clock} = options;
	const shares = createFairShares(options);
	const retrySchedule = createRetrySchedule(options);
	const routeTimes = createRouteTimes(options);
	const refusals = new Map<RefusalReason, number>(refusalReasons.map(reason => [reason, 0]));
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

	const computeOverloadLagMs = () => Math.min(overloadLagRangeMs.max, Math.max(overloadLagRangeMs.min, options.findShortestObjective() * overloadLagShare));

	function updateLimit(lagMs: number): void {
		const overloadLagMs = computeOverloadLagMs();
		overloadsInRow = lagMs > overloadLagMs ? overloadsInRow + 1 : 0;
		if (overloadsInRow >= overloadWindows && running > minLimit) {
			setLimit(Math.max(minLimit, Math.min(limit, running) * decreaseFactor), lagMs);
		} else if (lagMs < overloadLagMs * recoveryLagShare && Number.isFinite(limit)) {
			setLimit(limit > (running * unlimitedFactor) + minLimit ? Number.POSITIVE_INFINITY : limit + 1, lagMs);
		}
	}

	function refuse(reason: RefusalReason, detail: string, refused: RefusedRequest): Result<never, Failure> {
		refusals.set(reason, refusals.get(reason)! + 1);
		return Err(createFailure('overloaded', detail, {retryAfterMs: retrySchedule.scheduleReturn(refused)}));
	}

	function start(route: string): () => void {
		const startedAt = clock.now();
		running += 1;
		return () => {
			running -= 1;
			retrySchedule.recordEnd();
			routeTimes.recordEnd(route, clock.now() - startedAt);
		};
	}

	return {
		/** Admits a request and returns a function to call when it ends, or refuses it with a retry-after time. */
		admit({priority, customer, route, timeoutMs, elapsedMs}: AdmissionRequest): Result<() => void, Failure> {
			const remainingMs = timeoutMs - elapsedMs;
			const isRetry = routeTimes.recordArrival(route, timeoutMs);
			if (!hasTimeLeft(timeoutMs, elapsedMs)) {
				const detail = `The request has no time left: it may have arrived ${Math.round(elapsedMs)} ms ago, and its timeout is ${timeoutMs} ms`;
				return refuse('expired', detail, {remainingMs, mayReturn: false, endsNeeded: 0});
			}

			const shareRequest: ShareRequest = {priority, customer, isRetry};
			shares.recordDemand(shareRequest, running / limit);
			if (Number.isFinite(limit) && running >= minLimit) {
				// A first attempt has the whole time of its route, and the last ends of a route may all be of requests that timed out.
				if (isRetry && routeTimes.isTooLate(route, remainingMs)) {
					const detail = `The request has ${Math.round(remainingMs)} ms left, and no recent request of its route was answered as fast`;
					return refuse('too-late', detail, {remainingMs, mayReturn: false, endsNeeded: 0});
				}

				const standing = shares.computeStanding(shareRequest);
				const ownLimit = limit * computeLimitShare(shareRequest, standing);
				if (running >= ownLimit) {
					const detail = `This gateway is overloaded with ${running} running requests`;
					const refused = {remainingMs, mayReturn: !isRetry, endsNeeded: Math.floor(running - ownLimit) + 1};
					return standing.isWithinShare
						? refuse('full', detail, refused)
						: refuse('over-share', `${detail}, and the customer has had its share of those of its priority`, refused);
				}
			}

			shares.recordAdmitted(shareRequest);
			return Ok(start(route));
		},

		/** Returns the number of refused requests by reason since the start. */
		listRefusals: () => [...refusals].map(([reason, count]) => ({reason, count})),
		/** Returns how many more requests of any priority and customer are admitted now; infinite while there is no limit. */
		countRoom: (): number => Math.max(minLimit, limit * surplusShare) - running,
		/** Returns true while there is a limit. */
		isOverloaded: () => Number.isFinite(limit),
		/** Returns true while the event loop lags under a limit, or has lagged for several windows without one: connections wait to be accepted, and neither the limit nor the running requests count them. */
		isLagging: () => overloadsInRow >= (Number.isFinite(limit) ? 1 : overloadWindows),
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
