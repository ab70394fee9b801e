import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {GatewayService, UpstreamRegistration} from '../../protocol/mod.js';
import {
	createEvacuations, createUpstreamDepartures, createUpstreamDirectory, createUpstreamLimits, createUpstreamRests,
} from '../../state/mod.js';
import {createColdAdmission} from './cold-admission.js';
import {createLimitAdmission} from './limit-admission.js';
import {OwnedShare, SubstitutedShare} from './share-policy.js';
import {createUpstreamEligibility} from './upstream-eligibility.js';

const service: GatewayService = {id: 'model', connectionLimit: 10, coldStart: {rate: 5.2, duration: 3000}};
const maxPerSecond = (5.2 * 1.5) + 5;

function buildRegistration(id: string, failureDomain: string, warmUp = 0): UpstreamRegistration {
	return {
		id, service: 'model', address: id, failureDomain, slots: 64, isDraining: false, warmUp,
	};
}

function createGateway(daemon: string, {clock, gateways}: {readonly clock: {readonly now: () => number}; readonly gateways: readonly string[]}) {
	const directory = createUpstreamDirectory();
	const evacuations = createEvacuations();
	const departures = createUpstreamDepartures();
	const rests = createUpstreamRests();
	const state = {isInformed: true, isOutdated: false};
	const fullClock = {...clock, sleep: async () => undefined};
	const limits = createUpstreamLimits();
	const sender = {
		clock: fullClock, processStartedAt: 0, daemon, listGateways: () => gateways,
	};
	const eligibility = createUpstreamEligibility({
		directory, evacuations, departures, rests, random: () => 0, clock: fullClock, isInformed: () => state.isInformed, isOutdated: () => state.isOutdated,
		coldAdmission: createColdAdmission({
			...sender, policy: new OwnedShare(), overage: 1.5, slack: 5,
		}),
		limitAdmission: createLimitAdmission({...sender, policy: new SubstitutedShare(), limits}),
	});
	return {
		directory, evacuations, departures, rests, limits, state, eligibility,
	};
}

function createSingle() {
	let now = 10_000;
	const gateway = createGateway('g0', {clock: {now: () => now}, gateways: ['g0']});
	return {
		...gateway,
		setNow(value: number) {
			now = value;
		},
	};
}

test('a request that was placed before the records became outdated is not written after it', () => {
	// Guards against requests to upstreams that left while this gateway alone could not read the store.
	const {directory, eligibility, state} = createSingle();
	directory.put(buildRegistration('u1', 'a'), 0);
	expect(eligibility.listEligible(service).length).toBe(1);
	state.isOutdated = true;
	expect(eligibility.admitSend('u1', service)).toBe(false);
	expect(eligibility.listEligible(service)).toEqual([]);
	expect(eligibility.findBlockage(service)?.retryAfterMs).toBe(100);
	state.isOutdated = false;
	expect(eligibility.admitSend('u1', service)).toBe(true);
});

test('a request that was placed before an evacuation is not written after it', () => {
	// Guards against requests that wait seconds for a connection and reach an evacuated engine.
	const {directory, evacuations, eligibility} = createSingle();
	directory.put(buildRegistration('u1', 'a'), 0);
	expect(eligibility.listEligible(service).length).toBe(1);
	evacuations.merge({failureDomain: 'a', offset: 1, isEvacuated: true}, 10_000);
	expect(eligibility.admitSend('u1', service)).toBe(false);
	expect(eligibility.isExpectedUp('u1')).toBe(false);
	expect(eligibility.findBlockage(service)).toEqual({detail: 'All failure domains of the service are evacuated', retryAfterMs: 1000});
});

test('a request that was placed before its upstream said that it leaves is not written after it', () => {
	// Guards against requests that wait seconds for a connection and reach an engine that is about to exit.
	const {directory, departures, eligibility} = createSingle();
	directory.put(buildRegistration('u1', 'a'), 0);
	directory.put(buildRegistration('u2', 'a'), 0);
	expect(eligibility.listEligible(service).length).toBe(2);
	departures.record({id: 'u1', startedAt: undefined});
	expect(eligibility.admitSend('u1', service)).toBe(false);
	expect(eligibility.listEligible(service).map(({upstream}) => upstream.id)).toEqual(['u2']);
	expect(eligibility.findBlockage(service)).toBeUndefined();
	// Its connections end with its process, which must not be taken for a crash.
	expect(eligibility.isExpectedUp('u1')).toBe(false);
	departures.record({id: 'u2', startedAt: undefined});
	expect(eligibility.findBlockage(service)).toEqual({detail: 'All upstreams of the service are leaving', retryAfterMs: 1000});
});

test('a request that was placed before its upstream asked for a rest is not written after it', () => {
	// Guards against requests that wait for a connection to an engine that refuses them all.
	const {directory, rests, eligibility, setNow} = createSingle();
	directory.put(buildRegistration('u1', 'a'), 0);
	setNow(20_000);
	rests.record({id: 'u1', startedAt: undefined}, {durationMs: 3000, now: 20_000});
	expect(eligibility.admitSend('u1', service)).toBe(false);
	expect(eligibility.listEligible(service)).toEqual([]);
	expect(eligibility.findBlockage(service)?.retryAfterMs).toBe(3000);
	expect(eligibility.isExpectedUp('u1')).toBe(true);
	setNow(23_000);
	expect([eligibility.admitSend('u1', service), eligibility.admitSend('u1', service)]).toEqual([true, false]);
	setNow(24_000);
	expect([eligibility.admitSend('u1', service), eligibility.admitSend('u1', service)]).toEqual([true, true]);
});

