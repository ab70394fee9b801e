/**
 * Lets an engine generate as much as it will. For a proof without its guard.
 *
 * @module
 */
export * from '../../../src/coordination/engine-limit.js';

export function readMaxTokens(): number {
	return Number.MAX_SAFE_INTEGER;
}
