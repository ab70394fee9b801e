/**
 * Service runner that runs every call without obtaining a permit from the log.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createServiceRunner as createGuarded, type CreateServiceRunnerOptions, type ServiceRunner} from '../../../src/coordination/requests/service-runner.js';

export * from '../../../src/coordination/requests/service-runner.js';

export function createServiceRunner(options: CreateServiceRunnerOptions): ServiceRunner {
	return {
		...createGuarded(options),
		async obtainPermit() {
			return {kind: 'mine'};
		},
	};
}
