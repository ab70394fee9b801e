/**
 * Request table that removes failed requests, so that a retry runs them again.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createRequestTable as createGuarded, type CreateRequestTableOptions, type RequestTable} from '../../../src/state/request-table.js';

export * from '../../../src/state/request-table.js';

export function createRequestTable(options: CreateRequestTableOptions): RequestTable {
	const table = createGuarded(options);
	return {
		...table,
		close(request) {
			if (request.failure) {
				table.remove(request);
			} else {
				table.close(request);
			}
		},
	};
}
