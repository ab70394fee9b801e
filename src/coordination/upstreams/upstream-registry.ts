/**
 * Statistics that a gateway keeps on each upstream for placement: its requests
 * in flight, the load reported in answers, the time to the first event, and
 * failed calls.
 *
 * @module
 */
import type {
	GatewayService, GenerationParameters, ReportedLoad, UpstreamRegistration,
} from '../../protocol/mod.js';
import {
	createPromptCache, type LiveUpstream, type PlacedPrompt, type StreamOrigin, type UpstreamDirectory, type UpstreamUse,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {PlacementCandidate} from './placement-policy.js';
import type {UpstreamEligibility} from './upstream-eligibility.js';

/** Options of {@linkcode createUpstreamRegistry}. */
export type CreateUpstreamRegistryOptions = {
	readonly directory: UpstreamDirectory;
	readonly eligibility: Pick<UpstreamEligibility, 'listEligible'>;
	readonly clock: Clock;
	readonly failureDomain: string;
	/** Returns the age of the directory's data, in milliseconds. */
	readonly getViewAgeMs?: () => number | undefined;
	/** Returns the combined use of an upstream by all other gateways. */
	readonly sumPeerUse: (upstream: string) => UpstreamUse;
	/** Called when this gateway's use of an upstream changes. */
	readonly onUseChange?: () => void;
	/** Called when a prompt is sent to an upstream. */
	readonly onPromptPlaced?: (prompt: PlacedPrompt) => void;
};

/** Options of {@linkcode UpstreamRegistry.listCandidates}. */
export type ListCandidatesOptions = {
	readonly service: GatewayService;
	readonly generation: GenerationParameters | undefined;
	/** Ids of upstreams that were already tried. */
	readonly excluded: ReadonlySet<string>;
	/** Set for a stream that has begun. */
	readonly origin?: StreamOrigin;
};

/** Records the course of one request at an upstream. */
export type UpstreamRequestTracker = {
	/** Records that the first event or the whole answer has arrived. */
	readonly recordFirstEvent: () => void;
	readonly recordLoad: (load: ReportedLoad) => void;
	/** Records that the upstream did not respond, so that others are preferred for a while. */
	readonly recordUnresponsive: () => void;
	/** Records that another upstream answers at this upstream's address. */
	readonly recordMoved: () => void;
	/** Records that the upstream answered with a server error. */
	readonly recordFailure: () => void;
	readonly end: () => void;
};

/** Statistics of a gateway on each upstream. */
export type UpstreamRegistry = ReturnType<typeof createUpstreamRegistry>;

type UpstreamStats = {
	inFlight: number;
	/** Prompt tokens of this gateway's requests that have not had their first event. */
	waitingTokens: number;
	reportedLoad: ReportedLoad | undefined;
	reportedAt: number;
	/** Moving average of the milliseconds per token of work until the first event. */
	msPerToken: number;
	failureShare: number;
	unansweredInRow: number;
	avoidUntil: number;
};

/** Time for which an upstream is avoided after it did not respond; doubles with each further call that it does not answer. */
const baseAvoidMs = 500;
/** Upper limit of the time for which an upstream is avoided; its registration expires after three missed heartbeats. */
const maxAvoidMs = 4000;
/** Time for which a reported load is used. */
const reportedLoadTtlMs = 1000;
/** Weight of the newest sample in exponential moving averages. */
const smoothingFactor = 0.15;
/** Fixed work of each request in prompt tokens, because a request without a prompt takes time too. */
const baseRequestTokens = 800;
/** Factor by which the slowness of an upstream that is warming up is multiplied. */
const warmUpSlowness = 2;
/** Limits of the estimated slowness relative to the other upstreams. */
const slownessRange = {min: 0.6, max: 8} as const;
/** @internal */
function updateAverage(current: number, sample: number): number {
	return current === 0 ? sample : (current * (1 - smoothingFactor)) + (sample * smoothingFactor);
}

/**
 * Creates an empty registry.
 *
 * @example
 * ```ts
 * const tracker = registry.trackRequest('i-7', {service, generation});
 * tracker.recordUnresponsive();
 * tracker.end();
 * ```
 *
 * @param options The directory of upstreams, the clock and the use by other gateways
 * @returns The registry
 */
export function createUpstreamRegistry(options: CreateUpstreamRegistryOptions) {
	const {
		directory, eligibility, clock, failureDomain,
	} = options;
	const statsById = new Map<string, UpstreamStats>();
	const promptCache = createPromptCache();

	function ensureStats(id: string): UpstreamStats {
		const stats = statsById.get(id) ?? {
			inFlight: 0, waitingTokens: 0, reportedLoad: undefined, reportedAt: Number.NEGATIVE_INFINITY, msPerToken: 0, failureShare: 0, unansweredInRow: 0, avoidUntil: Number.NEGATIVE_INFINITY,
		};
		statsById.set(id, stats);
		return stats;
	}

	function findMedianMsPerToken(ids: readonly string[]): number {
		const values = ids.map(id => ensureStats(id).msPerToken).filter(value => value > 0).sort((left, right) => left - right);
		return values[Math.floor(values.length / 2)] ?? 0;
	}

	function estimateSlowness(stats: UpstreamStats, median: number, isWarm: boolean): number {
		const relative = stats.msPerToken > 0 && median > 0 ? stats.msPerToken / median : 1;
		return Math.min(slownessRange.max, Math.max(slownessRange.min, relative)) * (isWarm ? 1 : warmUpSlowness);
	}

	function buildCandidate({upstream, warmAt, isOnGrace}: LiveUpstream, generation: GenerationParameters | undefined, median: number): PlacementCandidate {
		const stats = ensureStats(upstream.id);
		const peerUse = options.sumPeerUse(upstream.id);
		const reportedRequests = stats.reportedLoad && clock.now() - stats.reportedAt < reportedLoadTtlMs ? stats.reportedLoad.running + stats.reportedLoad.waiting : 0;
		return {
			id: upstream.id,
			slots: upstream.slots,
			inFlight: Math.max(stats.inFlight + peerUse.inFlight, reportedRequests),
			waitingTokens: stats.waitingTokens + peerUse.waitingTokens,
			cachedTokens: generation ? promptCache.countCachedTokens(upstream.id, generation.parts) : 0,
			slowness: estimateSlowness(stats, median, clock.now() >= warmAt),
			failureShare: stats.failureShare,
			isSameDomain: upstream.failureDomain === failureDomain,
			isOnGrace,
			softwareVersion: upstream.softwareVersion,
		};
	}

	return {
		/**
		 * Lists the live upstreams of a service that may get a request of this
		 * gateway now, without those that recently did not respond unless no others
		 * remain.
		 */
		listCandidates({service, generation, excluded, origin}: ListCandidatesOptions): PlacementCandidate[] {
			const now = clock.now();
			const live = eligibility.listEligible(service, origin).filter(({upstream}) => !excluded.has(upstream.id));
			const responsive = live.filter(({upstream}) => ensureStats(upstream.id).avoidUntil <= now);
			const selected = responsive.length > 0 ? responsive : live;
			const median = findMedianMsPerToken(selected.map(({upstream}) => upstream.id));
			return selected.map(item => buildCandidate(item, generation, median));
		},

		get: (id: string): UpstreamRegistration | undefined => directory.get(id),
		getViewAgeMs: (): number | undefined => options.getViewAgeMs?.(),

		/** Starts tracking a request at an upstream. The caller must call `end` on the returned tracker. */
		trackRequest(id: string, {service, generation}: Pick<ListCandidatesOptions, 'service' | 'generation'>): UpstreamRequestTracker {
			const stats = ensureStats(id);
			const startedAt = clock.now();
			const uncachedTokens = generation ? generation.promptTokens - promptCache.countCachedTokens(id, generation.parts) : 0;
			const workTokens = baseRequestTokens + stats.waitingTokens + uncachedTokens;
			let pendingTokens = uncachedTokens;
			stats.inFlight += 1;
			stats.waitingTokens += uncachedTokens;
			if (generation) {
				const memory = service.engine?.memory ?? Number.POSITIVE_INFINITY;
				promptCache.recordPrompt(id, generation.parts, memory);
				options.onPromptPlaced?.({upstream: id, memory, parts: [...generation.parts]});
				options.onUseChange?.();
			}

			const releaseWaitingTokens = () => {
				stats.waitingTokens -= pendingTokens;
				if (pendingTokens > 0) {
					options.onUseChange?.();
				}

				pendingTokens = 0;
			};

			return {
				recordFirstEvent() {
					stats.unansweredInRow = 0;
					stats.failureShare = updateAverage(stats.failureShare, 0);
					stats.msPerToken = updateAverage(stats.msPerToken, (clock.now() - startedAt) / workTokens);
					releaseWaitingTokens();
				},
				recordLoad(load) {
					stats.reportedLoad = load;
					stats.reportedAt = clock.now();
				},
				recordUnresponsive() {
					stats.unansweredInRow += 1;
					stats.avoidUntil = clock.now() + Math.min(maxAvoidMs, baseAvoidMs * (2 ** (stats.unansweredInRow - 1)));
				},
				recordMoved() {
					directory.markAddressReused(id);
				},
				recordFailure() {
					stats.failureShare += (1 - stats.failureShare) * smoothingFactor;
				},
				end() {
					releaseWaitingTokens();
					stats.inFlight -= 1;
				},
			};
		},

		/** Records a prompt that another gateway has sent to an upstream. */
		recordPeerPrompt({upstream, parts, memory}: PlacedPrompt): void {
			ensureStats(upstream);
			promptCache.recordPrompt(upstream, parts, memory);
		},

		/** Lists the prompts that upstreams are assumed to have cached, for a gateway that has just started. */
		listCachedPrompts: (): PlacedPrompt[] => promptCache.list(),

		/** Lists this gateway's requests in flight at each upstream. */
		listUses: (): UpstreamUse[] => [...statsById].filter(([, stats]) => stats.inFlight > 0)
			.map(([upstream, {inFlight, waitingTokens}]) => ({upstream, inFlight, waitingTokens})),

		/** Removes upstreams that are no longer registered and have no requests in flight. */
		prune(): void {
			directory.prune(clock.now());
			for (const [id, stats] of statsById) {
				if (stats.inFlight === 0 && directory.get(id) === undefined) {
					statsById.delete(id);
					promptCache.drop(id);
				}
			}
		},
	};
}
