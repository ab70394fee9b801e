/**
 * Whether a daemon that is gone or silent holds tokens of a budget.
 *
 * @module
 */
import type {LoanDesk} from './loan-desk.js';
import type {LogFollower} from './log-follower.js';
import type {Membership} from './membership.js';

/** Options of {@linkcode isHeldAway}. */
export type IsHeldAwayOptions = {readonly follower: LogFollower; readonly membership: Membership; readonly loans: LoanDesk};

/** @internal Grants of a daemon that does not answer, or that wait for its last reports. */
function isGrantedAway(budget: string, {follower, membership}: IsHeldAwayOptions): boolean {
	const {self} = membership;
	for (const grant of follower.state().ledger.listGrants()) {
		const isMine = grant.daemon === self.id && grant.incarnation === self.incarnation;
		const isAway = grant.waitsFor !== undefined || (!isMine && !membership.isAlive(grant.daemon));
		if (grant.budget === budget && isAway && grant.amount > grant.receipted) {
			return true;
		}
	}

	return false;
}

/** @internal A daemon may hold nothing but loans: when it dies, what it was lent is locked in the lender's own grants. */
function isLentAway(budget: string, {follower, membership, loans}: IsHeldAwayOptions): boolean {
	const {ledger} = follower.state();
	for (const grant of loans.findLentTo(daemon => !membership.isAlive(daemon))) {
		if (ledger.findGrant(grant)?.budget === budget) {
			return true;
		}
	}

	return false;
}

/**
 * Tells whether tokens of a budget are held by a daemon that is gone or
 * silent. While the log answers they come back within seconds of being needed.
 *
 * @example
 * ```ts
 * isHeldAway('city-1', {follower, membership, loans});
 * ```
 *
 * @param budget The budget
 * @param options The log, the peers and the loans
 * @returns True when tokens may come back
 */
export function isHeldAway(budget: string, options: IsHeldAwayOptions): boolean {
	return isGrantedAway(budget, options) || isLentAway(budget, options);
}
