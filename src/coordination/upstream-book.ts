/**
 * What a gateway has seen of each upstream: its own requests there, the load
 * that answers tell, how long first events take, and calls that failed.
 *
 * @module
 */
import type {
	GatewayService, Generation, ToldLoad, UpstreamEntry,
} from '../protocol/mod.js';
import {
	createPromptCache, type LiveUpstream, type PlacedPrompt, type UpstreamDirectory, type UpstreamUse,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {PlacementCandidate} from './placement-policy.js';

/** Options of {@linkcode createUpstreamBook}. */
export type CreateUpstreamBookOptions = {
	readonly directory: UpstreamDirectory;
	readonly clock: Clock;
	readonly failureDomain: string;
	/** Age of what the directory knows, in milliseconds. */
	readonly countViewAge?: () => number | undefined;
	/** What all other gateways have at an upstream. */
	readonly sumPeerUse: (upstream: string) => UpstreamUse;
	/** Called when this gateway's use of an upstream has changed. */
	readonly onUse?: () => void;
	/** Called when a prompt is sent to an upstream. */
	readonly onPrompt?: (prompt: PlacedPrompt) => void;
};

/** Options of {@linkcode UpstreamBook.listCandidates}. */
export type ListCandidatesOptions = {
	readonly service: GatewayService;
	readonly generation: Generation | undefined;
	/** Upstreams that were tried already. */
	readonly without: ReadonlySet<string>;
};

/** A request's stay at an upstream. */
export type UpstreamVisit = {
	/** Notes the first event or the whole answer. */
	readonly noteFirst: () => void;
	readonly noteLoad: (load: ToldLoad) => void;
	/** Notes that the upstream did not answer, so that others are tried first for a while. */
	readonly noteSilent: () => void;
	/** Notes that another upstream answers at its address. */
	readonly noteMoved: () => void;
	/** Notes that the upstream answered with a failure of its own. */
	readonly noteFailure: () => void;
	readonly end: () => void;
};

/** What a gateway has seen of each upstream. */
export type UpstreamBook = ReturnType<typeof createUpstreamBook>;

type Seen = {
	inFlight: number;
	/** Prompt tokens of own requests without a first event. */
	waitingTokens: number;
	told: ToldLoad | undefined;
	toldAt: number;
	/** Milliseconds a token of work until the first event, a moving average. */
	pace: number;
	failureShare: number;
	silences: number;
	avoidUntil: number;
};

/** An upstream that did not answer is left out for this long, doubled with each time in a row, in milliseconds. */
const avoidStep = 500;
/** Longest time that a silent upstream is left out, in milliseconds; its entry lapses after three heartbeats. */
const avoidLimit = 4000;
/** Told load counts for this long, in milliseconds. */
const toldLife = 1000;
/** Weight of the newest sample in moving averages. */
const newestWeight = 0.15;
/** Work that any request is, in tokens of a prompt: an answer without a prompt takes time too. */
const baseTokens = 800;
/** An upstream still warming up counts as this much slower. */
const warmUpSlowness = 2;
/** Bounds on how much slower or faster than the others an upstream is taken to be. */
const slownessRange = {least: 0.6, most: 8} as const;

/** @internal */
function average(known: number, sample: number): number {
	return known === 0 ? sample : (known * (1 - newestWeight)) + (sample * newestWeight);
}

/**
 * Creates an empty book.
 *
 * @example
 * ```ts
 * const visit = book.start('i-7', {service, generation});
 * visit.noteSilent();
 * visit.end();
 * ```
 *
 * @param options The directory of upstreams, the clock and the peers
 * @returns The book
 */
export function createUpstreamBook(options: CreateUpstreamBookOptions) {
	const {directory, clock, failureDomain} = options;
	const seen = new Map<string, Seen>();
	const cache = createPromptCache();

	function ensureSeen(id: string): Seen {
		const known = seen.get(id) ?? {
			inFlight: 0, waitingTokens: 0, told: undefined, toldAt: Number.NEGATIVE_INFINITY, pace: 0, failureShare: 0, silences: 0, avoidUntil: Number.NEGATIVE_INFINITY,
		};
		seen.set(id, known);
		return known;
	}

	function findMedianPace(ids: readonly string[]): number {
		const paces = ids.map(id => ensureSeen(id).pace).filter(pace => pace > 0).sort((left, right) => left - right);
		return paces[Math.floor(paces.length / 2)] ?? 0;
	}

	function estimateSlowness(item: Seen, median: number, isWarm: boolean): number {
		const measured = item.pace > 0 && median > 0 ? item.pace / median : 1;
		return Math.min(slownessRange.most, Math.max(slownessRange.least, measured)) * (isWarm ? 1 : warmUpSlowness);
	}

	function buildCandidate({upstream, isWarm, isOnGrace}: LiveUpstream, generation: Generation | undefined, median: number): PlacementCandidate {
		const item = ensureSeen(upstream.id);
		const peers = options.sumPeerUse(upstream.id);
		const told = item.told && clock.now() - item.toldAt < toldLife ? item.told.running + item.told.waiting : 0;
		return {
			id: upstream.id,
			slots: upstream.slots,
			inFlight: Math.max(item.inFlight + peers.inFlight, told),
			waitingTokens: item.waitingTokens + peers.waitingTokens,
			cachedTokens: generation ? cache.countCached(upstream.id, generation.parts) : 0,
			slowness: estimateSlowness(item, median, isWarm),
			failureShare: item.failureShare,
			isSameDomain: upstream.failureDomain === failureDomain,
			isOnGrace,
		};
	}

	return {
		/** The upstreams of a service that may take a request, without those that were silent of late if others are left. */
		listCandidates({service, generation, without}: ListCandidatesOptions): PlacementCandidate[] {
			const now = clock.now();
			const live = directory.listLive(service.id, now).filter(({upstream}) => !without.has(upstream.id));
			const sound = live.filter(({upstream}) => ensureSeen(upstream.id).avoidUntil <= now);
			const chosen = sound.length > 0 ? sound : live;
			const median = findMedianPace(chosen.map(({upstream}) => upstream.id));
			return chosen.map(item => buildCandidate(item, generation, median));
		},

		get: (id: string): UpstreamEntry | undefined => directory.get(id),
		/** True while an upstream may get requests. */
		isLive: (id: string): boolean => directory.isLive(id, clock.now()),
		/** True for an upstream that is listed and takes requests: nobody expects its end. */
		isListed: (id: string): boolean => directory.isLive(id, clock.now()) && directory.countGrace(id, clock.now()) === 0,
		countViewAge: (): number | undefined => options.countViewAge?.(),

		/** Starts a visit; its `end` must follow. */
		start(id: string, {service, generation}: Pick<ListCandidatesOptions, 'service' | 'generation'>): UpstreamVisit {
			const item = ensureSeen(id);
			const startedAt = clock.now();
			const uncached = generation ? generation.promptTokens - cache.countCached(id, generation.parts) : 0;
			const work = baseTokens + item.waitingTokens + uncached;
			let waiting = uncached;
			item.inFlight += 1;
			item.waitingTokens += uncached;
			if (generation) {
				const memory = service.engine?.memory ?? Number.POSITIVE_INFINITY;
				cache.note(id, generation.parts, memory);
				options.onPrompt?.({upstream: id, memory, parts: [...generation.parts]});
				options.onUse?.();
			}

			const endWait = () => {
				item.waitingTokens -= waiting;
				if (waiting > 0) {
					options.onUse?.();
				}

				waiting = 0;
			};

			return {
				noteFirst() {
					item.silences = 0;
					item.failureShare = average(item.failureShare, 0);
					item.pace = average(item.pace, (clock.now() - startedAt) / work);
					endWait();
				},
				noteLoad(load) {
					item.told = load;
					item.toldAt = clock.now();
				},
				noteSilent() {
					item.silences += 1;
					item.avoidUntil = clock.now() + Math.min(avoidLimit, avoidStep * (2 ** (item.silences - 1)));
				},
				noteMoved() {
					directory.markMoved(id);
				},
				noteFailure() {
					item.failureShare += (1 - item.failureShare) * newestWeight;
				},
				end() {
					endWait();
					item.inFlight -= 1;
				},
			};
		},

		/** Notes a prompt that another gateway has sent to an upstream. */
		takePrompt({upstream, parts, memory}: PlacedPrompt): void {
			ensureSeen(upstream);
			cache.note(upstream, parts, memory);
		},

		/** What upstreams are believed to keep, for a gateway that has just started. */
		listCached: (): PlacedPrompt[] => cache.list(),

		/** This gateway's own requests at upstreams. */
		listUses: (): UpstreamUse[] => [...seen].filter(([, item]) => item.inFlight > 0)
			.map(([upstream, {inFlight, waitingTokens}]) => ({upstream, inFlight, waitingTokens})),

		/** Forgets upstreams that are gone and have no request left. */
		prune(): void {
			directory.prune(clock.now());
			for (const [id, item] of seen) {
				if (item.inFlight === 0 && directory.get(id) === undefined) {
					seen.delete(id);
					cache.drop(id);
				}
			}
		},
	};
}
