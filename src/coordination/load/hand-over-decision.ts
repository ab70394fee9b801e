/**
 * Decides whether a gateway hands a new connection over to another gateway.
 *
 * Load: a load balancer may hand all connections of one customer to one small
 * gateway, also those of callers who try again. Closing them unread, or
 * refusing their requests, then serves nobody, while larger gateways have
 * processor time to spare. Relaying a connection takes less
 * processor time than serving it.
 *
 * @module
 */
import type {HandOverOffer} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {PeerBreaker} from './peer-breaker.js';

/** Another gateway that takes connections. */
export type HandOverCandidate = HandOverOffer & {readonly failureDomain: string};

/** Options of {@linkcode createHandOverDecision}. */
export type CreateHandOverDecisionOptions = {
	/** Failure domain of this gateway, whose gateways come first. */
	readonly failureDomain: string;
	readonly clock: Pick<Clock, 'now'>;
	/** Returns a number from 0 to 1. */
	readonly random: () => number;
	/** Returns the maximum number of requests that run here; infinite while there is no limit. */
	readonly getLimit: () => number;
	/** Returns how many more requests this gateway can run. */
	readonly countRoom: () => number;
	/** Returns true while connections wait here to be accepted, with or without a limit. */
	readonly isLagging: () => boolean;
	/** Returns the addresses of the connections that are handed over now, one for each. */
	readonly listOpen: () => readonly string[];
	/** Keeps connections from gateways that do not accept them. */
	readonly breaker: Pick<PeerBreaker, 'canSelect' | 'hasFailed' | 'recordSelected'>;
	readonly listCandidates: () => readonly HandOverCandidate[];
};

/** Decides about hand-overs. */
export type HandOverDecision = ReturnType<typeof createHandOverDecision>;

/** Connections that are handed over at a time for each request that may run here: relaying is assumed to take a third of the processor time of serving. */
const maxOpenPerRequest = 3;
/** Connections that may always be handed over at a time: a gateway that has no time to accept connections runs few requests. */
const minOpen = 32;
/** Assumed processor time of a request, in thousandths of a core. */
const requestMillicores = 10;
/** A gateway with less to spare takes no connections: it would be overloaded by the next few requests. */
export const minSpareMillicores = 5 * requestMillicores;
/** Share of a processor up to which a gateway takes connections of others, so that a burst of its own callers still finds room. */
const maxBusyShare = 0.6;
/** Time after which the load of a connection handed over is part of what its gateway advertises. */
const viewDelayMs = 1000;
const millicoresPerCore = 1000;

/**
 * Computes the processor time that a gateway can give to connections of others.
 *
 * @example
 * ```ts
 * computeSpareMillicores({busyShare: 0.2, cores: 1.35}); // 540
 * ```
 *
 * @param load The share of time in which the event loop is busy, and the processor cores
 * @returns Thousandths of a core; 0 if it takes none
 */
export function computeSpareMillicores({busyShare, cores}: {readonly busyShare: number; readonly cores: number}): number {
	const spare = Math.floor((maxBusyShare - busyShare) * cores * millicoresPerCore);
	return spare >= minSpareMillicores ? spare : 0;
}

/** @internal Picks a candidate with a probability in proportion to what it has to spare. */
function pickCandidate(candidates: readonly HandOverCandidate[], random: number): HandOverCandidate | undefined {
	let rest = random * candidates.reduce((sum, {spareMillicores}) => sum + spareMillicores, 0);
	for (const candidate of candidates) {
		rest -= candidate.spareMillicores;
		if (rest < 0) {
			return candidate;
		}
	}

	return candidates.at(-1);
}

/**
 * Creates the decision.
 *
 * @example
 * ```ts
 * const handOver = createHandOverDecision(options);
 * handOver.select(0)?.address; // '10.0.0.2:7341'
 * ```
 *
 * @param options The room here and the other gateways
 * @returns The decision
 */
export function createHandOverDecision({failureDomain, clock, random, getLimit, countRoom, isLagging, listOpen, breaker, listCandidates}: CreateHandOverDecisionOptions) {
	/** Connections handed over within the time in which their gateways' advertisements do not include them; the oldest comes first. */
	const recent: Array<{readonly address: string; readonly at: number}> = [];

	function countRecent(address: string): number {
		while (recent.length > 0 && recent[0]!.at <= clock.now() - viewDelayMs) {
			recent.shift();
		}

		return recent.filter(item => item.address === address).length;
	}

	function listWithSpare(): HandOverCandidate[] {
		return listCandidates()
			.filter(({address}) => breaker.canSelect(address))
			.map(candidate => ({...candidate, spareMillicores: candidate.spareMillicores - (countRecent(candidate.address) * requestMillicores)}))
			.filter(({spareMillicores}) => spareMillicores >= minSpareMillicores);
	}

	/** Connections to a gateway that no longer accepts any stay open until their callers leave, and take no processor time. */
	const countOpen = () => listOpen().filter(address => !breaker.hasFailed(address)).length;
	const computeMaxOpen = () => Math.max(minOpen, Number.isFinite(getLimit()) ? getLimit() * maxOpenPerRequest : 0);
	const isSaturated = () => countOpen() >= computeMaxOpen();

	function isActive(): boolean {
		return (Number.isFinite(getLimit()) || isLagging()) && !isSaturated();
	}

	return {
		/** Selects the gateway that gets the next connection; undefined if it stays here. `awaiting` is the number of accepted connections whose first request has not been read. */
		select(awaiting: number): HandOverCandidate | undefined {
			if (!isActive() || (countRoom() > awaiting && !isLagging())) {
				return undefined;
			}

			const candidates = listWithSpare();
			const near = candidates.filter(candidate => candidate.failureDomain === failureDomain);
			const selected = pickCandidate(near.length > 0 ? near : candidates, random());
			if (selected) {
				breaker.recordSelected(selected.address);
				recent.push({address: selected.address, at: clock.now()});
			}

			return selected;
		},

		/**
		 * Returns how many more requests this gateway can run. It is none while connections wait to be accepted and no more of
		 * them can be handed over: those that wait behind would be accepted only when their callers have left.
		 */
		countRoom: (): number => isLagging() && isSaturated() ? 0 : countRoom(),

		/** Returns the number of gateways to which the next connection can be handed over. */
		countOffers: (): number => listWithSpare().length,

		/** Returns true if the next connection without room would be handed over. */
		canHandOver: (): boolean => isActive() && listWithSpare().length > 0,
	};
}
