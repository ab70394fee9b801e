import fc from 'fast-check';
import {expect, test} from 'vitest';
import {simulateEngines, type SimulateEnginesOptions} from '../../../tools/harness/engine-model.js';
import {createUnlimitedEligibility} from '../../../tools/harness/unlimited-upstreams.js';
import type {EventName, GatewayService, GenerationParameters} from '../../protocol/mod.js';
import {createUpstreamDirectory, type PeerUse} from '../../state/mod.js';
import {
	PromptPlacementPolicy, StreamPlacementPolicy, createEngineSpeed, createUpstreamRegistry, estimateHeldTokens, estimateRelativeSlowness, maxHeldShare, type PlacementCandidate, type PlacementPolicy, type PlacementQuery,
} from '../mod.js';

const service: GatewayService = {
	id: 'model', connectionLimit: 1000, engine: {
		slots: 128, memory: 462_000, tokensPerEvent: 4, canFetchPrompts: false,
	},
};
const generation: GenerationParameters = {
	model: 'm', promptTokens: 17_020, maxOutputTokens: 200, parts: [{id: 'shared', tokens: 13_300}, {id: 'own', tokens: 3720}],
};
const query: PlacementQuery = {id: 'r', generation, objectiveMs: 1000};
const policy = new StreamPlacementPolicy();

function buildCandidate(id: string, fields: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, slots: 128, inFlight: 0, waitingTokens: 0, cachedTokens: 0, slowness: 1, failureShare: 0, isSameDomain: true, isOnGrace: false, softwareVersion: 'v1', tokensPerEvent: 4, memoryTokens: 462_000, heldTokens: 0, ...fields,
	};
}

/** Creates the registry of a gateway that knows two engines. */
function createGateway(peerUse: Partial<PeerUse> = {}) {
	let now = 0;
	const clock = {now: () => now, async sleep() {/* The test advances time. */}};
	const directory = createUpstreamDirectory();
	const written: EventName[] = [];
	const register = (id: string, startedAt: number) => {
		directory.put({
			id, service: 'model', address: `${id}:1`, failureDomain: 'd', slots: 128, isDraining: false, warmUp: 0, startedAt,
		}, now);
	};

	register('e1', 1000);
	register('e2', 1000);
	const registry = createUpstreamRegistry({
		directory, clock, eligibility: createUnlimitedEligibility({directory, clock}), failureDomain: 'd',
		events: {
			write(name) {
				written.push(name);
			},
		},
		sumPeerUse: upstream => ({
			upstream, inFlight: 0, waitingTokens: 0, ...peerUse,
		}),
	});
	return {
		registry, written, register,
		advance(ms: number) {
			now += ms;
		},
		find: (id: string) => registry.listCandidates({service, generation, excluded: new Set()}).find(candidate => candidate.id === id)!,
	};
}

// Guards against streams that are late because they wait at slow engines, and against shared parts that are read again, while
// gateways know of each other's placements half a second late.
test('under load more streams begin on time than with the earlier policy, and shared parts are read less often', () => {
	const load: Omit<SimulateEnginesOptions, 'policy' | 'statesSlowness' | 'seed'> = {
		gateways: 24, engines: 31, requestsPerSecond: 90, durationMs: 20_000, viewAgeMs: 480, longShare: 0.5,
	};
	const seeds = [1, 2];
	const earlier = seeds.map(seed => simulateEngines({
		...load, seed, policy: new PromptPlacementPolicy(), statesSlowness: false,
	}));
	const present = seeds.map(seed => simulateEngines({
		...load, seed, policy: new StreamPlacementPolicy(), statesSlowness: true,
	}));
	const sum = (results: typeof present, field: keyof (typeof present)[number]) => results.reduce((total, result) => total + result[field], 0);
	expect(sum(present, 'onTimeShare')).toBeGreaterThan(sum(earlier, 'onTimeShare'));
	expect(sum(present, 'sharedTokensRead')).toBeLessThan(sum(earlier, 'sharedTokensRead') * 0.95);
	expect(Math.max(...present.map(({maxHeldShare: share}) => share))).toBeLessThan(maxHeldShare);
}, 60_000);

// Guards against engines that crash because the requests placed there hold more than their memory. Engines are given 180,000
// tokens, because the load of one day fills 462,000 to less than 0.9.
test('engines with little memory are not filled', () => {
	const simulate = (seed: number, simulated: PlacementPolicy) => simulateEngines({
		policy: simulated, statesSlowness: true, seed, gateways: 24, engines: 31, requestsPerSecond: 90, durationMs: 10_000, viewAgeMs: 480, longShare: 0.5, memoryTokens: 180_000,
	}).maxHeldShare;
	const seeds = [3, 4, 5];
	const earlier = seeds.map(seed => simulate(seed, new PromptPlacementPolicy()));
	const present = seeds.map(seed => simulate(seed, new StreamPlacementPolicy()));
	expect(Math.max(...earlier)).toBeGreaterThan(1);
	expect(Math.max(...present)).toBeLessThanOrEqual(1);
}, 60_000);

