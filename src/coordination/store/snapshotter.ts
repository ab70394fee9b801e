/**
 * Appends snapshots to the log well before its retention drops the records that
 * they contain.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {Membership} from '../peers/membership.js';
import {rankByRendezvous} from '../peers/rendezvous.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';

/** Options of {@linkcode startSnapshotter}. */
export type StartSnapshotterOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly events: EventLog;
	/** Number of records between two snapshots. */
	readonly recordsPerSnapshot: number;
};

/** Delay per rank, as a share of the number of records between two snapshots. */
const rankDelayFactor = 0.5;

/**
 * Starts appending snapshots as records are folded.
 *
 * Any daemon may append a snapshot, and duplicates are harmless. Live entry daemons
 * are ranked: the first appends a snapshot after the configured number of records,
 * each further one half that number later, unless a snapshot was recorded by then.
 *
 * @example
 * ```ts
 * const stop = startSnapshotter({follower, writer, membership, events, recordsPerSnapshot: 2000});
 * ```
 *
 * @param options The log and the peers
 * @returns A function that stops appending snapshots
 */
export function startSnapshotter(options: StartSnapshotterOptions): () => void {
	const {follower, writer, membership, events, recordsPerSnapshot} = options;
	let recordsSinceSnapshot = 0;

	function computeThreshold(): number {
		const live = membership.listLiveEntries(follower.state().placement.list()).map(member => member.daemon);
		const rank = rankByRendezvous('snapshot', [...live, membership.self.id]).indexOf(membership.self.id);
		return recordsPerSnapshot * (1 + (rank * rankDelayFactor));
	}

	async function appendSnapshot(): Promise<void> {
		const state = follower.state().buildSnapshot();
		const result = await writer.append([{kind: 'snapshot', upTo: state.next, state}]);
		if (result.ok) {
			events.write('snapshotAppended', {next: state.next});
		}
	}

	return follower.events.on('folded', ({data}) => {
		recordsSinceSnapshot = data.kind === 'snapshot' ? 0 : recordsSinceSnapshot + 1;
		if (recordsSinceSnapshot >= computeThreshold()) {
			recordsSinceSnapshot = 0;
			void appendSnapshot();
		}
	});
}
