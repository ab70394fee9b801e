/**
 * Measures how much of its capacity a gateway uses.
 *
 * Answers the load of callers whose requests and responses fill a small
 * gateway's link or processor. Without the measurement the gateway only notices
 * that its own calls to the store and to peers time out.
 *
 * @module
 */
import type {GatewayLoad} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Capacity of a gateway; resources that are not named are not measured. */
export type GatewayCapacity = {
	readonly processorCores?: number | undefined;
	readonly linkBytesPerSecond?: number | undefined;
	readonly memoryBytes?: number | undefined;
};

/** Counters of a process since its start, and the memory that it holds. */
export type ResourceCounters = {
	readonly processorMs: number;
	readonly receivedBytes: number;
	readonly sentBytes: number;
	readonly residentBytes: number;
};

/** Used share of each resource; above 1 if more is asked for than there is. */
export type LoadShares = Pick<GatewayLoad, 'processorShare' | 'linkShare' | 'memoryShare'>;

/** Measures the used shares. */
export type LoadMeter = ReturnType<typeof createLoadMeter>;

/** Options of {@linkcode createLoadMeter}. */
export type CreateLoadMeterOptions = {
	readonly capacity: GatewayCapacity;
	readonly clock: Pick<Clock, 'now'>;
	readonly readCounters: () => ResourceCounters;
};

type Sample = {readonly at: number; readonly counters: ResourceCounters};

/**
 * Interval between two measurements: four in the time over which they are smoothed, and short compared with the second
 * between two readiness checks.
 */
export const loadIntervalMs = 250;
/** Time over which the shares are averaged: a single long prompt on the smallest link lasts 20 ms, and a throttled core pauses for up to 100 ms. */
export const smoothingMs = 1000;
/**
 * Largest share that is taken as measured. A process without its own processor or link limit uses at most some hundred times
 * the share of the smallest gateway; a larger figure is a fault of a counter.
 */
export const maxLoadShare = 100;
/** Bytes on the link for each byte of a connection: headers of Ethernet, IP and TCP take 66 bytes for each 1448 of content. */
const linkBytesPerContentByte = 1.05;
const millisecondsPerSecond = 1000;
const noLoad: LoadShares = {processorShare: 0, linkShare: 0, memoryShare: 0};

/** @internal Returns 0 for a share that is not measured, so that no unreadable figure reaches gossip, which cannot encode it. */
function normalizeShare(share: number): number {
	return share > 0 ? Math.min(share, maxLoadShare) : 0;
}

/**
 * Computes the shares used between two samples.
 *
 * @example
 * ```ts
 * computeLoadShares({linkBytesPerSecond: 875_000}, {before, after, elapsedMs: 250}).linkShare;
 * ```
 *
 * @param capacity The capacity of the gateway
 * @param samples The counters at the two times and the time between them
 * @returns The shares; 0 for resources whose capacity is unknown
 */
export function computeLoadShares(
	{processorCores, linkBytesPerSecond, memoryBytes}: GatewayCapacity,
	{before, after, elapsedMs}: {readonly before: ResourceCounters; readonly after: ResourceCounters; readonly elapsedMs: number},
): LoadShares {
	const linkBytes = Math.max(after.receivedBytes - before.receivedBytes, after.sentBytes - before.sentBytes) * linkBytesPerContentByte;
	return {
		processorShare: processorCores === undefined ? 0 : normalizeShare((after.processorMs - before.processorMs) / elapsedMs / processorCores),
		linkShare: linkBytesPerSecond === undefined ? 0 : normalizeShare(linkBytes * millisecondsPerSecond / elapsedMs / linkBytesPerSecond),
		memoryShare: memoryBytes === undefined ? 0 : normalizeShare(after.residentBytes / memoryBytes),
	};
}

/**
 * Creates a meter.
 *
 * @example
 * ```ts
 * const meter = createLoadMeter({capacity, clock, readCounters});
 * meter.measure();
 * meter.getSmoothed().linkShare;
 * ```
 *
 * @param options The capacity, the clock and the counters
 * @returns The meter
 */
export function createLoadMeter({capacity, clock, readCounters}: CreateLoadMeterOptions) {
	const samples: [Sample, ...Sample[]] = [{at: clock.now(), counters: readCounters()}];
	let latest = noLoad;
	let smoothed = noLoad;

	return {
		/** Takes a sample; to be called at each interval. */
		measure(): void {
			const now = clock.now();
			const previous = samples.at(-1)!;
			if (now <= previous.at) {
				return;
			}

			const after = readCounters();
			samples.push({at: now, counters: after});
			// The oldest sample kept is the newest one that is at least as old as the smoothing time.
			while (samples.length > 1 && samples[1]!.at <= now - smoothingMs) {
				samples.shift();
			}

			const [oldest] = samples;
			latest = computeLoadShares(capacity, {before: previous.counters, after, elapsedMs: now - previous.at});
			// Until the meter has run for the smoothing time, the time before counts as idle.
			smoothed = computeLoadShares(capacity, {before: oldest.counters, after, elapsedMs: Math.max(smoothingMs, now - oldest.at)});
		},

		/** Returns the shares of the last interval. */
		getLatest: (): LoadShares => latest,
		/** Returns the shares averaged over the smoothing time; memory, which changes slowly, is the latest. */
		getSmoothed: (): LoadShares => smoothed,
	};
}
