/**
 * Tracks running requests and latency for each upstream to which an entry
 * daemon sends requests.
 *
 * @module
 */
import type {Member} from '../../state/mod.js';
import type {Membership} from '../peers/membership.js';
import type {RouteCandidate} from './routing-policy.js';

/** Options of {@linkcode createRouteRegistry}. */
export type CreateRouteRegistryOptions = {
	readonly membership: Membership;
	readonly failureDomain: string;
	readonly listUpstreams: () => readonly Member[];
};

/** Running requests and latency by upstream, as observed by one entry daemon. */
export type RouteRegistry = ReturnType<typeof createRouteRegistry>;

const smoothingFactor = 0.2;
const decayFactor = 0.98;

/**
 * Creates an empty route registry.
 *
 * @example
 * ```ts
 * const candidates = routes.listCandidates('assistant', new Set());
 * ```
 *
 * @param options Membership, upstreams and this daemon's failure domain
 * @returns The route registry
 */
export function createRouteRegistry(options: CreateRouteRegistryOptions) {
	const {membership} = options;
	const inFlight = new Map<string, number>();
	const firstMs = new Map<string, number>();

	function toCandidate(member: Member): RouteCandidate {
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

	// An upstream excluded as slow gets no requests by which its average could improve, so the average decays over time.
	function decayOthers(daemon: string): void {
		for (const [other, latency] of firstMs) {
			if (other !== daemon) {
				firstMs.set(other, latency * decayFactor);
			}
		}
	}

	function isUsable(member: Member): boolean {
		return membership.isAlive(member.daemon) && !membership.isLeaving(member.daemon)
			&& membership.get(member.daemon)?.load?.isUpstreamAlive !== false;
	}

	return {
		/** Lists the untried upstreams that serve the target and can accept a request now. */
		listCandidates(target: string, tried: ReadonlySet<string>): RouteCandidate[] {
			return options.listUpstreams()
				.filter(member => member.serves.includes(target) && !tried.has(member.daemon) && isUsable(member))
				.map(member => toCandidate(member));
		},

		recordStart(daemon: string): void {
			inFlight.set(daemon, (inFlight.get(daemon) ?? 0) + 1);
		},

		recordEnd(daemon: string): void {
			inFlight.set(daemon, (inFlight.get(daemon) ?? 1) - 1);
		},

		recordFirstChunk(daemon: string, latencyMs: number): void {
			const average = firstMs.get(daemon) ?? latencyMs;
			firstMs.set(daemon, average + (smoothingFactor * (latencyMs - average)));
			decayOthers(daemon);
		},
	};
}
