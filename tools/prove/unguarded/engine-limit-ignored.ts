/**
 * Engine limit that ignores the token limit of the request.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
export * from '../../../src/coordination/upstreams/engine-limit.js';

export function readMaxTokens(): number {
	return Number.MAX_SAFE_INTEGER;
}
