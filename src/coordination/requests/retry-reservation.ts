/**
 * Decides before a call to an upstream is given up whether the request can go on
 * at another one, and reserves the retry.
 *
 * @module
 */
import {minRemainingMs} from '../load/remaining-time.js';
import type {RetryBudget} from '../load/retry-budget.js';
import {computeStallTimeoutMs} from '../streams/stall-timeout.js';

/** Options of {@linkcode createRetryReservation}. */
export type CreateRetryReservationOptions = {
	/** Maximum number of upstreams that may run the request. */
	readonly attempts: number;
	/** Returns the retry budget of the service; another one after the size of the fleet has changed. */
	readonly findBudget: () => RetryBudget;
	/** Returns true if another upstream may continue or replace the answer so far. */
	readonly mayRetry: () => boolean;
	/** Returns true if an upstream that was not tried yet may get the request now. */
	readonly hasCandidate: () => boolean;
	/** Returns the time in which a retry would have to be answered, in milliseconds. */
	readonly computeRemainingMs: () => number;
	/** Time that a retry needs at least to be worth giving up a call that was written the given time ago, in milliseconds. */
	readonly computeNeededMs: (runningMs: number) => number;
	/** Time that must be left to wait for an upstream after a call was given up, in milliseconds. */
	readonly minWaitRemainingMs: number;
};

/** Properties of the running call when it would be given up. */
export type ReserveRetryOptions = {
	readonly wasWritten: boolean;
	/** Time since the call was written, in milliseconds; 0 if it was not. */
	readonly runningMs: number;
};

/** Options of {@linkcode computeRetryNeededMs}. */
export type ComputeRetryNeededOptions = {
	/** Latency objective of the route, in milliseconds. */
	readonly objective: number;
	/** Time since the running call was written, in milliseconds. */
	readonly runningMs: number;
	/** True if the caller has got a part of the answer, with which another upstream goes on. */
	readonly hasBegun: boolean;
};

/** Attempts and retries of one request. */
export type RetryReservation = ReturnType<typeof createRetryReservation>;

/** What a call reached: no upstream, another one at the address, or the chosen one. */
export type ReachedUpstream = 'none' | 'other' | 'chosen';

/**
 * Computes the time that a retry needs to be worth giving up a call.
 *
 * An answer that must be produced anew takes at least as long as the running
 * call has had, as far as is known. A stream that has begun goes on from its last
 * event, but its next upstream may be silent for the stall timeout as well.
 *
 * @example
 * ```ts
 * computeRetryNeededMs({objective: 300, runningMs: 4000, hasBegun: false}); // 4000
 * ```
 *
 * @param options The objective, and what the running call has had and achieved
 * @returns The time in milliseconds
 */
export function computeRetryNeededMs({objective, runningMs, hasBegun}: ComputeRetryNeededOptions): number {
	return Math.max(minRemainingMs, objective, hasBegun ? computeStallTimeoutMs(objective) : runningMs);
}

/**
 * Creates the reservation of a request that was not sent yet.
 *
 * The route limits how many upstreams may run a request, so a refused connection
 * or another upstream at the address uses up no attempt. The retry budget limits
 * deliveries, which include those to another upstream at the address.
 *
 * @example
 * ```ts
 * while (reservation.tryBegin()) {
 * 	reservation.finish(await send(), {wasRejected: false});
 * }
 *
 * reservation.release();
 * ```
 *
 * @param options The limits on retries and the conditions of a retry
 * @returns The reservation
 */
export function createRetryReservation(options: CreateRetryReservationOptions) {
	const {
		attempts, findBudget, mayRetry, hasCandidate, computeRemainingMs, computeNeededMs, minWaitRemainingMs,
	} = options;
	let sends = 0;
	let deliveries = 0;
	/** Budget from which a retry is withdrawn for the next call. */
	let reservedFrom: RetryBudget | undefined;
	/** Budget from which the retry of the running call was withdrawn. */
	let usedFrom: RetryBudget | undefined;
	/** The running call is given up after it was written. */
	let isGivingUp = false;
	/** The last call that an upstream ran was given up. */
	let wasGivenUp = false;

	const hasTime = (runningMs: number): boolean => computeRemainingMs() >= computeNeededMs(runningMs);

	function tryWithdraw(): boolean {
		if (reservedFrom === undefined) {
			const budget = findBudget();
			reservedFrom = budget.tryWithdraw() ? budget : undefined;
		}

		return reservedFrom !== undefined;
	}

	return {
		/** Begins a call, with the reserved retry if there is one; returns false if no attempt or retry is left. */
		tryBegin(): boolean {
			if (sends >= attempts || (deliveries > 0 && !tryWithdraw())) {
				return false;
			}

			usedFrom = reservedFrom;
			reservedFrom = undefined;
			return true;
		},

		/**
		 * Records the end of the call. A retry that reached no upstream is kept for the
		 * next call. After a call that was given up, an upstream that did not run the
		 * request uses up no attempt, as nothing else could answer it.
		 */
		finish(reached: ReachedUpstream, {wasRejected}: {readonly wasRejected: boolean}): void {
			const isStillGivenUp = wasGivenUp && (wasRejected || reached !== 'chosen');
			sends += reached === 'chosen' && !isStillGivenUp ? 1 : 0;
			deliveries += reached === 'none' ? 0 : 1;
			if (reached === 'none') {
				reservedFrom ??= usedFrom;
			}

			usedFrom = undefined;
			wasGivenUp = isGivingUp || isStillGivenUp;
			isGivingUp = false;
		},

		/**
		 * Reserves the retry that follows the running call if that is given up now;
		 * returns false if there can be none. A call that was not written uses neither
		 * an attempt nor a retry.
		 */
		tryReserve({wasWritten, runningMs}: ReserveRetryOptions): boolean {
			const isPossible = sends + (wasWritten ? 1 : 0) < attempts && hasTime(runningMs) && mayRetry() && hasCandidate();
			const isReserved = isPossible && (!wasWritten || tryWithdraw());
			isGivingUp ||= isReserved && wasWritten;
			return isReserved;
		},

		/**
		 * Returns true if the request should wait for an upstream although none may get
		 * it now: its call was given up for another upstream, whose place was taken by
		 * other requests since.
		 */
		shouldWait: (): boolean => wasGivenUp && computeRemainingMs() >= minWaitRemainingMs,

		/** Gives back a retry that was not used. */
		release(): void {
			reservedFrom?.repay();
			reservedFrom = undefined;
		},
	};
}
