/**
 * Forgets failed requests, as if they could be run again. For a proof without its guard.
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
