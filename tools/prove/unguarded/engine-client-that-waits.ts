/**
 * Waits for a silent engine for good. For a proof without its guard.
 *
 * @module
 */
import {createEngineClient as createGuarded, type CreateEngineClientOptions, type EngineClient} from '../../../src/transport/engine-client.js';

export * from '../../../src/transport/engine-client.js';

export function createEngineClient(options: CreateEngineClientOptions): EngineClient {
	return createGuarded({...options, idleTimeoutMs: 0});
}
