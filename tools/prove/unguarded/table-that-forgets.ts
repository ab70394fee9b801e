/**
 * Finds no request again. For a proof without its guard.
 *
 * @module
 */
import {createRequestTable as createGuarded, type CreateRequestTableOptions, type RequestTable} from '../../../src/state/request-table.js';

export * from '../../../src/state/request-table.js';

export function createRequestTable(options: CreateRequestTableOptions): RequestTable {
	return {...createGuarded(options), get: () => ({kind: 'unknown'})};
}
