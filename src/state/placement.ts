/**
 * The current incarnation of each daemon, folded from the log.
 *
 * Ownership read from here is only a routing hint; the order of records in the
 * log is authoritative. Ending an incarnation in the log fences it, as epochs
 * do in the jaque cluster design (docs/DECISIONS.md).
 *
 * @module
 */
import type {Join, RecordOf} from '../protocol/mod.js';
import {formatIncarnationId} from './ledger.js';

/** The current incarnation of a daemon. */
export type Member = Join & {offset: number};

/** Serialisable form of the placement. */
export type PlacementSnapshot = {members: Member[]};

/** An incarnation that has ended; `graceful` means that the log has all its receipts. */
export type EndedIncarnation = {readonly member: Member; readonly graceful: boolean};

/** Current incarnations of all daemons; each `fold…` method applies one log record. */
export type Placement = ReturnType<typeof createPlacement>;

/**
 * Creates the placement.
 *
 * @example
 * ```ts
 * const placement = createPlacement();
 * placement.isCurrent('up-1', 'i-1'); // false
 * ```
 *
 * @param snapshot Snapshot to start from; default empty
 * @returns The placement
 */
export function createPlacement(snapshot?: PlacementSnapshot) {
	const members = new Map(snapshot?.members.map(member => [member.daemon, member]));

	function listUpstreams(): Member[] {
		return [...members.values()].filter(member => member.role === 'upstream');
	}

	return {
		/** Folds a join and returns the incarnation that it ended, if any. */
		foldJoin(record: Join, offset: number): EndedIncarnation | undefined {
			const previous = members.get(record.daemon);
			if (previous?.incarnation === record.incarnation) {
				return undefined;
			}

			members.set(record.daemon, {...record, offset});
			return previous && {member: previous, graceful: false};
		},

		/** Folds a leave and returns the incarnation that it ended, if any. */
		foldLeave(record: RecordOf<'leave'>): EndedIncarnation | undefined {
			const previous = members.get(record.daemon);
			if (previous?.incarnation !== record.incarnation) {
				return undefined;
			}

			members.delete(record.daemon);
			return {member: previous, graceful: record.graceful};
		},

		isCurrent: (daemon: string, incarnation: string): boolean => members.get(daemon)?.incarnation === incarnation,
		get: (daemon: string): Readonly<Member> | undefined => members.get(daemon),
		list: (): Iterable<Readonly<Member>> => members.values(),
		listUpstreams,
		listUpstreamIncarnations: (): string[] => listUpstreams().map(member => formatIncarnationId(member.daemon, member.incarnation)),
		buildSnapshot: (): PlacementSnapshot => ({members: [...members.values()]}),
	};
}
