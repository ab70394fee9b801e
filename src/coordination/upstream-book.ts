/**
 * What a gateway has seen of each upstream: its own requests there, the load
 * that answers tell, and calls that failed.
 *
 * @module
 */
import type {ToldLoad, UpstreamEntry} from '../protocol/mod.js';
import type {LiveUpstream, UpstreamDirectory} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {UpstreamUse} from './peer-exchange.js';
import type {RouteCandidate} from './routing-policy.js';

/** Options of {@linkcode createUpstreamBook}. */
export type CreateUpstreamBookOptions = {
	readonly directory: UpstreamDirectory;
	readonly clock: Clock;
	readonly failureDomain: string;
};

/** A request's stay at an upstream. */
export type UpstreamVisit = {
	/** Notes the time to the first event or the whole answer, in milliseconds. */
	readonly noteFirst: (span: number) => void;
	readonly noteLoad: (load: ToldLoad) => void;
	/** Notes that the upstream did not answer, so that others are tried first for a while. */
	readonly noteFailure: () => void;
	readonly end: () => void;
};

/** What a gateway has seen of each upstream. */
export type UpstreamBook = ReturnType<typeof createUpstreamBook>;

type Seen = {inFlight: number; told: ToldLoad | undefined; toldAt: number; firstMs: number; failures: number; avoidUntil: number};

/** An upstream that failed is left out for this long, doubled with each failure in a row, in milliseconds. */
const avoidStep = 500;
/** Longest time that a failing upstream is left out, in milliseconds; its entry lapses after three heartbeats. */
const avoidLimit = 4000;
/** Told load counts for this long, in milliseconds. */
const toldLife = 1000;
/** Weight of the newest sample in the moving average of first times. */
const firstWeight = 0.2;

/**
 * Creates an empty book.
 *
 * @example
 * ```ts
 * const visit = book.start('i-7');
 * visit.noteFailure();
 * visit.end();
 * ```
 *
 * @param options The directory of upstreams and the clock
 * @returns The book
 */
export function createUpstreamBook(options: CreateUpstreamBookOptions) {
	const {directory, clock, failureDomain} = options;
	const seen = new Map<string, Seen>();

	function ensureSeen(id: string): Seen {
		const known = seen.get(id) ?? {
			inFlight: 0, told: undefined, toldAt: Number.NEGATIVE_INFINITY, firstMs: 0, failures: 0, avoidUntil: Number.NEGATIVE_INFINITY,
		};
		seen.set(id, known);
		return known;
	}

	function buildCandidate({upstream}: LiveUpstream): RouteCandidate {
		const item = ensureSeen(upstream.id);
		const isFresh = clock.now() - item.toldAt < toldLife;
		return {
			daemon: upstream.id,
			inFlight: item.inFlight,
			reported: isFresh ? item.told!.running + item.told!.waiting : 0,
			capacity: upstream.slots,
			firstMs: item.firstMs,
			isSameDomain: upstream.failureDomain === failureDomain,
		};
	}

	return {
		/** The upstreams of a service that may take a request, without those named and, if others are left, those that failed of late. */
		listCandidates(service: string, without: ReadonlySet<string>): RouteCandidate[] {
			const now = clock.now();
			const live = directory.listLive(service, now).filter(({upstream}) => !without.has(upstream.id));
			const sound = live.filter(({upstream}) => ensureSeen(upstream.id).avoidUntil <= now);
			return (sound.length > 0 ? sound : live).map(item => buildCandidate(item));
		},

		get: (id: string): UpstreamEntry | undefined => directory.get(id),

		/** Starts a visit; its `end` must follow. */
		start(id: string): UpstreamVisit {
			const item = ensureSeen(id);
			item.inFlight += 1;
			return {
				noteFirst(span) {
					item.failures = 0;
					item.firstMs = item.firstMs === 0 ? span : (item.firstMs * (1 - firstWeight)) + (span * firstWeight);
				},
				noteLoad(load) {
					item.told = load;
					item.toldAt = clock.now();
				},
				noteFailure() {
					item.failures += 1;
					item.avoidUntil = clock.now() + Math.min(avoidLimit, avoidStep * (2 ** (item.failures - 1)));
				},
				end() {
					item.inFlight -= 1;
				},
			};
		},

		/** This gateway's own requests at upstreams. */
		listUses: (): UpstreamUse[] => [...seen].filter(([, item]) => item.inFlight > 0)
			.map(([upstream, {inFlight}]) => ({upstream, inFlight, waitingTokens: 0})),

		/** Forgets upstreams that are gone and have no request left. */
		prune(): void {
			for (const [id, item] of seen) {
				if (item.inFlight === 0 && directory.get(id) === undefined) {
					seen.delete(id);
				}
			}
		},
	};
}