test('an engine whose memory the request would fill gets it only if no other can take it', () => {
	const isFull = {heldTokens: 400_000, cachedTokens: 13_300};
	expect(policy.pick(query, [buildCandidate('e1', isFull), buildCandidate('e2', {inFlight: 100, waitingTokens: 60_000})]).id).toBe('e2');
	expect(policy.pick(query, [buildCandidate('e1', isFull), buildCandidate('e2', {heldTokens: 440_000})]).id).toBe('e1');
});

// Guards against the loss of what caches save: reading a shared part takes a quarter of a second.
test('a prompt goes where its shared part is cached, unless that delays its caller too much', () => {
	const others = Array.from({length: 30}, (_, index) => buildCandidate(`o${index}`));
	const pickBeside = (fields: Partial<PlacementCandidate>) => policy.pick(query, [...others, buildCandidate('cached', {cachedTokens: 13_300, ...fields})]).id;
	expect(pickBeside({})).toBe('cached');
	expect(pickBeside({waitingTokens: 8000, slowness: 1.67})).toBe('cached');
	expect(pickBeside({waitingTokens: 120_000})).not.toBe('cached');
	expect(pickBeside({momentarySlowness: 20})).not.toBe('cached');
});

// Guards against a herd: gateways that lack each other's newest placements choose one engine at the same time.
test('requests that cost the same at many engines are spread over them', () => {
	const candidates = Array.from({length: 30}, (_, index) => buildCandidate(`e${index}`));
	const picks = Array.from({length: 300}, (_, index) => policy.pick({id: `r${index}`, generation: {...generation, promptTokens: 300, parts: []}}, candidates).id);
	const counts = candidates.map(({id}) => picks.filter(pick => pick === id).length);
	expect(Math.max(...counts)).toBeLessThan(30);
	expect(Math.min(...counts)).toBeGreaterThan(0);
});

// Guards against values that make an engine look free or lost for good.
test('unreadable slowness is ignored and logged once, absent slowness is not logged', () => {
	const {registry, written, find} = createGateway();
	const tracker = registry.trackRequest('e1', {service, generation});
	for (const slowness of ['malformed', 'malformed', 'malformed', undefined] as const) {
		tracker.recordLoad({
			running: 3, waiting: 1, slots: 128, ...slowness && {slowness},
		});
	}

	expect(written).toEqual(['upstreamSlownessUnreadable']);
	expect(find('e1').momentarySlowness).toBeUndefined();
	expect(find('e1').inFlight).toBe(4);
});

test('a slowness is used for a second, then decays, also if it is the largest that is believed', () => {
	for (const value of [2, 1000]) {
		const speed = createEngineSpeed();
		speed.recordSlowness(value, 0);
		expect(speed.estimateMomentary(1000, undefined)).toBe(value);
		expect(speed.estimateMomentary(1500, undefined)).toBe(1 + ((value - 1) / 2));
		expect(speed.estimateMomentary(2000, undefined)).toBeUndefined();
		expect(speed.estimateMomentary(2000, 1.5)).toBe(1.5);
		expect([speed.getReported(999), speed.getReported(1000)]).toEqual([value, undefined]);
	}
});

test('a slowness changes the speed that is learnt little', () => {
	const learn = (durationMs: number, momentarySlowness: number | undefined) => {
		const speed = createEngineSpeed();
		speed.recordWork({durationMs, work: 100, momentarySlowness});
		return speed.getMsPerWork();
	};

	expect(learn(300, 3)).toBe(learn(100, undefined));
	expect(learn(100, 1000)).toBe(learn(100, 8));
	expect([estimateRelativeSlowness(0, 1), estimateRelativeSlowness(100, 1), estimateRelativeSlowness(0.01, 1)]).toEqual([1, 8, 0.6]);
});

test('costs are finite and a candidate is picked for any values', () => {
	const candidate = fc.record({
		id: fc.string(), inFlight: fc.nat(), waitingTokens: fc.nat(), cachedTokens: fc.nat(20_000), slowness: fc.double({min: 0.6, max: 16, noNaN: true}), momentarySlowness: fc.option(fc.double({min: 0.01, max: 1000, noNaN: true}), {nil: undefined}),
		heldTokens: fc.nat(), memoryTokens: fc.constantFrom(undefined, 1, 462_000), tokensPerEvent: fc.constantFrom(undefined, 1, 64), isSameDomain: fc.boolean(), failureShare: fc.double({min: 0, max: 1, noNaN: true}),
	});
	fc.assert(fc.property(fc.array(candidate, {minLength: 1, maxLength: 8}), fc.boolean(), (fields, hasGeneration) => {
		const candidates = fields.map(({id, ...rest}) => buildCandidate(id, rest));
		const anyQuery = hasGeneration ? query : {id: 'r', generation: undefined};
		expect(candidates.every(item => Number.isFinite(policy.estimateCost(anyQuery, item, 0)))).toBe(true);
		expect(candidates).toContain(policy.pick(anyQuery, candidates));
	}));
});

