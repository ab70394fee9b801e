/**
 * Request table that reports every request as unknown, so that a retry runs again.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createRequestTable as createGuarded, type CreateRequestTableOptions, type RequestTable} from '../../../src/state/request-table.js';

export * from '../../../src/state/request-table.js';

export function createRequestTable(options: CreateRequestTableOptions): RequestTable {
	return {...createGuarded(options), get: () => ({kind: 'unknown'})};
}
