/**
 * Waits for a silent log for good. For a proof without its guard.
 *
 * @module
 */
import {createLogClient as createGuarded, type CreateLogClientOptions, type LogClient} from '../../../src/transport/log-client.js';

export * from '../../../src/transport/log-client.js';

const longWait = 1_000_000;

export function createLogClient(options: CreateLogClientOptions): LogClient {
	return createGuarded({...options, timeoutMs: longWait});
}
