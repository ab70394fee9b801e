/**
 * Appends no snapshots. For a proof without its guard.
 *
 * @module
 */
export * from '../../../src/coordination/snapshotter.js';

export function startSnapshotter(): () => void {
	return () => undefined;
}
