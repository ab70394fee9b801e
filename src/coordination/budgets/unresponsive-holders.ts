/**
 * Determines whether a daemon that is gone or unresponsive holds tokens of a
 * budget.
 *
 * @module
 */
import type {LogFollower} from '../store/log-follower.js';
import type {Membership} from '../peers/membership.js';
import type {LoanManager} from './loan-manager.js';

/** Options of {@linkcode isHeldByUnresponsive}. */
export type IsHeldByUnresponsiveOptions = {readonly follower: LogFollower; readonly membership: Membership; readonly loans: LoanManager};

/** @internal Returns true if an unresponsive daemon holds a grant, or a closed grant waits for final reports. */
function isGrantedToUnresponsive(budget: string, {follower, membership}: IsHeldByUnresponsiveOptions): boolean {
	const {self} = membership;
	for (const grant of follower.state().ledger.listGrants()) {
		const isMine = grant.daemon === self.id && grant.incarnation === self.incarnation;
		const isLocked = grant.waitsFor !== undefined || (!isMine && !membership.isAlive(grant.daemon));
		if (grant.budget === budget && isLocked && grant.amount > grant.receipted) {
			return true;
		}
	}

	return false;
}

/**
 * @internal Returns true if this daemon lent tokens to an unresponsive one,
 * which may hold no grant itself. If it fails, the tokens stay locked in the grants of
 * the lender.
 */
function isLentToUnresponsive(budget: string, {follower, membership, loans}: IsHeldByUnresponsiveOptions): boolean {
	const {ledger} = follower.state();
	for (const grant of loans.findGrantsLentTo(daemon => !membership.isAlive(daemon))) {
		if (ledger.findGrant(grant)?.budget === budget) {
			return true;
		}
	}

	return false;
}

/**
 * Returns true if a daemon that is gone or unresponsive holds tokens of a
 * budget. While the log is available, such tokens are reclaimed within seconds
 * of being needed.
 *
 * @example
 * ```ts
 * isHeldByUnresponsive('city-1', {follower, membership, loans});
 * ```
 *
 * @param budget The budget
 * @param options The log, the peers and the loans
 * @returns True if tokens may be reclaimed
 */
export function isHeldByUnresponsive(budget: string, options: IsHeldByUnresponsiveOptions): boolean {
	return isGrantedToUnresponsive(budget, options) || isLentToUnresponsive(budget, options);
}
