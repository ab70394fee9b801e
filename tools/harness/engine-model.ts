/**
 * A model of engines of unequal speed, and of gateways that place streams there
 * by views of each other that are half a second old, for tests without a network.
 *
 * @module
 */
import {createUpstreamRegistry, type PlacementPolicy, type UpstreamRequestTracker} from '../../src/coordination/mod.js';
import type {GatewayService, GenerationParameters, PromptPart} from '../../src/protocol/mod.js';
import {createPeerViews, createUpstreamDirectory, type PlacedPrompt} from '../../src/state/mod.js';
import {createUnlimitedEligibility} from './unlimited-upstreams.js';

/** Options of {@linkcode simulateEngines}. */
export type SimulateEnginesOptions = {
	readonly policy: PlacementPolicy;
	/** True if engines state their slowness. */
	readonly statesSlowness: boolean;
	readonly seed: number;
	readonly gateways: number;
	readonly engines: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Age of what gateways know of each other. */
	readonly viewAgeMs: number;
	/** Share of long prompts. */
	readonly longShare: number;
	/** Default: 462,000 tokens. */
	readonly memoryTokens?: number;
};

/** What callers and engines saw. */
export type EngineModelResult = {
	readonly requests: number;
	/** Share of streams whose first event was on time. */
	readonly firstOnTimeShare: number;
	/** Share of streams whose first event was on time and whose events never paused for more than 500 ms. */
	readonly onTimeShare: number;
	/** The most memory that the requests at one engine held at any time, as a share. */
	readonly maxHeldShare: number;
	/** Most requests placed at one engine relative to the mean. */
	readonly busiestRatio: number;
	/** Tokens of shared parts that engines read. */
	readonly sharedTokensRead: number;
};

type Stream = {
	readonly tracker: UpstreamRequestTracker;
	readonly generation: GenerationParameters;
	readonly arrivedAt: number;
	readonly objectiveMs: number;
	readonly heldTokens: number;
	unreadTokens: number;
	remainingTokens: number;
	firstAt: number;
	lastEventAt: number;
	hasPaused: boolean;
	sinceEvent: number;
};

type Kind = {
	readonly shared: number; readonly own: number; readonly objectiveMs: number;
	/** Number of shared parts in use, and the share of requests that begin a new one. */
	readonly pool: number; readonly renewShare: number;
};

const kinds: Readonly<Record<'long' | 'medium' | 'short', Kind>> = {
	long: {
		shared: 13_300, own: 3720, objectiveMs: 1000, pool: 60, renewShare: 0.2,
	},
	medium: {
		shared: 6300, own: 2890, objectiveMs: 800, pool: 30, renewShare: 0.05,
	},
	short: {
		shared: 300, own: 500, objectiveMs: 600, pool: 10, renewShare: 0.01,
	},
};
const speeds = [0.6, 1, 1.6];
const slots = 128;
const chunkTokens = 512;
const tokensPerEvent = 4;
const maxPauseMs = 500;
const slownessIntervalMs = 50;

/**
 * Creates a source of random numbers that repeats for a seed (mulberry32).
 *
 * @example
 * ```ts
 * createRandom(7)();
 * ```
 *
 * @param seed The seed
 * @returns The source, of numbers in [0, 1)
 */
export function createRandom(seed: number): () => number {
	/* eslint-disable no-bitwise */
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / (2 ** 32);
	};
	/* eslint-enable no-bitwise */
}

