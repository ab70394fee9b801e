/**
 * Passes every frame on. For a proof without its guard.
 *
 * @module
 */
export * from '../../../src/coordination/frame-check.js';

export function isExpectedFrame(): boolean {
	return true;
}

export function isCompleteAnswer(): boolean {
	return true;
}