// Guards against the speed, cache and slowness of an earlier process that would be taken for those of its successor.
test('what is learnt of an engine starts anew when it restarts under its ID, and late answers of the earlier process do not count', () => {
	const {registry, written, register, advance, find} = createGateway();
	const early = registry.trackRequest('e1', {service, generation});
	const other = registry.trackRequest('e2', {service, generation});
	advance(300);
	other.recordFirstEvent();
	advance(3000);
	early.recordLoad({
		running: 9, waiting: 9, slots: 128, slowness: 4,
	});
	early.recordFirstEvent();
	expect(find('e1')).toMatchObject({inFlight: 18, cachedTokens: 17_020, momentarySlowness: 4});
	expect(find('e1').slowness / find('e2').slowness).toBeGreaterThan(1.5);
	const late = registry.trackRequest('e1', {service, generation});
	register('e1', 2000);
	expect(find('e1')).toMatchObject({
		inFlight: 2, cachedTokens: 0, momentarySlowness: undefined, slowness: 1,
	});
	late.recordLoad({
		running: 50, waiting: 50, slots: 128, slowness: 9,
	});
	late.recordFirstEvent();
	late.end();
	early.end();
	expect(find('e1')).toMatchObject({
		inFlight: 0, heldTokens: 0, waitingTokens: 0, momentarySlowness: undefined, slowness: 1,
	});
	expect(written).toEqual(['upstreamSpeedReset']);
});

test('engines that state no load, and gateways that hear nobody, leave what this gateway knows', () => {
	const {registry, written, find} = createGateway();
	const trackers = Array.from({length: 25}, () => registry.trackRequest('e1', {service, generation}));
	expect(find('e1')).toMatchObject({
		inFlight: 25, heldTokens: 25 * 17_220, momentarySlowness: undefined, slowness: 1,
	});
	expect(policy.pick(query, [find('e1'), find('e2')]).id).toBe('e2');
	expect(registry.listUses()).toEqual([{
		upstream: 'e1', inFlight: 25, waitingTokens: 17_020, heldTokens: 25 * 17_220,
	}]);
	for (const tracker of trackers) {
		tracker.end();
	}

	expect(find('e1')).toMatchObject({inFlight: 0, heldTokens: 0, waitingTokens: 0});
	expect(written).toEqual(['upstreamMemoryShort', 'upstreamMemoryFree']);
});

test('requests of gateways that do not state what they hold count as the mean', () => {
	expect(estimateHeldTokens({
		knownTokens: 34_000, knownRequests: 2, allRequests: 5, meanRequestTokens: 9000,
	})).toBe(61_000);
	const {registry, find} = createGateway({
		inFlight: 3, waitingTokens: 0, heldTokens: 20_000, statedInFlight: 1, slowness: 2,
	});
	registry.trackRequest('e1', {service, generation});
	expect(find('e1')).toMatchObject({inFlight: 4, heldTokens: 17_220 + 20_000 + (2 * 17_220), momentarySlowness: 2});
});

// Guards against a caller that makes an engine look idle, so that it gets all requests: nothing compares the parts with the prompt.
test('parts that are longer than their prompt leave no negative work', () => {
	const {registry, advance, find} = createGateway();
	registry.trackRequest('e1', {service, generation}).recordFirstEvent();
	const short = {...generation, promptTokens: 10};
	const tracker = registry.trackRequest('e1', {service: {...service, engine: undefined}, generation: short});
	expect(find('e1').waitingTokens).toBe(0);
	expect(registry.listCandidates({service, generation: short, excluded: new Set()}).map(({cachedTokens}) => cachedTokens)).toEqual([10, 0]);
	advance(100);
	tracker.recordFirstEvent();
	expect(find('e1').waitingTokens).toBe(0);
});

// Guards against an engine or another gateway that makes an engine look free or lost for all.
test('a slowness counts as at least a quarter and at most a thousand times the usual', () => {
	const speed = createEngineSpeed();
	expect([0.000_01, 40_000_000].map(value => speed.estimateMomentary(0, value))).toEqual([0.25, 1000]);
	speed.recordSlowness(0.000_01, 0);
	expect(speed.estimateMomentary(0, undefined)).toBe(0.25);
	expect(speed.getReported(0)).toBe(0.25);
});

// Guards against a successor that gets no requests for up to 4 s because its predecessor did not respond.
test('an engine that restarts under its ID is not avoided for failures of the earlier process', () => {
	const {registry, register, find} = createGateway();
	const early = registry.trackRequest('e1', {service, generation});
	const late = registry.trackRequest('e1', {service, generation});
	early.recordUnresponsive();
	expect(find('e1')).toBeUndefined();
	register('e1', 2000);
	expect(find('e1')).toBeDefined();
	late.recordUnresponsive();
	late.recordFailure();
	expect(find('e1')).toMatchObject({failureShare: 0});
});

// Guards against a crash for lack of memory: an engine that is extremely slow can still take the request.
test('an engine that is short of memory gets no request because another one is slow', () => {
	const isSlow = {momentarySlowness: 1000, slowness: 16, failureShare: 0.5};
	expect(policy.pick(query, [buildCandidate('e1', {heldTokens: 400_000}), buildCandidate('e2', isSlow)]).id).toBe('e2');
});
