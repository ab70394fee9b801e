import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect, test} from 'vitest';
import {measureDecision} from '../../../tools/harness/decision-time.js';
import {createVirtualTime} from '../../../tools/measure/virtual-clock.js';
import type {PeerView} from '../../state/mod.js';
import {planAsks, rankLenders} from './lender-plan.js';
import type {CreditedLoan, LoanAsk} from './loan-calls.js';
import {createLoanSearch} from './loan-search.js';

const customer = 'c1';
const maxDecisionMs = 0.05;
const leakSearches = 10_000;
/** Less than what one promise that waits for another takes. */
const maxLeftBytes = 50;

function buildView(daemon: string, tokens: number): PeerView {
	return {
		daemon, incarnation: 'i', address: daemon, free: tokens > 0 ? [{customer, tokens}] : [], uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
	};
}

type Replies = Readonly<Record<string, {readonly afterMs: number; readonly tokens: number}>>;

/** Plays a search in a fleet of five gateways with the owners e1 and e2, and returns who was asked when. */
async function play(replies: Replies, {needed = 100, maxWaitMs}: {readonly needed?: number; readonly maxWaitMs?: number} = {}) {
	const time = createVirtualTime();
	const asked: Array<[daemon: string, atMs: number, needed: number, mayClaim: boolean]> = [];
	const search = createLoanSearch({
		calls: {
			getDurationMs: () => 0,
			open({daemon}, ask: LoanAsk) {
				asked.push([daemon, time.now(), ask.needed, ask.mayClaim]);
				const {afterMs, tokens} = replies[daemon]!;
				const reply = time.sleep(afterMs).then((): CreditedLoan => ({tokens, credited: tokens, isClaiming: ask.mayClaim})); // eslint-disable-line promise/prefer-await-to-then
				return {reply, markLate: () => undefined};
			},
		},
		listViews: () => [buildView('e1', 0), buildView('e2', 0), buildView('e3', 60), buildView('e4', 50)],
		listUnresponsive: () => [], listUnheard: () => [], listOwners: () => ['e1', 'e2', 'e0'], isOwner: () => false, clock: time,
	});
	let endedAt: number | undefined;
	const run = (async () => {
		const outcome = await search.run(customer, {
			needed, wanted: needed, unclaimed: 0, maxWaitMs,
		});
		endedAt = time.now();
		return outcome;
	})();
	await time.runUntil(10_000);
	return {asked, endedAt, outcome: await run};
}

test('the next owner is asked if the first has not replied within 60 ms, and may claim later', async () => {
	// Guards against a request that waits 300 ms for an owner that has failed, and against colliding claims of both owners.
	const {asked, endedAt} = await play({e1: {afterMs: 8000, tokens: 100}, e2: {afterMs: 10, tokens: 100}});
	expect(asked.slice(0, 1)).toEqual([['e1', 0, 100, true]]);
	expect(asked[1]).toEqual(['e2', 60, 100, false]);
	expect(endedAt).toBeLessThanOrEqual(160);
});

test('the other gateways are asked at the same time, each for what it advertises', async () => {
	// Guards against 300 ms for each of up to eight gateways, one after the other.
	const {asked, endedAt, outcome} = await play({
		e1: {afterMs: 10, tokens: 0}, e2: {afterMs: 10, tokens: 0}, e3: {afterMs: 200, tokens: 60}, e4: {afterMs: 200, tokens: 40},
	});
	expect(asked).toEqual([['e1', 0, 100, true], ['e3', 10, 60, false], ['e4', 10, 40, false]]);
	expect([endedAt, outcome.tokens]).toEqual([210, 100]);
});

test('a search does not last longer than the request may wait', async () => {
	const silent = {afterMs: 9000, tokens: 0};
	const {endedAt, outcome} = await play({
		e1: silent, e2: silent, e3: silent, e4: silent,
	}, {maxWaitMs: 225});
	expect(endedAt).toBeLessThanOrEqual(225);
	expect(outcome.isComplete).toBe(false);
});

test('a decision takes under 50 microseconds with 90 gateways', () => {
	const views = Array.from({length: 90}, (_, index) => buildView(`e${index}`, index));
	const ownerNames = views.map(({daemon}) => daemon);
	const {meanMs} = measureDecision(() => {
		const {others} = rankLenders(customer, {views, ownerNames, isUnresponsive: () => false});
		planAsks(customer, {lenders: others, missing: 300});
	});
	expect(meanMs).toBeLessThan(maxDecisionMs);
});

test('searches whose first owner does not reply leave nothing behind', async () => {
	// Guards against memory that grows with each such search: a promise that outlives them keeps what waits for it.
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	let now = 0;
	const search = createLoanSearch({
		calls: {
			getDurationMs: () => 0,
			open: ({daemon}) => ({
				reply: daemon === 'e1' ? Promise.resolve(undefined) : Promise.resolve({tokens: 0, credited: 0, isClaiming: true}),
				markLate: () => undefined,
			}),
		},
		listViews: () => [buildView('e1', 0), buildView('e2', 0)],
		listUnresponsive: () => [], listUnheard: () => [], listOwners: () => ['e1', 'e2'], isOwner: () => false,
		clock: {now: () => now, sleep: async () => undefined},
	});
	async function measureHeap(searches: number): Promise<number> {
		for (let index = 0; index < searches; index += 1) {
			// Long enough for the owner to be asked first again.
			now += 5000;
			await search.run(customer, {needed: 100, wanted: 100, unclaimed: 1000});
		}

		collectGarbage();
		return process.memoryUsage().heapUsed;
	}

	await measureHeap(leakSearches);
	const before = await measureHeap(leakSearches);
	expect(await measureHeap(leakSearches) - before).toBeLessThan(leakSearches * maxLeftBytes);
});
