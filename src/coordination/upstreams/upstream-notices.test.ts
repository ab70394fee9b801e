import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createUnlimitedEligibility} from '../../../tools/harness/unlimited-upstreams.js';
import type {GatewayService} from '../../protocol/mod.js';
import {createUpstreamDepartures, createUpstreamDirectory, createUpstreamRests} from '../../state/mod.js';
import {createNoticeRecorder, type UpstreamNotice} from './notice-recorder.js';

// Any order of answers of two starts of an upstream, of registrations that are put, removed and put again, and of requests.

const service: GatewayService = {id: 's', connectionLimit: 10};
const warmUpMs = 1000;
const maxInWarmUp = 10;

type Step =
	| {readonly kind: 'answer'; readonly startedAt: number; readonly notice: UpstreamNotice}
	| {readonly kind: 'register'; readonly startedAt: number}
	| {readonly kind: 'unregister'}
	| {readonly kind: 'wait'; readonly ms: number};

const startArbitrary = fc.constantFrom(1000, 2000);
const noticeArbitrary: fc.Arbitrary<UpstreamNotice> = fc.record({
	isLeaving: fc.constantFrom(undefined, undefined, undefined, false, true, 'malformed' as const),
	restMs: fc.oneof(fc.constant(undefined), fc.constant('malformed' as const), fc.integer({min: 0, max: 3000})),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	fc.record({kind: fc.constant('answer' as const), startedAt: startArbitrary, notice: noticeArbitrary}),
	fc.record({kind: fc.constant('register' as const), startedAt: startArbitrary}),
	fc.record({kind: fc.constant('unregister' as const)}),
	fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 1, max: 1500})}),
);

/** What an upstream of one start has said so far. */
type Said = {hasLeft: boolean; restEndsAt: number};

function play(steps: readonly Step[]) {
	let now = 0;
	const clock = {now: () => now, sleep: async () => undefined};
	const directory = createUpstreamDirectory();
	const departures = createUpstreamDepartures();
	const rests = createUpstreamRests();
	const eligibility = createUnlimitedEligibility({
		directory, clock, departures, rests,
	});
	const recorder = createNoticeRecorder({
		departures, rests, clock, events: {write: () => undefined, counts: new Map()},
	});
	const said = new Map<number, Said>([[1000, {hasLeft: false, restEndsAt: Number.NEGATIVE_INFINITY}], [2000, {hasLeft: false, restEndsAt: Number.NEGATIVE_INFINITY}]]);
	const sends: Array<{readonly at: number; readonly startedAt: number; readonly said: Readonly<Said>}> = [];
	let registered: number | undefined;
	let latest = 0;

	function apply(step: Step): void {
		switch (step.kind) {
			case 'answer': {
				recorder.recordAnswer({id: 'u1', startedAt: step.startedAt}, step.notice);
				const state = said.get(step.startedAt)!;
				state.hasLeft ||= step.notice.isLeaving === true;
				state.restEndsAt = typeof step.notice.restMs === 'number' ? Math.max(state.restEndsAt, now + step.notice.restMs) : state.restEndsAt;
				break;
			}

			case 'register': {
				directory.put({
					id: 'u1', service: 's', address: 'a', failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0, startedAt: step.startedAt,
				}, now);
				registered = step.startedAt;
				latest = step.startedAt;
				break;
			}

			case 'unregister': {
				directory.drop('u1');
				registered = undefined;
				break;
			}

			case 'wait': {
				now += step.ms;
				rests.prune(now);
			}
		}
	}

	// Registrations are read in the order in which they were written, and an answer is of a start that was registered.
	function isPossible(step: Step): boolean {
		return step.kind === 'register' ? step.startedAt >= latest : (step.kind !== 'answer' || step.startedAt <= latest);
	}

	for (const step of steps) {
		if (isPossible(step)) {
			apply(step);
		}

		for (let attempt = 0; attempt < 3; attempt += 1) {
			if (eligibility.admitSend('u1', service)) {
				sends.push({at: now, startedAt: registered!, said: {...said.get(registered!)!}});
			}
		}
	}

	return {sends, isUnheard: registered === 2000 && !said.get(2000)!.hasLeft && said.get(2000)!.restEndsAt === Number.NEGATIVE_INFINITY, canSend: () => eligibility.admitSend('u1', service)};
}

test('no order of answers and registrations sends a request to an upstream that leaves or rests', () => {
	fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
		const {sends} = play(steps);
		expect(sends.filter(({said}) => said.hasLeft)).toEqual([]);
		expect(sends.filter(({at, said}) => at < said.restEndsAt)).toEqual([]);
		for (const {at, startedAt, said} of sends.filter(send => send.at < send.said.restEndsAt + warmUpMs)) {
			const inWarmUp = sends.filter(other => other.startedAt === startedAt && other.said.restEndsAt === said.restEndsAt && other.at >= said.restEndsAt && other.at <= at);
			expect(inWarmUp.length).toBeLessThanOrEqual(maxInWarmUp);
		}
	}), {numRuns: 300});
});

test('no answer of an earlier start holds back requests to a later one', () => {
	fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
		const {isUnheard, canSend} = play(steps);
		expect(!isUnheard || canSend()).toBe(true);
	}), {numRuns: 300});
});
