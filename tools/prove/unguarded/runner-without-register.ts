/**
 * Runs every call without asking the log. For a proof without its guard.
 *
 * @module
 */
import {createServiceRunner as createGuarded, type CreateServiceRunnerOptions, type ServiceRunner} from '../../../src/coordination/service-runner.js';

export * from '../../../src/coordination/service-runner.js';

export function createServiceRunner(options: CreateServiceRunnerOptions): ServiceRunner {
	return {
		...createGuarded(options),
		async obtainPermit() {
			return {kind: 'mine'};
		},
	};
}
