/**
 * When each start of an upstream was known to run.
 *
 * An upstream may start again under its ID and address with another software
 * version, and a gateway may read its new registration late. A process that ran
 * both before and after an exchange took part in it.
 *
 * @module
 */
import type {UpstreamRegistration} from '../protocol/mod.js';
import type {UpstreamStart} from './upstream-departures.js';

/** A start that can be told apart from others of its upstream. */
export type KnownStart = UpstreamStart & {readonly startedAt: number};

/** When each start of an upstream was known to run. */
export type UpstreamStarts = ReturnType<typeof createUpstreamStarts>;

type StartHistory = {
	/** When each start was last known to run, the latest entry last. */
	readonly aliveAt: Map<number, number>;
	/** When a connection to the upstream was last lost or refused. */
	doubtedAt: number;
	/** Starts after which the upstream is known to have started again. */
	readonly replaced: Set<number>;
	/** Software version that each start registered. */
	readonly versions: Map<number, string | undefined>;
	/** Whether the process that answers can be asked for its start; undefined if it was not asked. */
	hasReport: boolean | undefined;
	/** When it last left the request for its report unanswered; undefined once it has answered. */
	reportFailedAt: number | undefined;
};

/** Maximum number of upstreams that are remembered; the one that was recorded first is evicted first. */
const maxUpstreams = 2000;
/** Maximum number of starts of one upstream; those recorded first ended longer ago than streams last. */
const maxStarts = 8;

/** @internal */
function evictOldest(entries: Map<unknown, unknown> | Set<unknown>, maxCount: number): void {
	if (entries.size > maxCount) {
		entries.delete(entries.keys().next().value);
	}
}

/**
 * Returns the start that a registration names.
 *
 * @example
 * ```ts
 * findKnownStart({id: 'i-7', startedAt: 1000}); // {id: 'i-7', startedAt: 1000}
 * ```
 *
 * @param registration The registration
 * @returns The start; undefined if the registration names none
 */
export function findKnownStart({id, startedAt}: Pick<UpstreamRegistration, 'id' | 'startedAt'>): KnownStart | undefined {
	return startedAt === undefined ? undefined : {id, startedAt};
}

/**
 * Creates an empty record. All times are in milliseconds of one monotonic clock.
 *
 * @example
 * ```ts
 * const starts = createUpstreamStarts();
 * starts.recordAlive({id: 'i-7', startedAt: 1000}, 20);
 * starts.wasAlive({id: 'i-7', startedAt: 1000}, 10); // true
 * ```
 *
 * @returns The record
 */
export function createUpstreamStarts() {
	const histories = new Map<string, StartHistory>();

	function ensureHistory(id: string): StartHistory {
		const history = histories.get(id) ?? {
			aliveAt: new Map(), doubtedAt: Number.NEGATIVE_INFINITY, replaced: new Set(), versions: new Map(), hasReport: undefined, reportFailedAt: undefined,
		};
		histories.delete(id);
		histories.set(id, history);
		evictOldest(histories, maxUpstreams);
		return history;
	}

	const findAliveAt = ({id, startedAt}: KnownStart): number => histories.get(id)?.aliveAt.get(startedAt) ?? Number.NEGATIVE_INFINITY;

	// A process that was known to run after a connection to it was lost has not ended with that connection.
	function isInDoubt(start: KnownStart): boolean {
		const doubtedAt = histories.get(start.id)?.doubtedAt ?? Number.NEGATIVE_INFINITY;
		return doubtedAt > Number.NEGATIVE_INFINITY && findAliveAt(start) < doubtedAt;
	}

	const isReplaced = ({id, startedAt}: KnownStart): boolean => histories.get(id)?.replaced.has(startedAt) ?? false;

	return {
		/** Records that a start ran at `at` or later. */
		recordAlive(start: KnownStart, at: number): void {
			const {aliveAt} = ensureHistory(start.id);
			const knownAt = findAliveAt(start);
			aliveAt.delete(start.startedAt);
			aliveAt.set(start.startedAt, Math.max(knownAt, at));
			evictOldest(aliveAt, maxStarts);
		},

		/** Records the software version that a start registered. */
		recordVersion({id, startedAt}: KnownStart, softwareVersion: string | undefined): void {
			const {versions} = ensureHistory(id);
			versions.set(startedAt, softwareVersion);
			evictOldest(versions, maxStarts);
		},

		/**
		 * Returns true if a start of the upstream that may have followed `start` is known
		 * to have registered another version. That is any other start: the clock of the
		 * upstream's host may go back across a restart.
		 */
		hasLaterVersion: ({id, startedAt}: KnownStart, softwareVersion: string | undefined): boolean =>
			[...histories.get(id)?.versions ?? []].some(([other, version]) => other !== startedAt && version !== softwareVersion),

		/** Records that a connection to an upstream was lost or refused, so that its process may have ended. */
		recordDoubt(id: string, at: number): void {
			ensureHistory(id).doubtedAt = at;
		},

		/** Records that the upstream has started again after this start, which is final. */
		recordReplaced({id, startedAt}: KnownStart): void {
			const {replaced} = ensureHistory(id);
			replaced.add(startedAt);
			evictOldest(replaced, maxStarts);
		},

		/** Records whether the upstream can be asked for its start. */
		recordReport(id: string, {isOffered}: {readonly isOffered: boolean}): void {
			const history = ensureHistory(id);
			history.hasReport = isOffered;
			history.reportFailedAt = undefined;
		},

		/** Records that the upstream has not answered the request for its report. */
		recordReportFailure(id: string, at: number): void {
			ensureHistory(id).reportFailedAt = at;
		},

		/** Returns when the upstream last left the request for its report unanswered; undefined if it has answered since. */
		getReportFailedAt: (id: string): number | undefined => histories.get(id)?.reportFailedAt,

		/** Returns whether the upstream can be asked for its start; undefined if it has not answered yet. */
		hasReport: (id: string): boolean | undefined => histories.get(id)?.hasReport,

		/** Returns true if a start is known to have run at `since` or later. */
		wasAlive: (start: KnownStart, since: number): boolean => findAliveAt(start) >= since,

		isInDoubt,
		/** Returns when a connection to an upstream was last lost or refused. */
		getDoubtedAt: (id: string): number => histories.get(id)?.doubtedAt ?? Number.NEGATIVE_INFINITY,
		isReplaced,

		/**
		 * Returns true if the process that answers for an upstream may be the one that
		 * wrote its registration, or can be asked whether it is.
		 */
		mayMatch(registration: Pick<UpstreamRegistration, 'id' | 'startedAt'>): boolean {
			const start = findKnownStart(registration);
			return start === undefined || !(isReplaced(start) || (histories.get(start.id)?.hasReport === false && isInDoubt(start)));
		},
	};
}