/** @internal */
function createEngine(speed: number, memoryTokens: number, random: () => number) {
	const reading: Stream[] = [];
	const running = new Set<Stream>();
	const cache = new Map<string, number>();
	const ended: Stream[] = [];
	let heldTokens = 0;
	let maxHeldTokens = 0;
	let sharedTokensRead = 0;
	let hostSlowness = 1;
	let slowness = 1;
	let slownessDueAt = 0;
	let step: {readonly endsAt: number; readonly finished: Stream[]} | undefined;

	function readCached(parts: readonly PromptPart[]): number {
		let cachedTokens = 0;
		for (const {id, tokens} of parts) {
			if (!cache.has(id)) {
				break;
			}

			cache.delete(id);
			cache.set(id, tokens);
			cachedTokens += tokens;
		}

		return cachedTokens;
	}

	// Cached parts yield to running requests.
	function evict(): void {
		let tokens = [...cache.values()].reduce((sum, value) => sum + value, 0);
		for (const [id, value] of cache) {
			if (tokens + heldTokens <= memoryTokens) {
				return;
			}

			cache.delete(id);
			tokens -= value;
		}
	}

	function beginStep(now: number): void {
		const finished: Stream[] = [];
		let budget = chunkTokens;
		while (budget > 0 && reading.length > 0 && running.size + finished.length < slots) {
			const [stream] = reading;
			const tokens = Math.min(budget, stream!.unreadTokens);
			stream!.unreadTokens -= tokens;
			budget -= tokens;
			if (stream!.unreadTokens <= 0) {
				finished.push(stream!);
				reading.shift();
			}
		}

		if (budget < chunkTokens || running.size > 0) {
			const usualMs = 6.45 + (0.1 * running.size) + ((chunkTokens - budget) / 56);
			step = {endsAt: now + (usualMs / speed * slowness), finished};
		}
	}

	function emit(stream: Stream, now: number): void {
		stream.remainingTokens -= 1;
		stream.sinceEvent += 1;
		if (stream.sinceEvent === tokensPerEvent) {
			stream.hasPaused ||= now - stream.lastEventAt > maxPauseMs;
			stream.lastEventAt = now;
			stream.sinceEvent = 0;
		}

		if (stream.remainingTokens <= 0) {
			running.delete(stream);
			heldTokens -= stream.heldTokens;
			stream.tracker.end();
			ended.push(stream);
		}
	}

	return {
		getHeldTokens: () => heldTokens,
		getMaxHeldTokens: () => maxHeldTokens,
		getSharedTokensRead: () => sharedTokensRead,
		getLoad: () => ({
			running: running.size, waiting: reading.length, slots, slowness,
		}),
		listEnded: () => ended,
		receive(stream: Stream): void {
			const {parts, promptTokens} = stream.generation;
			const cachedTokens = readCached(parts);
			stream.unreadTokens = promptTokens - cachedTokens;
			sharedTokensRead += Math.max(0, parts[0]!.tokens - cachedTokens);
			heldTokens += stream.heldTokens;
			maxHeldTokens = Math.max(maxHeldTokens, heldTokens);
			for (const {id, tokens} of parts) {
				cache.set(id, tokens);
			}

			evict();
			reading.push(stream);
		},
		advance(now: number): void {
			if (now >= slownessDueAt) {
				slownessDueAt = now + slownessIntervalMs;
				// A host is busy with other work for 2 s on average, a sixth of the time, and varies by a third from one moment to the next.
				hostSlowness = hostSlowness > 1 ? (random() < 0.025 ? 1 : hostSlowness) : (random() < 0.005 ? 1.5 + (random() * 2) : 1);
				slowness = hostSlowness * (0.67 + (random() * 0.66));
			}

			if (step && now >= step.endsAt) {
				for (const stream of running) {
					emit(stream, now);
				}

				for (const stream of step.finished) {
					stream.firstAt = now;
					stream.lastEventAt = now;
					stream.tracker.recordFirstEvent();
					running.add(stream);
				}

				step = undefined;
			}

			if (!step) {
				beginStep(now);
			}
		},
	};
}

/**
 * Runs the model.
 *
 * @example
 * ```ts
 * simulateEngines({policy: new StreamPlacementPolicy(), ...options}).firstOnTimeShare;
 * ```
 *
 * @param options The policy, the load and the fleet
 * @returns What callers and engines saw
 */
