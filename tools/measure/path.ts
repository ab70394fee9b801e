/**
 * Measures the overhead of the two hops: sends the same requests directly to the
 * engine and through an entry and an upstream daemon, and compares durations and
 * requests per second.
 *
 * @module
 */
import {
	requestChat, fetchDocument, startFleet, type CallerResponse,
} from '../harness/mod.js';
import {pickPercentile, roundTo} from './report.js';

const key = 'measure-key';
const sampleCount = 300;
const warmUpCount = 50;
const concurrency = 48;
const loadDurationMs = 8000;

type SendRequest = () => Promise<CallerResponse>;

async function sampleDurations(sendRequest: SendRequest): Promise<number[]> {
	const durationsMs: number[] = [];
	for (let index = 0; index < sampleCount + warmUpCount; index++) {
		const response = await sendRequest();
		if (!response.isWhole) {
			throw new Error(`A measured request failed with status ${response.status}`);
		}

		if (index >= warmUpCount) {
			durationsMs.push(response.totalMs);
		}
	}

	return durationsMs;
}

async function measureThroughput(sendRequest: SendRequest): Promise<number> {
	const endMs = performance.now() + loadDurationMs;
	let served = 0;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (performance.now() < endMs) {
			const response = await sendRequest();
			served += response.isWhole ? 1 : 0;
		}
	}));
	return served / (loadDurationMs / 1000);
}

function summarizeDurations(durationsMs: readonly number[]) {
	return {p50Ms: roundTo(pickPercentile(durationsMs, 50), 2), p99Ms: roundTo(pickPercentile(durationsMs, 99), 2)};
}

/**
 * Measures the request path with and without the daemons.
 *
 * @example
 * ```ts
 * await measurePath();
 * ```
 *
 * @returns Durations of complete responses of 8 tokens, and requests per second
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
		const direct = await sampleDurations(async () => requestChat(upstream!.standIn.ready.url, options));
		const routed = await sampleDurations(async () => requestChat(fleet.entries[0]!.process.ready.callers, options));
		const requestsPerSecond = await measureThroughput(async () => requestChat(fleet.entries[0]!.process.ready.callers, options));
		const directPerSecond = await measureThroughput(async () => requestChat(upstream!.standIn.ready.url, options));
		await fetchDocument(`${upstream!.standIn.ready.url}/counts`);
		return {
			direct: summarizeDurations(direct), routed: summarizeDurations(routed), requestsPerSecond: roundTo(requestsPerSecond, 0), directPerSecond: roundTo(directPerSecond, 0),
		};
	} finally {
		await fleet.stop();
	}
}
