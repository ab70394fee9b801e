/**
 * Takes every confirmation, whatever it rests on and however often it comes. For a proof without its guard.
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