export function simulateEngines(options: SimulateEnginesOptions): EngineModelResult {
	const random = createRandom(options.seed);
	const {memoryTokens = 462_000, viewAgeMs} = options;
	const clock = {now: () => now, async sleep() {/* The model advances time. */}};
	let now = 0;
	const service: GatewayService = {
		id: 'model', connectionLimit: 1000, engine: {
			slots, memory: memoryTokens, tokensPerEvent, canFetchPrompts: false,
		},
	};
	const directory = createUpstreamDirectory();
	const engines = Array.from({length: options.engines}, (_, index) => {
		const id = `engine-${index}`;
		directory.put({
			id, service: 'model', address: `10.0.0.${index}:1`, failureDomain: `d${index % 3}`, slots, isDraining: false, warmUp: 0,
		}, 0);
		return {
			id, placed: 0, engine: createEngine(speeds[index % speeds.length]!, memoryTokens, createRandom(options.seed + index + 1)),
		};
	});
	const engineById = new Map(engines.map(item => [item.id, item]));
	const gateways = Array.from({length: options.gateways}, (_, index) => {
		const views = createPeerViews();
		const prompts: PlacedPrompt[] = [];
		const registry = createUpstreamRegistry({
			directory, clock, eligibility: createUnlimitedEligibility({directory, clock}), failureDomain: `d${index % 3}`, sumPeerUse: views.sumUse,
			onPromptPlaced(prompt) {
				prompts.push(prompt);
			},
		});
		return {
			daemon: `g${index}`, views, prompts, registry, sequence: 0, announceAt: random() * viewAgeMs,
		};
	});
	type Gateway = (typeof gateways)[number];

	function announce(gateway: Gateway): void {
		gateway.sequence += 1;
		gateway.announceAt += viewAgeMs;
		const view = {
			daemon: gateway.daemon, incarnation: 'a', address: gateway.daemon, free: [], uses: gateway.registry.listUses(), version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
		};
		const prompts = gateway.prompts.splice(0);
		for (const peer of gateways.filter(item => item !== gateway)) {
			peer.views.put(view, {sequence: gateway.sequence, now});
			for (const prompt of prompts) {
				peer.registry.recordPeerPrompt(prompt);
			}
		}
	}

	const pools = new Map<Kind, string[]>();
	let counter = 0;

	function pickKind(): Kind {
		const draw = random();
		return draw < options.longShare ? kinds.long : (draw < (1 + options.longShare) / 2 ? kinds.medium : kinds.short);
	}

	function pickSharedPart(kind: Kind): string {
		const pool = pools.get(kind) ?? Array.from({length: kind.pool}, (_, index) => `part-${kind.shared}-${index}`);
		pools.set(kind, pool);
		const index = Math.floor(random() * pool.length);
		if (random() < kind.renewShare) {
			pool[index] = `part-${kind.shared}-${counter}`;
		}

		return pool[index]!;
	}

	function placeRequest(): void {
		counter += 1;
		const kind = pickKind();
		const id = `request-${counter}`;
		const maxOutputTokens = 200;
		const generation: GenerationParameters = {
			model: 'm', promptTokens: kind.shared + kind.own, maxOutputTokens, parts: [{id: pickSharedPart(kind), tokens: kind.shared}, {id, tokens: kind.own}],
		};
		const {registry} = gateways[Math.floor(random() * gateways.length)]!;
		const candidates = registry.listCandidates({service, generation, excluded: new Set()});
		const chosen = engineById.get(options.policy.pick({id, generation, objectiveMs: kind.objectiveMs}, candidates).id)!;
		const tracker = registry.trackRequest(chosen.id, {service, generation});
		chosen.placed += 1;
		const {slowness, ...load} = chosen.engine.getLoad();
		chosen.engine.receive({
			generation, arrivedAt: now, objectiveMs: kind.objectiveMs, heldTokens: generation.promptTokens + maxOutputTokens, unreadTokens: 0, remainingTokens: 40 + Math.floor(random() * 160),
			firstAt: Number.POSITIVE_INFINITY, lastEventAt: now, hasPaused: false, sinceEvent: 0,
			tracker: {
				...tracker,
				// The head of an answer comes with its first event and carries the load at that time.
				recordFirstEvent() {
					const current = chosen.engine.getLoad();
					tracker.recordLoad(options.statesSlowness ? current : {...load, running: current.running, waiting: current.waiting});
					tracker.recordFirstEvent();
				},
			},
		});
	}

	let nextArrivalAt = 0;
	// The last two seconds let placed streams end.
	for (now = 0; now < options.durationMs + 2000; now += 1) {
		while (now < options.durationMs && nextArrivalAt <= now) {
			placeRequest();
			nextArrivalAt -= Math.log(1 - random()) * 1000 / options.requestsPerSecond;
		}

		for (const gateway of gateways) {
			if (gateway.announceAt <= now) {
				announce(gateway);
			}
		}

		for (const {engine} of engines) {
			engine.advance(now);
		}
	}

	const ended = engines.flatMap(({engine}) => engine.listEnded());
	const firstOnTime = ended.filter(({firstAt, arrivedAt, objectiveMs}) => firstAt - arrivedAt <= objectiveMs);
	return {
		requests: counter,
		firstOnTimeShare: firstOnTime.length / counter,
		onTimeShare: firstOnTime.filter(({hasPaused}) => !hasPaused).length / counter,
		maxHeldShare: Math.max(...engines.map(({engine}) => engine.getMaxHeldTokens())) / memoryTokens,
		busiestRatio: Math.max(...engines.map(({placed}) => placed)) / (counter / engines.length),
		sharedTokensRead: engines.reduce((sum, {engine}) => sum + engine.getSharedTokensRead(), 0),
	};
}
