/**
 * Attempt runner that reserves tokens for each attempt, even if the request has
 * already run.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createAttemptRunner as createGuarded, type AttemptRunner, type CreateAttemptRunnerOptions} from '../../../src/coordination/requests/attempt-runner.js';

export * from '../../../src/coordination/requests/attempt-runner.js';

export function createAttemptRunner(options: CreateAttemptRunnerOptions): AttemptRunner {
	return {...createGuarded(options), attach: () => undefined};
}
