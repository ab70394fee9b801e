/**
 * What the two hops add: the same requests against the engine directly and
 * through an entry and an upstream daemon, in one run; and how many requests a
 * second a pair of daemons carries.
 *
 * @module
 */
import {
	askChat, fetchDocument, startFleet, type CallerAnswer,
} from '../harness/mod.js';
import {pickPercentile, roundTo} from './report.js';

const key = 'measure-key';
const samples = 300;
const warmUp = 50;
const parallel = 48;
const loadSpan = 8000;

type Ask = () => Promise<CallerAnswer>;

async function sample(ask: Ask): Promise<number[]> {
	const spans: number[] = [];
	for (let index = 0; index < samples + warmUp; index++) {
		const answer = await ask();
		if (!answer.isWhole) {
			throw new Error(`A measured request failed with status ${answer.status}`);
		}

		if (index >= warmUp) {
			spans.push(answer.totalMs);
		}
	}

	return spans;
}

async function countRate(ask: Ask): Promise<number> {
	const until = performance.now() + loadSpan;
	let served = 0;
	await Promise.all(Array.from({length: parallel}, async () => {
		while (performance.now() < until) {
			const answer = await ask();
			served += answer.isWhole ? 1 : 0;
		}
	}));
	return served / (loadSpan / 1000);
}

function describeSpans(spans: readonly number[]) {
	return {p50Ms: roundTo(pickPercentile(spans, 50), 2), p99Ms: roundTo(pickPercentile(spans, 99), 2)};
}

/**
 * Measures the path.
 *
 * @example
 * ```ts
 * await measurePath();
 * ```
 *
 * @returns Spans of whole answers of 8 tokens, and requests a second
 */
export async function measurePath() {
	const fleet = await startFleet({
		entries: 1, engines: 1, bookings: 0, engine: {tokenPause: 0, prefill: 0, capacity: 1000}, upstreamSettings: {capacity: 1000},
	});
	try {
		await fleet.configure([{name: 'measure', key, tokens: 1_000_000_000}]);
		const [upstream] = fleet.upstreams;
		const options = {
			key, content: 'answer 8', maxTokens: 8, stream: true,
		};
		const direct = await sample(async () => askChat(upstream!.standIn.ready.url, options));
		const routed = await sample(async () => askChat(fleet.entries[0]!.process.ready.callers, options));
		const requestsPerSecond = await countRate(async () => askChat(fleet.entries[0]!.process.ready.callers, options));
		const directPerSecond = await countRate(async () => askChat(upstream!.standIn.ready.url, options));
		await fetchDocument(`${upstream!.standIn.ready.url}/counts`);
		return {
			direct: describeSpans(direct), routed: describeSpans(routed), requestsPerSecond: roundTo(requestsPerSecond, 0), directPerSecond: roundTo(directPerSecond, 0),
		};
	} finally {
		await fleet.stop();
	}
}
