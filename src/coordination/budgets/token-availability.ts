/**
 * Determines whether tokens that a request lacks may become available, and
 * how the request is refused if they do not.
 *
 * @module
 */
import {createFailure, type EventLog, type Failure} from '../../protocol/mod.js';
import type {GrantHolder} from '../../state/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import type {Membership} from '../peers/membership.js';
import {isHeldByUnresponsive} from './unresponsive-holders.js';
import type {LoanManager, LoanSearch} from './loan-manager.js';

/** Options of {@linkcode createTokenAvailability}. */
export type CreateTokenAvailabilityOptions = {
	readonly follower: LogFollower;
	readonly membership: Membership;
	readonly holder: GrantHolder;
	readonly loans: LoanManager;
	readonly events: EventLog;
};

/** Checks whether missing tokens may become available at one entry daemon. */
export type TokenAvailability = ReturnType<typeof createTokenAvailability>;

/** Retry delay for a caller whose budget is used up. */
const spentRetryAfterMs = 30_000;
/** Retry delay for a caller whose tokens are in use or cannot be reached. */
const busyRetryAfterMs = 2000;

/**
 * Creates the check of token availability of an entry daemon.
 *
 * @example
 * ```ts
 * availability.mayBecomeAvailable('city-1', 338, {reserved: 0, isComplete: false}); // true
 * ```
 *
 * @param options Log, peers, grants and loans
 * @returns The check
 */
export function createTokenAvailability(options: CreateTokenAvailabilityOptions) {
	const {follower, holder, events} = options;

	function countRemaining(budget: string): number {
		return Math.max(0, follower.state().ledger.computeRemaining(budget));
	}

	// A claim sized before the request arrived may not cover it although enough tokens are ungranted.
	function isClaimable(budget: string, amount: number): boolean {
		return holder.countFreeTokens(budget) + countRemaining(budget) >= amount;
	}

	return {
		/** Returns true if tokens that a request lacks may become free while it waits. */
		mayBecomeAvailable(budget: string, amount: number, {reserved, isComplete}: LoanSearch): boolean {
			// A peer that has just failed still counts as alive but does not answer, which makes the search incomplete.
			const isInFlight = holder.countReservedTokens(budget) + reserved > 0 || !isComplete;
			return isInFlight || (follower.isLogUp() && (isClaimable(budget, amount) || isHeldByUnresponsive(budget, options)));
		},

		/** Refuses a request, with the long retry delay only if no remaining tokens of the budget could cover it. */
		refuse(budget: string, amount: number, isBusy: boolean): Failure {
			const remaining = countRemaining(budget);
			const free = holder.countFreeTokens(budget) + remaining;
			const isOutOfReach = isClaimable(budget, amount) || isHeldByUnresponsive(budget, options);
			events.write('budgetShort', {
				budget, amount, free: holder.countFreeTokens(budget), remaining, reserved: holder.countReservedTokens(budget), isBusy, isOutOfReach, isLogUp: follower.isLogUp(),
			});
			if (isBusy) {
				return createFailure('budget-busy', `Budget "${budget}" has ${free} tokens free and the request may need ${amount}; running requests or unresponsive daemons hold the remainder`, {
					retryAfterMs: busyRetryAfterMs,
				});
			}

			return isOutOfReach
				? createFailure('budget-busy', `Budget "${budget}" has tokens left that this daemon cannot use now; the request may need ${amount}`, {retryAfterMs: busyRetryAfterMs})
				: createFailure('budget-spent', `Budget "${budget}" has ${free} tokens left and the request may need ${amount}`, {retryAfterMs: spentRetryAfterMs});
		},
	};
}
