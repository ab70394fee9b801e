/**
 * Chooses the upstream for a request, and the one from whose cache that one
 * fetches the shared part of the prompt.
 *
 * @module
 */
import type {StreamOrigin} from '../../state/mod.js';
import type {ForwardRequest} from '../requests/forward-types.js';
import type {PartQuarantine} from '../quarantine/part-quarantine.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import {
	LeastRunningPolicy, PromptPlacementPolicy, ServicePlacementPolicy, type PlacementCandidate, type PlacementPolicy, type PlacementQuery,
} from './placement-policy.js';
import type {PromptSourceOptions, PromptSourcePolicy} from './prompt-source.js';
import {StreamPlacementPolicy} from './stream-placement-policy.js';
import type {UpstreamRegistry} from './upstream-registry.js';

/** Options of {@linkcode createRequestPlacement}. */
export type CreateRequestPlacementOptions = {
	readonly registry: Pick<UpstreamRegistry, 'get' | 'listCandidates'>;
	readonly quarantine: Pick<Quarantine, 'isSuspected'>;
	readonly partQuarantine: Pick<PartQuarantine, 'isSuspected'>;
	/** Chooses from where an upstream fetches the cached part of a prompt. */
	readonly promptSourcePolicy: PromptSourcePolicy;
	/** True if streams of services whose engines state their slowness are placed by expected delay and memory; default false. */
	readonly shouldPlaceByDelay?: boolean;
};

/** The upstream for a request, and the address of the one from which it fetches the cached part of the prompt. */
export type Placement = {readonly candidate: PlacementCandidate; readonly fetchFrom: string | undefined};

/** Chooses upstreams for requests. */
export type RequestPlacement = ReturnType<typeof createRequestPlacement>;

/**
 * Creates the choice of upstreams.
 *
 * @example
 * ```ts
 * const placement = createRequestPlacement({registry, quarantine, partQuarantine, promptSourcePolicy: new CachedPromptSource()});
 * placement.pick(request, new Set())?.candidate.id;
 * ```
 *
 * @param options The upstreams, suspected requests and the choice of prompt sources
 * @returns The choice
 */
export function createRequestPlacement({
	registry, quarantine, partQuarantine, promptSourcePolicy, shouldPlaceByDelay = false,
}: CreateRequestPlacementOptions) {
	const suspectPolicy: PlacementPolicy = new LeastRunningPolicy();
	const promptPolicy: PlacementPolicy = new PromptPlacementPolicy();
	const streamPolicy: PlacementPolicy = new StreamPlacementPolicy();
	const servicePolicy: PlacementPolicy = new ServicePlacementPolicy();

	/** Services whose engines have stated how slow their hosts are. They keep their policy, so that prompts keep their places. */
	const unevenServices = new Set<string>();

	function findPromptPolicy({service}: ForwardRequest, candidates: readonly PlacementCandidate[]): PlacementPolicy {
		if (shouldPlaceByDelay && !unevenServices.has(service.id) && candidates.some(({momentarySlowness}) => momentarySlowness !== undefined)) {
			unevenServices.add(service.id);
		}

		return unevenServices.has(service.id) ? streamPolicy : promptPolicy;
	}

	function findPolicy(request: ForwardRequest, candidates: readonly PlacementCandidate[]): PlacementPolicy {
		const {digest, parts, generation} = request;
		if (quarantine.isSuspected(digest) || partQuarantine.isSuspected(parts)) {
			return suspectPolicy;
		}

		return generation ? findPromptPolicy(request, candidates) : servicePolicy;
	}

	function pickSource({service}: ForwardRequest, query: PlacementQuery, options: PromptSourceOptions): string | undefined {
		const source = query.generation && service.engine?.canFetchPrompts ? promptSourcePolicy.pick(query, options) : undefined;
		return source && registry.get(source.id)?.address;
	}

	return {
		/** Picks an upstream that was not tried yet; undefined if none may get the request now. `origin` is that of a stream that has begun. */
		pick(request: ForwardRequest, tried: ReadonlySet<string>, origin?: StreamOrigin): Placement | undefined {
			const {service, generation} = request;
			const candidates = registry.listCandidates({
				service, generation, excluded: tried, origin,
			});
			if (candidates.length === 0) {
				return undefined;
			}

			const query = {id: request.id ?? '', generation, objectiveMs: request.route.objective};
			const candidate = findPolicy(request, candidates).pick(query, candidates);
			return {candidate, fetchFrom: pickSource(request, query, {chosen: candidate, candidates, placementPolicy: findPromptPolicy(request, candidates)})};
		},
	};
}
