/**
 * Statistics that a gateway keeps on each upstream for placement: its requests
 * in flight and the memory that they hold, the load reported in answers, its
 * speed, and failed calls.
 *
 * @module
 */
import type {
	EventLog, GatewayService, GenerationParameters, ReportedLoad, UpstreamRegistration,
} from '../../protocol/mod.js';
import {
	createPromptCache, type LiveUpstream, type PeerUse, type PlacedPrompt, type StreamOrigin, type UpstreamDirectory, type UpstreamUse,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {computeRequestTokens, estimateHeldTokens, maxHeldShare} from './engine-memory.js';
import {
	createEngineSpeed, estimateRelativeSlowness, smoothingFactor, updateAverage, type EngineSpeed,
} from './engine-speed.js';
import {estimateFirstEventMs} from './stream-cost.js';
import type {PlacementCandidate} from './placement-policy.js';
import type {UpstreamEligibility} from './upstream-eligibility.js';

/** Options of {@linkcode createUpstreamRegistry}. */
export type CreateUpstreamRegistryOptions = {
	readonly directory: UpstreamDirectory;
	readonly eligibility: Pick<UpstreamEligibility, 'listEligible'>;
	readonly clock: Clock;
	readonly events?: Pick<EventLog, 'write'>;
	readonly failureDomain: string;
	/** Returns the age of the directory's data, in milliseconds. */
	readonly getViewAgeMs?: () => number | undefined;
	/** Returns the combined use of an upstream by all other gateways. */
	readonly sumPeerUse: (upstream: string) => PeerUse;
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
	/** Tokens that this gateway's requests hold in the upstream's memory at most. */
	heldTokens: number;
	isMemoryShort: boolean;
	reportedLoad: ReportedLoad | undefined;
	reportedAt: number;
	/** What is learnt of the process that runs at present; replaced when it starts again. */
	speed: EngineSpeed;
	/** The registration's start time, by which a restart is noticed. */
	startedAt: number | undefined;
	failureShare: number;
	unansweredInRow: number;
	avoidUntil: number;
};

type KnownUpstream = LiveUpstream & {readonly stats: UpstreamStats};

/** Time for which an upstream is avoided after it did not respond; doubles with each further call that it does not answer. */
const baseAvoidMs = 500;
/** Upper limit of the time for which an upstream is avoided; its registration expires after three missed heartbeats. */
const maxAvoidMs = 4000;
/** Time for which a reported load is used. */
const reportedLoadTtlMs = 1000;
/** Fixed work of each request in prompt tokens, because a request without a prompt takes time too. */
const baseRequestTokens = 800;
/** Factor by which the slowness of an upstream that is warming up is multiplied. */
const warmUpSlowness = 2;
/** Maximum number of upstreams whose unreadable slowness is logged. */
const maxUnreadableUpstreams = 100;
/** Share of the memory below which it is no longer short. The distance to `maxHeldShare` is more than one long prompt, so that one request does not end and begin the shortage. */
const enoughMemoryShare = 0.8;

/** @internal */
function computeMean(left: number | undefined, right: number | undefined): number | undefined {
	return left === undefined || right === undefined ? left ?? right : (left + right) / 2;
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
	const unreadable = new Set<string>();
	/** Moving average of the tokens that a request holds; 0 before the first. */
	let meanRequestTokens = 0;
	const promptCache = createPromptCache();

	function ensureStats(id: string): UpstreamStats {
		const known = statsById.get(id);
		if (known) {
			return known;
		}

		const stats: UpstreamStats = {
			inFlight: 0, waitingTokens: 0, heldTokens: 0, isMemoryShort: false, reportedLoad: undefined, reportedAt: Number.NEGATIVE_INFINITY, speed: createEngineSpeed(), startedAt: directory.get(id)?.startedAt, failureShare: 0, unansweredInRow: 0, avoidUntil: Number.NEGATIVE_INFINITY,
		};
		statsById.set(id, stats);
		return stats;
	}

	// An upstream that restarts under its ID may run on another host, and has cached nothing. Its requests in flight end on their own.
	function resetIfRestarted({id, startedAt}: UpstreamRegistration): UpstreamStats {
		const stats = ensureStats(id);
		if (startedAt !== stats.startedAt) {
			if (stats.startedAt !== undefined) {
				Object.assign(stats, {
					speed: createEngineSpeed(), reportedLoad: undefined, failureShare: 0, unansweredInRow: 0, avoidUntil: Number.NEGATIVE_INFINITY,
				});
				promptCache.drop(id);
				options.events?.write('upstreamSpeedReset', {upstream: id});
			}

			stats.startedAt = startedAt;
		}

		return stats;
	}

	function findMedianMsPerWork(upstreams: readonly KnownUpstream[]): number {
		const values = Float64Array.from(upstreams, ({stats}) => stats.speed.getMsPerWork()).filter(value => value > 0).sort();
		return values[Math.floor(values.length / 2)] ?? 0;
	}

	// Callers state parts and prompt separately; parts that are longer than their prompt would count as negative work.
	function countCachedTokens(upstream: string, {parts, promptTokens}: GenerationParameters): number {
		return Math.min(promptTokens, promptCache.countCachedTokens(upstream, parts));
	}

	function countReportedRequests({reportedLoad, reportedAt}: UpstreamStats, now: number): number {
		return reportedLoad && now - reportedAt < reportedLoadTtlMs ? reportedLoad.running + reportedLoad.waiting : 0;
	}

	function estimateUpstreamHeldTokens(stats: UpstreamStats, peerUse: PeerUse, allRequests: number): number {
		return estimateHeldTokens({
			knownTokens: stats.heldTokens + (peerUse.heldTokens ?? 0),
			knownRequests: stats.inFlight + (peerUse.statedInFlight ?? 0),
			allRequests,
			meanRequestTokens,
		});
	}

	function reportMemory(upstream: string, stats: UpstreamStats, memoryTokens: number): void {
		const peerUse = options.sumPeerUse(upstream);
		const heldTokens = Math.round(estimateUpstreamHeldTokens(stats, peerUse, stats.inFlight + peerUse.inFlight));
		const isShort = heldTokens > memoryTokens * (stats.isMemoryShort ? enoughMemoryShare : maxHeldShare);
		if (isShort !== stats.isMemoryShort) {
			stats.isMemoryShort = isShort;
			options.events?.write(isShort ? 'upstreamMemoryShort' : 'upstreamMemoryFree', {upstream, heldTokens, memoryTokens});
		}
	}

	function recordSlowness(upstream: string, speed: EngineSpeed, slowness: ReportedLoad['slowness']): void {
		if (slowness === 'malformed') {
			if (!unreadable.has(upstream) && unreadable.size < maxUnreadableUpstreams) {
				unreadable.add(upstream);
				options.events?.write('upstreamSlownessUnreadable', {upstream});
			}
		} else if (slowness !== undefined) {
			speed.recordSlowness(slowness, clock.now());
		}
	}

	function buildCandidate({upstream, warmAt, isOnGrace, stats}: KnownUpstream, {service, generation}: Pick<ListCandidatesOptions, 'service' | 'generation'>, {now, median}: {readonly now: number; readonly median: number}): PlacementCandidate {
		const peerUse = options.sumPeerUse(upstream.id);
		const inFlight = Math.max(stats.inFlight + peerUse.inFlight, countReportedRequests(stats, now));
		return {
			id: upstream.id,
			slots: upstream.slots,
			inFlight,
			waitingTokens: stats.waitingTokens + peerUse.waitingTokens,
			cachedTokens: generation ? countCachedTokens(upstream.id, generation) : 0,
			slowness: estimateRelativeSlowness(stats.speed.getMsPerWork(), median) * (now >= warmAt ? 1 : warmUpSlowness),
			momentarySlowness: stats.speed.estimateMomentary(now, peerUse.slowness),
			tokensPerEvent: service.engine?.tokensPerEvent,
			memoryTokens: service.engine?.memory,
			heldTokens: estimateUpstreamHeldTokens(stats, peerUse, inFlight),
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
			const live = eligibility.listEligible(service, origin).filter(({upstream}) => !excluded.has(upstream.id)).map(({upstream, warmAt, isOnGrace}): KnownUpstream => ({
				upstream, warmAt, isOnGrace, stats: resetIfRestarted(upstream),
			}));
			const responsive = live.filter(({stats}) => stats.avoidUntil <= now);
			const selected = responsive.length > 0 ? responsive : live;
			const median = findMedianMsPerWork(selected);
			return selected.map(item => buildCandidate(item, {service, generation}, {now, median}));
		},

		get: (id: string): UpstreamRegistration | undefined => directory.get(id),
		getViewAgeMs: (): number | undefined => options.getViewAgeMs?.(),

		/** Starts tracking a request at an upstream. The caller must call `end` on the returned tracker. */
		trackRequest(id: string, {service, generation}: Pick<ListCandidatesOptions, 'service' | 'generation'>): UpstreamRequestTracker {
			const stats = ensureStats(id);
			// What arrives after a restart is of the earlier process, and says nothing about the present one.
			const {speed} = stats;
			const isCurrentStart = () => speed === stats.speed;
			const startedAt = clock.now();
			const uncachedTokens = generation ? generation.promptTokens - countCachedTokens(id, generation) : 0;
			const peerUse = options.sumPeerUse(id);
			// Where the shape of engines is unknown, the work is the number of tokens, and only of this gateway.
			const work = service.engine
				? estimateFirstEventMs({
					queuedTokens: stats.waitingTokens + peerUse.waitingTokens, uncachedTokens, runningRequests: Math.max(stats.inFlight + peerUse.inFlight, countReportedRequests(stats, startedAt)), slowness: 1, stepsPerEvent: service.engine.tokensPerEvent,
				})
				: baseRequestTokens + stats.waitingTokens + uncachedTokens;
			const startSlowness = speed.estimateMomentary(startedAt, peerUse.slowness);
			const heldTokens = generation ? computeRequestTokens(generation) : 0;
			let pendingTokens = uncachedTokens;
			stats.inFlight += 1;
			stats.waitingTokens += uncachedTokens;
			stats.heldTokens += heldTokens;
			if (generation) {
				const memory = service.engine?.memory ?? Number.POSITIVE_INFINITY;
				meanRequestTokens = updateAverage(meanRequestTokens, heldTokens);
				reportMemory(id, stats, memory);
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
					if (isCurrentStart()) {
						stats.unansweredInRow = 0;
						stats.failureShare = updateAverage(stats.failureShare, 0);
					}

					speed.recordWork({durationMs: clock.now() - startedAt, work, momentarySlowness: computeMean(startSlowness, speed.estimateMomentary(clock.now(), options.sumPeerUse(id).slowness))});
					releaseWaitingTokens();
				},
				recordLoad(load) {
					recordSlowness(id, speed, load.slowness);
					if (isCurrentStart()) {
						stats.reportedLoad = load;
						stats.reportedAt = clock.now();
					}
				},
				recordUnresponsive() {
					if (isCurrentStart()) {
						stats.unansweredInRow += 1;
						stats.avoidUntil = clock.now() + Math.min(maxAvoidMs, baseAvoidMs * (2 ** (stats.unansweredInRow - 1)));
					}
				},
				recordMoved() {
					directory.markAddressReused(id);
				},
				recordFailure() {
					if (isCurrentStart()) {
						stats.failureShare += (1 - stats.failureShare) * smoothingFactor;
					}
				},
				end() {
					releaseWaitingTokens();
					stats.inFlight -= 1;
					stats.heldTokens -= heldTokens;
					if (stats.isMemoryShort) {
						reportMemory(id, stats, service.engine?.memory ?? Number.POSITIVE_INFINITY);
					}
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
			.map(([upstream, {inFlight, waitingTokens, heldTokens, speed}]) => {
				const slowness = speed.getReported(clock.now());
				return {
					upstream, inFlight, waitingTokens, ...heldTokens > 0 && {heldTokens}, ...slowness !== undefined && {slowness},
				};
			}),

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
