/**
 * Never finds out what lost attempts cost. For a proof without its guard.
 *
 * @module
 */
import {createSettler as createGuarded, type CreateSettlerOptions, type Settler} from '../../../src/coordination/settler.js';

export * from '../../../src/coordination/settler.js';

export function createSettler(options: CreateSettlerOptions): Settler {
	return {
		...createGuarded(options),
		async run() {
			await Promise.resolve();
		},
	};
}
