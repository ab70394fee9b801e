/**
 * How long a change takes to be in force at every daemon, by the number of
 * daemons.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {fetchDocument, startFleet, type TestFleet} from '../harness/mod.js';
import {pickPercentile, roundTo} from './report.js';
import {fitLine} from './fit-line.js';

const sizes = [4, 16, 64];
const changes = 12;
const lookPause = 5;
const secondPerDaemon = 1000;

async function readVersion(url: string): Promise<number> {
	const status = await fetchDocument<{version: number}>(`${url}/v1/status`);
	return status.version;
}

// Looks at one daemon until it has the version; the answer is at most a look late.
async function waitForVersion(url: string, version: number): Promise<number> {
	while (await readVersion(url) < version) {
		await wait(lookPause);
	}

	return performance.now();
}

async function measureChange(fleet: TestFleet, turn: number): Promise<number> {
	const operator = fleet.entries[0]!.process.ready.operators;
	const plan = await fetchDocument<{plan: string}>(`${operator}/v1/intents`, {changes: [{change: 'put-model', model: {name: 'second', maxTokens: turn + 1}}]});
	const startedAt = performance.now();
	const confirmed = await fetchDocument<{version: number}>(`${operator}/v1/intents/${plan.plan}/confirm`, {});
	const urls = [...fleet.entries, ...fleet.upstreams].map(daemon => daemon.process.ready.operators);
	const ends = await Promise.all(urls.map(async url => waitForVersion(url, confirmed.version)));
	return Math.max(...ends) - startedAt;
}

async function measureSize(daemons: number) {
	const entries = Math.max(2, Math.round(daemons / 4));
	const fleet = await startFleet({
		entries, engines: daemons - entries, bookings: 0, settings: {heartbeat: {every: `${secondPerDaemon}ms`, suspectAfter: '5s'}},
	});
	try {
		await fleet.setHosts();
		await fleet.waitForVersion(0);
		const spans: number[] = [];
		for (let turn = 0; turn < changes; turn++) {
			spans.push(await measureChange(fleet, turn));
		}

		return {daemons, p50Ms: roundTo(pickPercentile(spans, 50), 1), p99Ms: roundTo(pickPercentile(spans, 99), 1)};
	} finally {
		await fleet.kill();
	}
}

/**
 * Measures the time to in force.
 *
 * @example
 * ```ts
 * const {rows, slope} = await measureConfiguration();
 * ```
 *
 * @returns One row for each size, and the slope of the 99th percentile
 */
export async function measureConfiguration() {
	const rows = [];
	for (const daemons of sizes) {
		rows.push(await measureSize(daemons));
	}

	return {rows, slope: fitLine(rows.map(row => [row.daemons, row.p99Ms]))};
}
