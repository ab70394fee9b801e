/**
 * Measures the time until a configuration change is in force at every daemon, by
 * the number of daemons.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {fetchDocument, startFleet, type TestFleet} from '../harness/mod.js';
import {pickPercentile, roundTo} from './report.js';
import {fitLine} from './fit-line.js';

const sizes = [4, 16, 64];
const changeCount = 12;
const pollIntervalMs = 5;
const heartbeatIntervalMs = 1000;

async function readVersion(url: string): Promise<number> {
	const status = await fetchDocument<{version: number}>(`${url}/v1/status`);
	return status.version;
}

// Polls one daemon until it has the version. The returned time is late by at most the duration of one poll.
async function waitForVersion(url: string, version: number): Promise<number> {
	while (await readVersion(url) < version) {
		await wait(pollIntervalMs);
	}

	return performance.now();
}

async function measureChange(fleet: TestFleet, round: number): Promise<number> {
	const operator = fleet.entries[0]!.process.ready.operators;
	const plan = await fetchDocument<{plan: string}>(`${operator}/v1/intents`, {changes: [{change: 'put-model', model: {name: 'second', maxTokens: round + 1}}]});
	const startedAt = performance.now();
	const confirmed = await fetchDocument<{version: number}>(`${operator}/v1/intents/${plan.plan}/confirm`, {});
	const urls = [...fleet.entries, ...fleet.upstreams].map(daemon => daemon.process.ready.operators);
	const adoptedAt = await Promise.all(urls.map(async url => waitForVersion(url, confirmed.version)));
	return Math.max(...adoptedAt) - startedAt;
}

async function measureSize(daemons: number) {
	const entries = Math.max(2, Math.round(daemons / 4));
	const fleet = await startFleet({
		entries, engines: daemons - entries, bookings: 0, settings: {heartbeat: {every: `${heartbeatIntervalMs}ms`, suspectAfter: '5s'}},
	});
	try {
		await fleet.setHosts();
		await fleet.waitForVersion(0);
		const durationsMs: number[] = [];
		for (let round = 0; round < changeCount; round++) {
			durationsMs.push(await measureChange(fleet, round));
		}

		return {daemons, p50Ms: roundTo(pickPercentile(durationsMs, 50), 1), p99Ms: roundTo(pickPercentile(durationsMs, 99), 1)};
	} finally {
		await fleet.kill();
	}
}

/**
 * Measures the time until a confirmed change is in force at every daemon.
 *
 * @example
 * ```ts
 * const {rows, slope} = await measureConfiguration();
 * ```
 *
 * @returns One row for each number of daemons, and a line fitted to the 99th percentiles
 */
export async function measureConfiguration() {
	const rows = [];
	for (const daemons of sizes) {
		rows.push(await measureSize(daemons));
	}

	return {rows, slope: fitLine(rows.map(row => [row.daemons, row.p99Ms]))};
}
