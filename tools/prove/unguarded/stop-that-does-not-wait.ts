/**
 * Does not wait for running requests. For a proof without its guard.
 *
 * @module
 */
export * from '../../../src/daemon/wait-until-idle.js';

export async function waitUntilIdle(): Promise<boolean> {
	return true;
}
