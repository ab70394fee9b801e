/**
 * Measures the overhead of a gateway by the number of gateways: processor time
 * while idle, processor time and request durations while each gateway receives
 * the same number of requests per second, and calls to the store.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {sendGatewayRequest} from '../../platform/stand-ins/caller.js';
import {formatCustomerKey, startPlatformFleet, type PlatformFleet} from '../../platform/stand-ins/fleet.js';
import {readProcessUsage} from './process-usage.js';
import {pickPercentile, roundTo} from './report.js';

/** Options of {@linkcode measureContention}. */
export type MeasureContentionOptions = {
	/** Numbers of gateways, measured one after the other. */
	readonly sizes: readonly number[];
};

type StoreCallCounts = {readonly appends: number; readonly conflicts: number; readonly reads: number};

type LoadResult = {durationsMs: number[]; served: number; failed: number};

/** Number of customers; each sends requests to every gateway. */
const customers = 24;
/** Requests per second at each gateway. */
const requestRate = 3;
/** Time for the gateways to discover each other before the measurement. */
const settleDurationMs = 4000;
const idleDurationMs = 4000;
const loadDurationMs = 6000;
const millisecondsPerSecond = 1000;

async function readStoreCalls(fleet: PlatformFleet): Promise<StoreCallCounts> {
	const response = await fetch(`${fleet.store.ready.url}/counts`);
	return await response.json() as StoreCallCounts;
}

function sumCpuSeconds(fleet: PlatformFleet): number {
	return fleet.gateways.reduce((sum, {ready}) => sum + readProcessUsage(ready.pid).cpuSeconds, 0);
}

// Measures processor time and store calls while the task runs, per gateway and second.
async function measureUsage(fleet: PlatformFleet, task: () => Promise<void>) {
	const startedAt = performance.now();
	const callsBefore = await readStoreCalls(fleet);
	const cpuSecondsBefore = sumCpuSeconds(fleet);
	await task();
	const gatewaySeconds = (performance.now() - startedAt) / millisecondsPerSecond * fleet.gateways.length;
	const callsAfter = await readStoreCalls(fleet);
	const toRatePerGateway = (amount: number) => roundTo(amount / gatewaySeconds, 3);
	return {
		cores: toRatePerGateway(sumCpuSeconds(fleet) - cpuSecondsBefore),
		appends: toRatePerGateway(callsAfter.appends - callsBefore.appends),
		conflicts: toRatePerGateway(callsAfter.conflicts - callsBefore.conflicts),
		reads: toRatePerGateway(callsAfter.reads - callsBefore.reads),
	};
}

async function sendRequest(fleet: PlatformFleet, result: LoadResult, {gateway, index}: {readonly gateway: number; readonly index: number}): Promise<void> {
	const startedAt = performance.now();
	const id = `r-${gateway}-${index}`;
	try {
		const {status} = await sendGatewayRequest({
			url: fleet.gateways[gateway]!.ready.callers, host: fleet.host, key: formatCustomerKey((gateway + index) % customers), id, isStream: index % 2 === 0,
		});
		result.served += status === 200 ? 1 : 0;
		result.failed += status === 200 ? 0 : 1;
		result.durationsMs.push(performance.now() - startedAt);
	} catch {
		result.failed += 1;
	}
}

async function generateLoad(fleet: PlatformFleet, result: LoadResult): Promise<void> {
	const intervalMs = millisecondsPerSecond / requestRate;
	await Promise.all(fleet.gateways.map(async (_, gateway) => {
		const pending: Array<Promise<void>> = [];
		await wait(intervalMs * gateway / fleet.gateways.length);
		for (let index = 0; index * intervalMs < loadDurationMs; index += 1) {
			pending.push(sendRequest(fleet, result, {gateway, index}));
			await wait(intervalMs);
		}

		await Promise.all(pending);
	}));
}

async function measureSize(gateways: number) {
	const fleet = await startPlatformFleet({gateways, customers, usesModules: true});
	try {
		await wait(settleDurationMs);
		const idle = await measureUsage(fleet, async () => wait(idleDurationMs));
		const result: LoadResult = {durationsMs: [], served: 0, failed: 0};
		const busy = await measureUsage(fleet, async () => generateLoad(fleet, result));
		return {
			gateways,
			idleCores: idle.cores,
			busyCores: busy.cores,
			p50Ms: roundTo(pickPercentile(result.durationsMs, 50), 1),
			p99Ms: roundTo(pickPercentile(result.durationsMs, 99), 1),
			served: result.served,
			failed: result.failed,
			appends: busy.appends,
			conflicts: busy.conflicts,
			reads: busy.reads,
			megabytes: roundTo(readProcessUsage(fleet.gateways[0]!.ready.pid).residentKilobytes / 1024, 0),
		};
	} finally {
		await fleet.stop();
	}
}

/**
 * Measures the overhead of gateways.
 *
 * @example
 * ```ts
 * const {rows} = await measureContention({sizes: [4, 14]});
 * ```
 *
 * @param options The numbers of gateways
 * @returns One row for each number of gateways; cores, appends, conflicts and reads are per gateway and second
 */
export async function measureContention({sizes}: MeasureContentionOptions) {
	const rows: Array<Awaited<ReturnType<typeof measureSize>>> = [];
	for (const size of sizes) {
		rows.push(await measureSize(size));
	}

	return {requestRate, customers, rows};
}
