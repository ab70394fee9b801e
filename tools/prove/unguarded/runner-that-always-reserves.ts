/**
 * Reserves tokens for each sending, also of a request that has run. For a
 * proof without its guard.
 *
 * @module
 */
import {createAttemptRunner as createGuarded, type AttemptRunner, type CreateAttemptRunnerOptions} from '../../../src/coordination/attempt-runner.js';

export * from '../../../src/coordination/attempt-runner.js';

export function createAttemptRunner(options: CreateAttemptRunnerOptions): AttemptRunner {
	return {...createGuarded(options), attach: () => undefined};
}
