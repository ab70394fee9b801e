/**
 * Appends snapshots to the log well before its retention drops what they hold.
 *
 * @module
 */
import type {EventLog} from '../protocol/mod.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';
import type {Membership} from './membership.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@linkcode createSnapshotter}. */
export type CreateSnapshotterOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly events: EventLog;
	/** Records between two snapshots. */
	readonly every: number;
};

const rankFactor = 0.5;

/**
 * Starts appending snapshots as records are folded.
 *
 * Any daemon may append one, and a second copy is harmless: the first live
 * entry in the order does it at the bound, each further one half a bound later.
 *
 * @example
 * ```ts
 * const stop = startSnapshotter({follower, writer, membership, events, every: 2000});
 * ```
 *
 * @param options Log and peers
 * @returns Stops it
 */
export function startSnapshotter(options: CreateSnapshotterOptions): () => void {
	const {follower, writer, membership, events, every} = options;
	let since = 0;

	function computeBound(): number {
		const live = membership.listLiveEntries(follower.state().placement.list()).map(member => member.daemon);
		const rank = rankByRendezvous('snapshot', [...live, membership.self.id]).indexOf(membership.self.id);
		return every * (1 + (rank * rankFactor));
	}

	async function appendSnapshot(): Promise<void> {
		const state = follower.state().buildSnapshot();
		const result = await writer.append([{kind: 'snapshot', upTo: state.next, state}]);
		if (result.ok) {
			events.write('snapshotAppended', {next: state.next});
		}
	}

	return follower.events.on('folded', ({data}) => {
		since = data.kind === 'snapshot' ? 0 : since + 1;
		if (since >= computeBound()) {
			since = 0;
			void appendSnapshot();
		}
	});
}
