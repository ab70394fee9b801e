/**
 * What one entry has seen of the upstreams it sends requests to.
 *
 * @module
 */
import type {Member} from '../state/mod.js';
import type {Membership} from './membership.js';
import type {RouteCandidate} from './routing-policy.js';

/** Options of {@linkcode createRouteBook}. */
export type CreateRouteBookOptions = {
	readonly membership: Membership;
	readonly failureDomain: string;
	readonly listUpstreams: () => readonly Member[];
};

/** What one entry has seen of upstreams. */
export type RouteBook = ReturnType<typeof createRouteBook>;

const learningRate = 0.2;
const forgetting = 0.98;

/**
 * Creates an empty book.
 *
 * @example
 * ```ts
 * const candidates = book.listCandidates('assistant', new Set());
 * ```
 *
 * @param options Members and this daemon's failure domain
 * @returns The book
 */
export function createRouteBook(options: CreateRouteBookOptions) {
	const {membership} = options;
	const inFlight = new Map<string, number>();
	const firstMs = new Map<string, number>();

	function describe(member: Member): RouteCandidate {
		const load = membership.get(member.daemon)?.load;
		return {
			daemon: member.daemon,
			inFlight: inFlight.get(member.daemon) ?? 0,
			reported: (load?.running ?? 0) + (load?.queued ?? 0),
			capacity: load?.capacity ?? 1,
			firstMs: firstMs.get(member.daemon) ?? 0,
			isSameDomain: member.failureDomain === options.failureDomain,
		};
	}

	// An upstream left out as slow gets no requests that could show it is fast again, so its average fades.
	function fadeOthers(daemon: string): void {
		for (const [other, span] of firstMs) {
			if (other !== daemon) {
				firstMs.set(other, span * forgetting);
			}
		}
	}

	function isUsable(member: Member): boolean {
		return membership.isAlive(member.daemon) && !membership.isLeaving(member.daemon)
			&& membership.get(member.daemon)?.load?.isUpstreamAlive !== false;
	}

	return {
		/** Upstreams that serve the target and can take a request now. */
		listCandidates(target: string, tried: ReadonlySet<string>): RouteCandidate[] {
			return options.listUpstreams()
				.filter(member => member.serves.includes(target) && !tried.has(member.daemon) && isUsable(member))
				.map(member => describe(member));
		},

		noteStart(daemon: string): void {
			inFlight.set(daemon, (inFlight.get(daemon) ?? 0) + 1);
		},

		noteEnd(daemon: string): void {
			inFlight.set(daemon, (inFlight.get(daemon) ?? 1) - 1);
		},

		noteFirst(daemon: string, span: number): void {
			const before = firstMs.get(daemon) ?? span;
			firstMs.set(daemon, before + (learningRate * (span - before)));
			fadeOthers(daemon);
		},
	};
}
