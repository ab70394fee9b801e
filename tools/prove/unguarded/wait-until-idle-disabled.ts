/**
 * Shutdown step that does not wait for running requests.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
export * from '../../../src/daemon/wait-until-idle.js';

export async function waitUntilIdle(): Promise<boolean> {
	return true;
}
