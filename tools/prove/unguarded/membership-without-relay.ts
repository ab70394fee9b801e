/**
 * Takes no records from peers. For a proof without its guard.
 *
 * @module
 */
import {createMembership as createGuarded, type CreateMembershipOptions, type Membership} from '../../../src/coordination/membership.js';

export * from '../../../src/coordination/membership.js';

export function createMembership(options: CreateMembershipOptions): Membership {
	return {...createGuarded(options), fetchRecords: async () => undefined};
}
