/**
 * Log client whose timeout of 1000 s is longer than any proof, so that it keeps
 * waiting for an unresponsive log.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createLogClient as createGuarded, type CreateLogClientOptions, type LogClient} from '../../../src/transport/log-client.js';

export * from '../../../src/transport/log-client.js';

const longTimeoutMs = 1_000_000;

export function createLogClient(options: CreateLogClientOptions): LogClient {
	return createGuarded({...options, timeoutMs: longTimeoutMs});
}
