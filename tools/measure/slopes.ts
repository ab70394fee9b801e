/**
 * What state, messages and processor time grow with: budgets, grants,
 * configuration records, requests and peers.
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
import {readProcessUse} from './process-time.js';
import {roundTo} from './report.js';

const window = 3_600_000;
const idleSpan = 4000;
const kilobyte = 1024;

type Slope = FittedLine & {readonly what: string; readonly unit: string; readonly points: ReadonlyArray<readonly [number, number]>};

function fitSlope(what: string, unit: string, points: ReadonlyArray<readonly [number, number]>): Slope {
	return {
		what, unit, ...fitLine(points), points: points.map(([x, y]) => [x, roundTo(y, 3)] as const),
	};
}

function readHeap(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function fillBudgets(count: number) {
	const state = createFleetState({retentionMs: window});
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

// Memory and fold time of budgets, then of one grant on each.
function measureLedger(sizes: readonly number[]): Slope[] {
	const memory: Array<[number, number]> = [];
	const grantMemory: Array<[number, number]> = [];
	const claimTime: Array<[number, number]> = [];
	const snapshot: Array<[number, number]> = [];
	for (const size of sizes) {
		const before = readHeap();
		const {state, fold} = fillBudgets(size);
		const filled = readHeap();
		memory.push([size, filled - before]);
		const startedAt = performance.now();
		for (let index = 0; index < size; index++) {
			fold({
				kind: 'claim', grant: formatGrantId(`g-${index}`, `budget-${index}`), budget: `budget-${index}`, daemon: 'e', incarnation: 'i', amount: 1000,
			});
		}

		claimTime.push([size, (performance.now() - startedAt) * 1000]);
		grantMemory.push([size, readHeap() - filled]);
		snapshot.push([size, Buffer.byteLength(JSON.stringify(state.buildSnapshot()))]);
	}

	return [
		fitSlope('budgets: memory', 'bytes a budget', memory),
		fitSlope('grants: memory', 'bytes a grant', grantMemory),
		fitSlope('claims: fold time', 'microseconds a claim', claimTime),
		fitSlope('budgets: snapshot', 'bytes a budget with one grant', snapshot),
	];
}

function measureReceipts(sizes: readonly number[]): Slope[] {
	const time: Array<[number, number]> = [];
	const memory: Array<[number, number]> = [];
	const bytes: Array<[number, number]> = [];
	for (const size of sizes) {
		const {state, fold} = fillBudgets(1);
		fold({
			kind: 'join', daemon: 'u', incarnation: 'i', role: 'upstream', address: 'a', failureDomain: 'd', serves: [], work: 'model',
		});
		const before = readHeap();
		const startedAt = performance.now();
		let size0 = 0;
		for (let batch = 0; batch < size / 100; batch++) {
			const record: LogRecord = {
				kind: 'receipts', sequence: batch + 1, daemon: 'u', incarnation: 'i',
				receipts: Array.from({length: 100}, (_, index) => ({
					request: `request-${batch}-${index}-abcdef`, attempt: 1, shares: [{grant: 'g-0123456789abcdef0123456789abcdef@budget-0', amount: 310}],
				})),
			};
			size0 += JSON.stringify(record).length;
			fold(record);
		}

		time.push([size, (performance.now() - startedAt) * 1000]);
		memory.push([size, readHeap() - before]);
		bytes.push([size, size0]);
		state.getNextOffset();
	}

	return [
		fitSlope('receipts: fold time', 'microseconds a request', time),
		fitSlope('receipts: memory in the window', 'bytes a request', memory),
		fitSlope('receipts: log bytes', 'bytes a request', bytes),
	];
}

// Processor time of an idle entry daemon by the peers it exchanges heartbeats with, at one a second each.
async function measurePeers(sizes: readonly number[]): Promise<Slope[]> {
	const time: Array<[number, number]> = [];
	const memory: Array<[number, number]> = [];
	for (const size of sizes) {
		const fleet = await startFleet({
			entries: 2, engines: size - 1, bookings: 0, settings: {heartbeat: {every: '1s', suspectAfter: '5s'}},
		});
		await fleet.setHosts();
		await fleet.waitForVersion(0);
		await wait(2500);
		const {pid} = fleet.entries[0]!.process.ready;
		const before = readProcessUse(pid);
		await wait(idleSpan);
		const after = readProcessUse(pid);
		time.push([size, (after.seconds - before.seconds) / (idleSpan / 1000) * 100]);
		memory.push([size, after.kilobytes]);
		await fleet.kill();
	}

	return [
		fitSlope('peers: processor time of an idle entry', 'percent of a core a peer, one heartbeat a second', time),
		fitSlope('peers: resident memory of an entry', 'KB a peer; the intercept is Node.js and the product\'s code', memory),
	];
}

function measureHeartbeat(): number {
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
 * Measures slopes.
 *
 * @example
 * ```ts
 * const {slopes} = await measureSlopes();
 * ```
 *
 * @returns Each slope with its points and fit error
 */
export async function measureSlopes() {
	const slopes = [
		...measureLedger([1000, 5000, 20_000]),
		...measureReceipts([10_000, 50_000, 200_000]),
		...await measurePeers([4, 12, 32]),
	];
	return {
		heartbeatBytes: measureHeartbeat(), snapshotKilobytesPerThousandBudgets: roundTo(slopes[3]!.slope * 1000 / kilobyte, 1), rows: slopes,
	};
}
