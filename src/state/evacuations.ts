/**
 * Failure domains whose upstreams get no requests because operators evacuate
 * them.
 *
 * The log orders evacuations and returns: of two records of a failure domain,
 * the one of the later epoch or else with the higher offset holds. Records may
 * therefore arrive in any order and from any source, and time plays no part.
 *
 * @module
 */
import type {LogEpoch} from '../protocol/mod.js';

/** Whether a failure domain is evacuated, as of a record in the log. */
export type DomainState = {
	readonly failureDomain: string;
	/** Offset of the record in the log. */
	readonly offset: number;
	/** Epoch of the log in which the record has its offset. */
	readonly epoch?: LogEpoch;
	readonly isEvacuated: boolean;
};

/** Evacuated failure domains. */
export type Evacuations = ReturnType<typeof createEvacuations>;

type KnownState = DomainState & {readonly changedAt: number};

/** Time for which a return is announced to peers; a gateway that is cut off for longer keeps avoiding the failure domain. */
const returnAnnouncementMs = 60_000;
/** Maximum number of states sent to peers, the newest first, so that a gossip entry fits into a datagram. */
const maxAnnouncedStates = 16;

/** @internal A record whose epoch is not stated precedes all others. */
function isLater(left: Pick<DomainState, 'epoch' | 'offset'>, right: Pick<DomainState, 'epoch' | 'offset'>): boolean {
	return left.epoch === right.epoch ? left.offset > right.offset : (left.epoch ?? Number.NEGATIVE_INFINITY) > (right.epoch ?? Number.NEGATIVE_INFINITY);
}

/**
 * Creates an empty collection.
 *
 * @example
 * ```ts
 * const evacuations = createEvacuations();
 * evacuations.merge({failureDomain: 'zone-a', offset: 7, isEvacuated: true}, 0);
 * evacuations.isEvacuated('zone-a'); // true
 * ```
 *
 * @returns The collection
 */
export function createEvacuations() {
	const states = new Map<string, KnownState>();

	return {
		/** Stores a state at the time `now`. Returns true if it changes whether the failure domain is evacuated. */
		merge(state: DomainState, now: number): boolean {
			const {failureDomain, isEvacuated} = state;
			const known = states.get(failureDomain);
			if (known && !isLater(state, known)) {
				return false;
			}

			const hasChanged = (known?.isEvacuated ?? false) !== isEvacuated;
			states.set(failureDomain, {
				...state, changedAt: hasChanged || !known ? now : known.changedAt,
			});
			return hasChanged;
		},

		isEvacuated: (failureDomain: string): boolean => states.get(failureDomain)?.isEvacuated ?? false,

		/** Returns when this process received the record of the failure domain's return; undefined if there is none. */
		findReturnedAt(failureDomain: string): number | undefined {
			const known = states.get(failureDomain);
			return known && !known.isEvacuated ? known.changedAt : undefined;
		},

		listEvacuated: (): string[] => [...states.values()].filter(({isEvacuated}) => isEvacuated).map(({failureDomain}) => failureDomain),

		/** Lists the states that peers may not know yet, at the time `now`. */
		listAnnounced: (now: number): DomainState[] => [...states.values()]
			.filter(({isEvacuated, changedAt}) => isEvacuated || now - changedAt < returnAnnouncementMs)
			.sort((left, right) => isLater(left, right) ? -1 : 1)
			.slice(0, maxAnnouncedStates)
			.map(({changedAt, ...state}) => state),
	};
}
