/**
 * What a gateway spends beside requests, by the number of gateways: processor
 * time while nobody asks, processor time and spans while each gateway gets the
 * same number of requests a second, and calls to the store.
 *
 * @module
 */
import {setTimeout as wait} from 'node:timers/promises';
import {askGateway} from '../../platform/stand-ins/caller.js';
import {formatCustomerKey, startPlatformFleet, type PlatformFleet} from '../../platform/stand-ins/fleet.js';
import {readProcessUse} from './process-time.js';
import {pickPercentile, roundTo} from './report.js';

/** Options of {@linkcode measureContention}. */
export type MeasureContentionOptions = {
	/** Numbers of gateways, one after the other. */
	readonly sizes: readonly number[];
};

type StoreCounts = {readonly appends: number; readonly conflicts: number; readonly reads: number};

type Load = {spans: number[]; served: number; failed: number};

/** Customers of a fleet, each asked at every gateway. */
const customers = 24;
/** Requests a second at each gateway. */
const requestRate = 3;
/** Time for gateways to meet before anything is measured, in milliseconds. */
const settleSpan = 4000;
const idleSpan = 4000;
const loadSpan = 6000;
const millisecondsPerSecond = 1000;

async function readCounts(fleet: PlatformFleet): Promise<StoreCounts> {
	const answer = await fetch(`${fleet.store.ready.url}/counts`);
	return await answer.json() as StoreCounts;
}

function sumSeconds(fleet: PlatformFleet): number {
	return fleet.gateways.reduce((sum, {ready}) => sum + readProcessUse(ready.pid).seconds, 0);
}

// What all gateways used while the task ran, for each gateway and second.
async function measureUse(fleet: PlatformFleet, task: () => Promise<void>) {
	const startedAt = performance.now();
	const counts = await readCounts(fleet);
	const seconds = sumSeconds(fleet);
	await task();
	const gatewaySeconds = (performance.now() - startedAt) / millisecondsPerSecond * fleet.gateways.length;
	const after = await readCounts(fleet);
	const perGateway = (amount: number) => roundTo(amount / gatewaySeconds, 3);
	return {
		cores: perGateway(sumSeconds(fleet) - seconds),
		appends: perGateway(after.appends - counts.appends),
		conflicts: perGateway(after.conflicts - counts.conflicts),
		reads: perGateway(after.reads - counts.reads),
	};
}

async function askOne(fleet: PlatformFleet, load: Load, {gateway, index}: {readonly gateway: number; readonly index: number}): Promise<void> {
	const startedAt = performance.now();
	const id = `r-${gateway}-${index}`;
	try {
		const {status} = await askGateway({
			url: fleet.gateways[gateway]!.ready.callers, host: fleet.host, key: formatCustomerKey((gateway + index) % customers), id, isStream: index % 2 === 0,
		});
		load.served += status === 200 ? 1 : 0;
		load.failed += status === 200 ? 0 : 1;
		load.spans.push(performance.now() - startedAt);
	} catch {
		load.failed += 1;
	}
}

async function playLoad(fleet: PlatformFleet, load: Load): Promise<void> {
	const pause = millisecondsPerSecond / requestRate;
	await Promise.all(fleet.gateways.map(async (_, gateway) => {
		const asked: Array<Promise<void>> = [];
		await wait(pause * gateway / fleet.gateways.length);
		for (let index = 0; index * pause < loadSpan; index += 1) {
			asked.push(askOne(fleet, load, {gateway, index}));
			await wait(pause);
		}

		await Promise.all(asked);
	}));
}

async function measureSize(gateways: number) {
	const fleet = await startPlatformFleet({gateways, customers});
	try {
		await wait(settleSpan);
		const idle = await measureUse(fleet, async () => wait(idleSpan));
		const load: Load = {spans: [], served: 0, failed: 0};
		const busy = await measureUse(fleet, async () => playLoad(fleet, load));
		return {
			gateways,
			idleCores: idle.cores,
			busyCores: busy.cores,
			p50Ms: roundTo(pickPercentile(load.spans, 50), 1),
			p99Ms: roundTo(pickPercentile(load.spans, 99), 1),
			served: load.served,
			failed: load.failed,
			appends: busy.appends,
			conflicts: busy.conflicts,
			reads: busy.reads,
			megabytes: roundTo(readProcessUse(fleet.gateways[0]!.ready.pid).kilobytes / 1024, 0),
		};
	} finally {
		await fleet.stop();
	}
}

/**
 * Measures what gateways spend beside requests.
 *
 * @example
 * ```ts
 * const {rows} = await measureContention({sizes: [4, 14]});
 * ```
 *
 * @param options The sizes
 * @returns A row a size; cores, appends, conflicts and reads are those of one gateway in a second
 */
export async function measureContention({sizes}: MeasureContentionOptions) {
	const rows: Array<Awaited<ReturnType<typeof measureSize>>> = [];
	for (const size of sizes) {
		rows.push(await measureSize(size));
	}

	return {requestRate, customers, rows};
}
