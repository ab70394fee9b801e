/**
 * Engine client that waits forever for an unresponsive engine.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createEngineClient as createGuarded, type CreateEngineClientOptions, type EngineClient} from '../../../src/transport/engine-client.js';

export * from '../../../src/transport/engine-client.js';

export function createEngineClient(options: CreateEngineClientOptions): EngineClient {
	return createGuarded({...options, idleTimeoutMs: 0});
}
