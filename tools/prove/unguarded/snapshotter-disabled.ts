/**
 * Snapshotter that appends no snapshots.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
export * from '../../../src/coordination/store/snapshotter.js';

export function startSnapshotter(): () => void {
	return () => undefined;
}
