/**
 * Measures how memory, stored bytes and processor time grow with the number of
 * budgets, grants, receipts and peers.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {create, toBinary} from '@bufbuild/protobuf';
import {HeartbeatReplySchema, HeartbeatRequestSchema, type LogRecord} from '../../src/protocol/mod.js';
import {createFleetState, formatGrantId} from '../../src/state/mod.js';
import {startFleet} from '../harness/mod.js';
import {fitLine, type FittedLine} from './fit-line.js';
import {readProcessUsage} from './process-usage.js';
import {roundTo} from './report.js';

const retentionMs = 3_600_000;
const idleDurationMs = 4000;
const bytesPerKilobyte = 1024;

type Slope = FittedLine & {readonly what: string; readonly unit: string; readonly points: ReadonlyArray<readonly [number, number]>};

function fitSlope(what: string, unit: string, points: ReadonlyArray<readonly [number, number]>): Slope {
	return {
		what, unit, ...fitLine(points), points: points.map(([x, y]) => [x, roundTo(y, 3)] as const),
	};
}

function readHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function createStateWithBudgets(count: number) {
	const state = createFleetState({retentionMs});
	let offset = 0;
	const fold = (data: LogRecord) => {
		state.fold({offset, at: offset, data});
		offset += 1;
	};

	fold({
		kind: 'join', daemon: 'e', incarnation: 'i', role: 'entry', address: 'a', failureDomain: 'd', serves: [], work: 'none',
	});
	for (let index = 0; index < count; index++) {
		const budget = `budget-${index}`;
		fold({
			kind: 'plan', plan: `p${index}`, basis: state.configuration.version(), by: 'm', changes: [
				{change: 'put-customer', customer: {id: `c${index}`, priority: 5}},
				{change: 'put-budget', budget: {id: budget, customer: `c${index}`, weighs: 'refusals'}},
				{change: 'top-up', budget, tokens: 1_000_000},
			],
		});
		fold({kind: 'confirm', plan: `p${index}`, by: 'm'});
	}

	return {state, fold};
}

// Memory and snapshot size of budgets, and memory and fold time of one grant on each.
function measureLedger(sizes: readonly number[]): Slope[] {
	const budgetBytes: Array<[number, number]> = [];
	const grantBytes: Array<[number, number]> = [];
	const claimMicroseconds: Array<[number, number]> = [];
	const snapshotBytes: Array<[number, number]> = [];
	for (const size of sizes) {
		const heapBefore = readHeapBytes();
		const {state, fold} = createStateWithBudgets(size);
		const heapWithBudgets = readHeapBytes();
		budgetBytes.push([size, heapWithBudgets - heapBefore]);
		const startedAt = performance.now();
		for (let index = 0; index < size; index++) {
			fold({
				kind: 'claim', grant: formatGrantId(`g-${index}`, `budget-${index}`), budget: `budget-${index}`, daemon: 'e', incarnation: 'i', amount: 1000,
			});
		}

		claimMicroseconds.push([size, (performance.now() - startedAt) * 1000]);
		grantBytes.push([size, readHeapBytes() - heapWithBudgets]);
		snapshotBytes.push([size, Buffer.byteLength(JSON.stringify(state.buildSnapshot()))]);
	}

	return [
		fitSlope('budgets: memory', 'bytes a budget', budgetBytes),
		fitSlope('grants: memory', 'bytes a grant', grantBytes),
		fitSlope('claims: fold time', 'microseconds a claim', claimMicroseconds),
		fitSlope('budgets: snapshot', 'bytes a budget with one grant', snapshotBytes),
	];
}

function measureReceipts(sizes: readonly number[]): Slope[] {
	const foldMicroseconds: Array<[number, number]> = [];
	const stateBytes: Array<[number, number]> = [];
	const logBytes: Array<[number, number]> = [];
	for (const size of sizes) {
		const {state, fold} = createStateWithBudgets(1);
		fold({
			kind: 'join', daemon: 'u', incarnation: 'i', role: 'upstream', address: 'a', failureDomain: 'd', serves: [], work: 'model',
		});
		const heapBefore = readHeapBytes();
		const startedAt = performance.now();
		let recordBytes = 0;
		for (let batch = 0; batch < size / 100; batch++) {
			const record: LogRecord = {
				kind: 'receipts', sequence: batch + 1, daemon: 'u', incarnation: 'i',
				receipts: Array.from({length: 100}, (_, index) => ({
					request: `request-${batch}-${index}-abcdef`, attempt: 1, shares: [{grant: 'g-0123456789abcdef0123456789abcdef@budget-0', amount: 310}],
				})),
			};
			recordBytes += JSON.stringify(record).length;
			fold(record);
		}

		foldMicroseconds.push([size, (performance.now() - startedAt) * 1000]);
		stateBytes.push([size, readHeapBytes() - heapBefore]);
		logBytes.push([size, recordBytes]);
		state.getNextOffset();
	}

	return [
		fitSlope('receipts: fold time', 'microseconds a request', foldMicroseconds),
		fitSlope('receipts: memory in the window', 'bytes a request', stateBytes),
		fitSlope('receipts: log bytes', 'bytes a request', logBytes),
	];
}

// Processor time and memory of an idle entry daemon by the number of peers, with one heartbeat per second and peer.
async function measurePeers(sizes: readonly number[]): Promise<Slope[]> {
	const cpuPercent: Array<[number, number]> = [];
	const residentKilobytes: Array<[number, number]> = [];
	for (const size of sizes) {
		const fleet = await startFleet({
			entries: 2, engines: size - 1, bookings: 0, settings: {heartbeat: {every: '1s', suspectAfter: '5s'}},
		});
		await fleet.setHosts();
		await fleet.waitForVersion(0);
		await wait(2500);
		const {pid} = fleet.entries[0]!.process.ready;
		const usageBefore = readProcessUsage(pid);
		await wait(idleDurationMs);
		const usageAfter = readProcessUsage(pid);
		cpuPercent.push([size, (usageAfter.cpuSeconds - usageBefore.cpuSeconds) / (idleDurationMs / 1000) * 100]);
		residentKilobytes.push([size, usageAfter.residentKilobytes]);
		await fleet.kill();
	}

	return [
		fitSlope('peers: processor time of an idle entry', 'percent of a core a peer, one heartbeat a second', cpuPercent),
		fitSlope('peers: resident memory of an entry', 'KB a peer; the intercept is Node.js and the product\'s code', residentKilobytes),
	];
}

function countHeartbeatBytes(): number {
	const request = toBinary(HeartbeatRequestSchema, create(HeartbeatRequestSchema, {
		from: 'entry-17', incarnation: 'i-0123456789abcdef0123456789abcdef', role: 'entry', nextOffset: 123_456,
	}));
	const reply = toBinary(HeartbeatReplySchema, create(HeartbeatReplySchema, {
		id: 'assistant-17', incarnation: 'i-0123456789abcdef0123456789abcdef', role: 'upstream', nextOffset: 123_456, version: 123_000,
		load: {
			running: 12, queued: 3, capacity: 64, ageMs: 900, upstreamAlive: true,
		},
	}));
	return request.length + reply.length;
}

/**
 * Measures growth and fits a line to each series.
 *
 * @example
 * ```ts
 * const {rows} = await measureSlopes();
 * ```
 *
 * @returns Size of a heartbeat, size of a snapshot, and each line with its points and fit error
 */
export async function measureSlopes() {
	const slopes = [
		...measureLedger([1000, 5000, 20_000]),
		...measureReceipts([10_000, 50_000, 200_000]),
		...await measurePeers([4, 12, 32]),
	];
	return {
		heartbeatBytes: countHeartbeatBytes(), snapshotKilobytesPerThousandBudgets: roundTo(slopes[3]!.slope * 1000 / bytesPerKilobyte, 1), rows: slopes,
	};
}
