/**
 * Routing policies before real engines' stand-ins: a slow one, one whose
 * reports lag, a dead one, at three loads.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	askChat, fetchDocument, startFleet, type CallerAnswer, type TestFleet,
} from '../harness/mod.js';
import {createRandom} from './random.js';
import {pickPercentile, roundTo} from './report.js';

const key = 'measure-key';
const seed = 20_261_202;
const loadSpan = 1600;
const engineCount = 4;
const capacity = 8;
const answerTokens = 20;
const tokenPause = 5;
const prefill = 60;
const deadline = '2s';
const prefixes = 24;
/** Requests a second that all engines carry together with every prefix cached. */
const fullRate = engineCount * capacity * 1000 / ((answerTokens * tokenPause) + (prefill / 4));

type Tally = {readonly answers: Array<CallerAnswer | undefined>};

const faults: ReadonlyArray<{readonly name: string; readonly set: (fleet: TestFleet) => Promise<void>}> = [
	{
		name: 'healthy',
		async set() {
			await Promise.resolve();
		},
	},
	{
		name: 'one slow',
		async set(fleet) {
			await setEngine(fleet, 0, {tokenPause: tokenPause * 5, prefill: prefill * 5});
		},
	},
	{
		name: 'one slow, one lags 5 s',
		async set(fleet) {
			await setEngine(fleet, 1, {lag: 5000});
		},
	},
	{
		name: 'one slow, one lags, one dead',
		async set(fleet) {
			await fleet.upstreams[2]!.process.kill();
		},
	},
];

async function setEngine(fleet: TestFleet, index: number, control: Record<string, unknown>): Promise<void> {
	await fetchDocument(`${fleet.upstreams[index]!.standIn.ready.url}/control`, control);
}

async function countCache(fleet: TestFleet): Promise<{runs: number; hits: number; repeats: number}> {
	const total = {runs: 0, hits: 0, repeats: 0};
	for (const upstream of fleet.upstreams) {
		const counts = await fetchDocument<{runs: number; cacheHits: number; repeats: number}>(`${upstream.standIn.ready.url}/counts`);
		total.runs += counts.runs;
		total.hits += counts.cacheHits;
		total.repeats += counts.repeats;
	}

	return total;
}

async function playLoad(fleet: TestFleet, load: number): Promise<Tally> {
	const random = createRandom(seed);
	const answers: Array<CallerAnswer | undefined> = [];
	const calls: Array<Promise<void>> = [];
	const until = performance.now() + loadSpan;
	let turn = 0;
	while (performance.now() < until) {
		turn += 1;
		const prefix = `Prefix ${Math.floor(random() * prefixes)} `.repeat(40);
		calls.push(callOnce(fleet.entries[turn % 2]!.process.ready.callers, `${prefix} answer ${answerTokens}`, answers));
		await wait(-Math.log(1 - random()) * 1000 / (fullRate * load));
	}

	await Promise.all(calls);
	return {answers};
}

async function callOnce(url: string, content: string, answers: Array<CallerAnswer | undefined>): Promise<void> {
	try {
		answers.push(await askChat(url, {
			key, content, maxTokens: answerTokens, stream: true, deadline,
		}));
	} catch {
		answers.push(undefined);
	}
}

async function measurePolicy(policy: string) {
	const fleet = await startFleet({
		entries: 2, engines: engineCount, bookings: 0, engine: {tokenPause, prefill, capacity}, upstreamSettings: {capacity, queue: 32},
		replace: policy === 'chosen' ? undefined : {'src/coordination/routing-policy.js': `tools/measure/routing-${policy}.js`},
	});
	try {
		await fleet.configure([{name: 'measure', key, tokens: 1_000_000_000}]);
		await playLoad(fleet, 0.3);
		const rows = [];
		for (const fault of faults) {
			await fault.set(fleet);
			for (const load of fault.name === 'healthy' ? [0.5, 0.9, 1.2] : [0.5]) {
				const before = await countCache(fleet);
				const {answers} = await playLoad(fleet, load);
				const after = await countCache(fleet);
				const served = answers.filter(answer => answer?.isWhole);
				const spans = served.map(answer => answer!.firstMs);
				rows.push({
					fault: fault.name, loadPercent: load * 100, policy,
					firstP50Ms: roundTo(pickPercentile(spans, 50), 0),
					firstP99Ms: roundTo(pickPercentile(spans, 99), 0),
					servedShare: roundTo(served.length / answers.length, 3),
					cacheHitShare: roundTo((after.hits - before.hits) / Math.max(1, after.runs - before.runs), 3),
					workTwice: after.repeats - before.repeats,
				});
			}
		}

		return rows;
	} finally {
		await fleet.kill();
	}
}

/**
 * Measures routing policies.
 *
 * @example
 * ```ts
 * const {rows} = await measureRouting();
 * ```
 *
 * @returns One row for each policy, fault and load
 */
export async function measureRouting() {
	const rows = [];
	for (const policy of ['random', 'round-robin', 'least-reported', 'chosen']) {
		rows.push(...await measurePolicy(policy));
	}

	return {rows};
}
