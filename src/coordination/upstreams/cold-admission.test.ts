import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createColdAdmission} from './cold-admission.js';
import {
	EqualShare, OwnedShare, UnlimitedShare, type SharePolicy,
} from './share-policy.js';

const coldRate = 5.2;
const overage = 1.5;
const slack = 5;
const maxPerSecond = (coldRate * overage) + slack;

/** A gateway that sends at times in milliseconds, with a view that lacks some of the others. */
type SimulatedGateway = {readonly sendAttemptsAt: readonly number[]; readonly missing: readonly number[]};

/** Plays the attempts of all gateways to send to one cold upstream and returns when requests were sent. */
function playSends(gateways: readonly SimulatedGateway[], policy: SharePolicy): number[] {
	let now = 0;
	const names = gateways.map((_, index) => `g${index}`);
	const clock = {
		now: () => now,
		sleep: async () => undefined,
	};
	const admissions = gateways.map(({missing}, index) => createColdAdmission({
		clock, processStartedAt: 0, daemon: names[index]!, policy, overage, slack,
		listGateways: () => names.filter((_, other) => other === index || !missing.includes(other)),
	}));
	const attempts = gateways.flatMap(({sendAttemptsAt}, index) => sendAttemptsAt.map(at => ({at, index}))).sort((left, right) => left.at - right.at);
	const sent: number[] = [];
	for (const {at, index} of attempts) {
		now = at;
		if (admissions[index]!.computeWaitMs('u', coldRate) === 0) {
			admissions[index]!.recordSend('u');
			sent.push(at);
		}
	}

	return sent;
}

function countMaxInSecond(sent: readonly number[]): number {
	return Math.max(0, ...sent.map(start => sent.filter(at => at >= start && at < start + 1000).length));
}

function createBurst(gatewayCount: number, durationMs: number): SimulatedGateway[] {
	const sendAttemptsAt = Array.from({length: durationMs / 20}, (_, index) => 1200 + (index * 20));
	return Array.from({length: gatewayCount}, () => ({sendAttemptsAt, missing: []}));
}

const gatewayArbitrary = fc.record({
	sendAttemptsAt: fc.array(fc.nat(4000), {maxLength: 60}),
	missing: fc.uniqueArray(fc.nat(25), {maxLength: 4}),
});

test('owners keep the limit of a cold upstream in any interleaving of sends, with views that lack up to four gateways', () => {
	// Guards against crashing an engine that has just started, by requests that several gateways send in the same second.
	fc.assert(fc.property(fc.array(gatewayArbitrary, {minLength: 1, maxLength: 26}), gateways => {
		expect(countMaxInSecond(playSends(gateways, new OwnedShare()))).toBeLessThanOrEqual(maxPerSecond);
	}), {numRuns: 300});
});

test.each([1, 4, 8, 26, 90])('with %i gateways a cold upstream gets as many requests as it tolerates, and not more than allowed', gatewayCount => {
	const sent = playSends(createBurst(gatewayCount, 4000), new OwnedShare());
	expect(countMaxInSecond(sent)).toBeLessThanOrEqual(maxPerSecond);
	expect(sent.length / 4).toBeGreaterThanOrEqual(coldRate);
});

test('a limit divided equally leaves a cold upstream idle where there are more gateways than it allows requests', () => {
	expect(playSends(createBurst(4, 4000), new EqualShare()).length).toBeGreaterThan(0);
	expect(playSends(createBurst(26, 4000), new EqualShare()).length).toBe(0);
	expect(countMaxInSecond(playSends(createBurst(26, 4000), new UnlimitedShare()))).toBeGreaterThan(maxPerSecond);
});

test('a process that has just started sends nothing for a second, and nothing before it knows the fleet', () => {
	// Guards against a second share for a gateway that is killed and restarted.
	const early = {sendAttemptsAt: [0, 300, 900], missing: []};
	expect(playSends([early], new OwnedShare())).toEqual([]);
	const admission = createColdAdmission({
		clock: {now: () => 5000, sleep: async () => undefined}, processStartedAt: 0, daemon: 'g', policy: new OwnedShare(), overage, slack, listGateways: () => undefined,
	});
	expect(admission.computeWaitMs('u', coldRate)).toBe(Number.POSITIVE_INFINITY);
});
