/**
 * Compares routing policies on stand-in engines: with three loads while all are
 * healthy, then while one is slow, one reports its load late and one is killed.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	requestChat, fetchDocument, startFleet, type CallerResponse, type TestFleet,
} from '../harness/mod.js';
import {createRandom} from './random.js';
import {pickPercentile, roundTo} from './report.js';

const key = 'measure-key';
const seed = 20_261_202;
const loadDurationMs = 1600;
const engineCount = 4;
const capacity = 8;
const answerTokens = 20;
const tokenIntervalMs = 5;
const prefillMs = 60;
const deadline = '2s';
const prefixCount = 24;
/** Requests per second that all engines together can serve if every prefix is cached. */
const fullLoadRate = engineCount * capacity * 1000 / ((answerTokens * tokenIntervalMs) + (prefillMs / 4));

type LoadResult = {readonly responses: Array<CallerResponse | undefined>};

const faults: ReadonlyArray<{readonly name: string; readonly inject: (fleet: TestFleet) => Promise<void>}> = [
	{
		name: 'healthy',
		async inject() {
			await Promise.resolve();
		},
	},
	{
		name: 'one slow',
		async inject(fleet) {
			await configureEngine(fleet, 0, {tokenPause: tokenIntervalMs * 5, prefill: prefillMs * 5});
		},
	},
	{
		name: 'one slow, one lags 5 s',
		async inject(fleet) {
			await configureEngine(fleet, 1, {lag: 5000});
		},
	},
	{
		name: 'one slow, one lags, one dead',
		async inject(fleet) {
			await fleet.upstreams[2]!.process.kill();
		},
	},
];

async function configureEngine(fleet: TestFleet, index: number, settings: Record<string, unknown>): Promise<void> {
	await fetchDocument(`${fleet.upstreams[index]!.standIn.ready.url}/control`, settings);
}

async function readEngineCounts(fleet: TestFleet): Promise<{runs: number; hits: number; repeats: number}> {
	const total = {runs: 0, hits: 0, repeats: 0};
	for (const upstream of fleet.upstreams) {
		const counts = await fetchDocument<{runs: number; cacheHits: number; repeats: number}>(`${upstream.standIn.ready.url}/counts`);
		total.runs += counts.runs;
		total.hits += counts.cacheHits;
		total.repeats += counts.repeats;
	}

	return total;
}

async function generateLoad(fleet: TestFleet, load: number): Promise<LoadResult> {
	const random = createRandom(seed);
	const responses: Array<CallerResponse | undefined> = [];
	const pending: Array<Promise<void>> = [];
	const endMs = performance.now() + loadDurationMs;
	let requestCount = 0;
	while (performance.now() < endMs) {
		requestCount += 1;
		const prefix = `Prefix ${Math.floor(random() * prefixCount)} `.repeat(40);
		pending.push(sendRequest(fleet.entries[requestCount % 2]!.process.ready.callers, `${prefix} answer ${answerTokens}`, responses));
		await wait(-Math.log(1 - random()) * 1000 / (fullLoadRate * load));
	}

	await Promise.all(pending);
	return {responses};
}

async function sendRequest(url: string, content: string, responses: Array<CallerResponse | undefined>): Promise<void> {
	try {
		responses.push(await requestChat(url, {
			key, content, maxTokens: answerTokens, stream: true, deadline,
		}));
	} catch {
		responses.push(undefined);
	}
}

async function measurePolicy(policy: string) {
	const fleet = await startFleet({
		entries: 2, engines: engineCount, bookings: 0, engine: {tokenPause: tokenIntervalMs, prefill: prefillMs, capacity}, upstreamSettings: {capacity, queue: 32},
		replacedModules: policy === 'chosen' ? undefined : {'src/coordination/routing-policy.js': `tools/measure/routing-${policy}.js`},
	});
	try {
		await fleet.configure([{name: 'measure', key, tokens: 1_000_000_000}]);
		await generateLoad(fleet, 0.3);
		const rows = [];
		for (const fault of faults) {
			await fault.inject(fleet);
			for (const load of fault.name === 'healthy' ? [0.5, 0.9, 1.2] : [0.5]) {
				const countsBefore = await readEngineCounts(fleet);
				const {responses} = await generateLoad(fleet, load);
				const countsAfter = await readEngineCounts(fleet);
				const served = responses.filter(response => response?.isWhole);
				const firstTokenTimesMs = served.map(response => response!.firstMs);
				rows.push({
					fault: fault.name, loadPercent: load * 100, policy,
					firstP50Ms: roundTo(pickPercentile(firstTokenTimesMs, 50), 0),
					firstP99Ms: roundTo(pickPercentile(firstTokenTimesMs, 99), 0),
					servedShare: roundTo(served.length / responses.length, 3),
					cacheHitShare: roundTo((countsAfter.hits - countsBefore.hits) / Math.max(1, countsAfter.runs - countsBefore.runs), 3),
					workTwice: countsAfter.repeats - countsBefore.repeats,
				});
			}
		}

		return rows;
	} finally {
		await fleet.kill();
	}
}

/**
 * Measures every routing policy under every fault and load.
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
