/**
 * Membership that fetches no log records from peers.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createMembership as createGuarded, type CreateMembershipOptions, type Membership} from '../../../src/coordination/peers/membership.js';

export * from '../../../src/coordination/peers/membership.js';

export function createMembership(options: CreateMembershipOptions): Membership {
	return {...createGuarded(options), fetchRecords: async () => undefined};
}
