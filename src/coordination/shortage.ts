/**
 * Whether tokens that a request lacks may still come, and what its caller is
 * told if they do not.
 *
 * @module
 */
import {createFailure, type EventLog, type Failure} from '../protocol/mod.js';
import type {GrantHolder} from '../state/mod.js';
import {isHeldAway} from './held-away.js';
import type {LoanDesk, LoanSearch} from './loan-desk.js';
import type {LogFollower} from './log-follower.js';
import type {Membership} from './membership.js';

/** Options of {@linkcode createShortage}. */
export type CreateShortageOptions = {
	readonly follower: LogFollower;
	readonly membership: Membership;
	readonly holder: GrantHolder;
	readonly loans: LoanDesk;
	readonly events: EventLog;
};

/** Judges shortages of tokens at one entry daemon. */
export type Shortage = ReturnType<typeof createShortage>;

/** When a caller may come back whose budget is used up, in milliseconds. */
const spentRetryAfter = 30_000;
/** When a caller may come back whose tokens are in use or out of reach, in milliseconds. */
const busyRetryAfter = 2000;

/**
 * Creates the judge of an entry daemon's shortages.
 *
 * @example
 * ```ts
 * shortage.mayEnd('city-1', 338, {reserved: 0, isComplete: false}); // true
 * ```
 *
 * @param options Log, peers, grants and loans
 * @returns The judge
 */
export function createShortage(options: CreateShortageOptions) {
	const {follower, holder, events} = options;

	function countRemaining(budget: string): number {
		return Math.max(0, follower.state().ledger.computeRemaining(budget));
	}

	// A claim that was sized before the request came may have left it short of what nobody holds.
	function isClaimable(budget: string, amount: number): boolean {
		return holder.countFree(budget) + countRemaining(budget) >= amount;
	}

	return {
		/** Tells whether tokens that a request lacks may become free while it waits. */
		mayEnd(budget: string, amount: number, {reserved, isComplete}: LoanSearch): boolean {
			// A peer that has just died still counts as alive and does not say what it holds.
			const isInFlight = holder.countReserved(budget) + reserved > 0 || !isComplete;
			return isInFlight || (follower.isLogUp() && (isClaimable(budget, amount) || isHeldAway(budget, options)));
		},

		/** Refuses a request: for long only if nothing that is left of the budget could cover it. */
		refuse(budget: string, amount: number, isBusy: boolean): Failure {
			const remaining = countRemaining(budget);
			const free = holder.countFree(budget) + remaining;
			const isOutOfReach = isClaimable(budget, amount) || isHeldAway(budget, options);
			events.write('budgetShort', {
				budget, amount, free: holder.countFree(budget), remaining, reserved: holder.countReserved(budget), isBusy, isOutOfReach, isLogUp: follower.isLogUp(),
			});
			if (isBusy) {
				return createFailure('budget-busy', `Budget "${budget}" has ${free} tokens free and the request may need ${amount}; running requests or silent daemons hold the rest`, {
					retryAfterMs: busyRetryAfter,
				});
			}

			return isOutOfReach
				? createFailure('budget-busy', `Budget "${budget}" has tokens left that cannot be used here now; the request may need ${amount}`, {retryAfterMs: busyRetryAfter})
				: createFailure('budget-spent', `Budget "${budget}" has ${free} tokens left and the request may need ${amount}`, {retryAfterMs: spentRetryAfter});
		},
	};
}
