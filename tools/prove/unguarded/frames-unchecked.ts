/**
 * Passes every frame on. For a proof without its guard.
 *
 * @module
 */
export * from '../../../src/coordination/frame-check.js';

export function isWantedFrame(): boolean {
	return true;
}

export function isWholeAnswer(): boolean {
	return true;
}