test('a registration that is removed and put again does not bring back an upstream that leaves', () => {
	// Guards against an engine whose entry lapses while the store is unavailable.
	const {directory, departures, eligibility} = createSingle();
	directory.put({...buildRegistration('u1', 'a'), startedAt: 1000}, 0);
	departures.record({id: 'u1', startedAt: 1000});
	directory.drop('u1');
	directory.put({...buildRegistration('u1', 'a'), startedAt: 1000}, 0);
	expect(eligibility.admitSend('u1', service)).toBe(false);
	directory.put({...buildRegistration('u1', 'a'), startedAt: 2000}, 0);
	expect(eligibility.admitSend('u1', service)).toBe(true);
});

test('upstreams of a failure domain that returns count as cold for as long as a start takes', () => {
	const {directory, evacuations, eligibility, setNow} = createSingle();
	directory.put(buildRegistration('u1', 'a'), 0);
	evacuations.merge({failureDomain: 'a', offset: 1, isEvacuated: true}, 8000);
	evacuations.merge({failureDomain: 'a', offset: 2, isEvacuated: false}, 10_000);
	const sent = Array.from({length: 50}, () => eligibility.admitSend('u1', service)).filter(Boolean).length;
	expect(sent).toBeLessThanOrEqual(maxPerSecond);
	expect(eligibility.findBlockage(service)?.retryAfterMs).toBeLessThanOrEqual(3000);
	setNow(13_000);
	expect(Array.from({length: 50}, () => eligibility.admitSend('u1', service))).not.toContain(false);
});

test('a gateway that neither reads the deployment nor hears from others sends as to cold upstreams', () => {
	// Guards against requests to upstreams that became cold while this gateway was cut off from the store and its peers.
	const {directory, state, eligibility} = createSingle();
	directory.put(buildRegistration('u1', 'a'), 0);
	state.isInformed = false;
	expect(Array.from({length: 50}, () => eligibility.admitSend('u1', service)).filter(Boolean).length).toBeLessThanOrEqual(maxPerSecond);
	state.isInformed = true;
	expect(eligibility.admitSend('u1', service)).toBe(true);
});

/** How one gateway sees the return of a failure domain, and when it tries to send; times in milliseconds. */
const viewArbitrary = fc.record({
	sendsAt: fc.array(fc.integer({min: 0, max: 12_000}), {maxLength: 80}),
	knowsEvacuationAt: fc.integer({min: 2000, max: 2500}),
	/** A gateway that is cut off receives the return seconds late, and knows meanwhile that the domain is evacuated. */
	knowsReturnAt: fc.integer({min: 5000, max: 9000}),
	isInformed: fc.boolean(),
});

/** The engine returns cold at this time, and is warm `coldDuration` later. */
const returnsAt = 5000;
const coldDuration = 3000;

/** Plays all gateways in order of time and returns when requests were written to the engine while it was cold. */
function playReturn(views: ReadonlyArray<typeof viewArbitrary extends fc.Arbitrary<infer View> ? View : never>): number[] {
	let now = 0;
	const sent: number[] = [];
	const names = views.map((_, index) => `g${index}`);
	const steps = views.flatMap(({sendsAt, knowsEvacuationAt, knowsReturnAt, isInformed}, index) => {
		const {directory, evacuations, state, eligibility} = createGateway(names[index]!, {clock: {now: () => now}, gateways: names});
		directory.put(buildRegistration('u1', 'a'), 0);
		state.isInformed = isInformed;
		const adopt = (offset: number, isEvacuated: boolean) => () => {
			evacuations.merge({failureDomain: 'a', offset, isEvacuated}, now);
		};

		const send = () => {
			if (eligibility.admitSend('u1', service)) {
				sent.push(now);
			}
		};

		return [{at: knowsEvacuationAt, run: adopt(1, true)}, {at: knowsReturnAt, run: adopt(2, false)}, ...sendsAt.map(at => ({at, run: send}))];
	});
	for (const {at, run} of steps.sort((left, right) => left.at - right.at)) {
		now = at;
		run();
	}

	return sent.filter(at => at >= returnsAt && at < returnsAt + coldDuration);
}

test('gateways whose views of an evacuation and a return differ in age keep the limit of a cold upstream', () => {
	// Guards against a burst at an engine that returns cold, by gateways that receive the return at different times.
	fc.assert(fc.property(fc.array(viewArbitrary, {minLength: 1, maxLength: 26}), views => {
		const sent = playReturn(views);
		const most = Math.max(0, ...sent.map(start => sent.filter(at => at >= start && at < start + 1000).length));
		expect(most).toBeLessThanOrEqual(maxPerSecond);
	}), {numRuns: 200});
});

test('an upstream that named a limit is not eligible once its share is used up, whichever way a request came', () => {
	// Guards against repeats and requests that waited for a connection being sent beside the limit.
	const {directory, limits, eligibility, setNow} = createSingle();
	const warm: GatewayService = {id: 'model', connectionLimit: 10};
	directory.put(buildRegistration('u1', 'a'), 0);
	limits.recordNamed('u1', {requestsPerSecond: 0.5, now: 10_000});
	expect(Array.from({length: 3}, () => eligibility.admitSend('u1', warm))).toEqual([true, true, false]);
	expect(eligibility.listEligible(warm)).toEqual([]);
	expect(eligibility.findBlockage(warm)?.retryAfterMs).toBe(1000);
	setNow(14_200);
	expect(eligibility.findBlockage(warm)).toBeUndefined();
	expect(eligibility.admitSend('u1', warm)).toBe(true);
});
