/**
 * Configuration that accepts every confirmation, whatever version the plan is
 * based on and even if it was confirmed before.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createConfiguration as createGuarded, type Configuration, type ConfigurationSnapshot} from '../../../src/state/configuration.js';

export * from '../../../src/state/configuration.js';

export function createConfiguration(snapshot?: ConfigurationSnapshot): Configuration {
	const configuration = createGuarded(snapshot);
	return {
		...configuration,
		foldConfirm(record, offset) {
			const plan = configuration.findPlan(record.plan);
			if (plan) {
				Object.assign(plan, {state: 'open', basis: configuration.version()});
			}

			return configuration.foldConfirm(record, offset);
		},
	};
}
