import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {
	type Admission, type BudgetManager, type RequestForwarder, createMetrics,
} from '../coordination/mod.js';
import {
	Ok, type Deployment, type EventLog, type GatewayWire,
} from '../protocol/mod.js';
import {createRouteTable, type TokenReservation} from '../state/mod.js';
import {createSystemClock, startCallerServer} from '../transport/mod.js';
import {createGatewayInterface} from './gateway-interface.js';
import {createStopWindow} from './stop-window.js';

/** Time limit of the route, in milliseconds. */
const timeout = 300;
const events: EventLog = {write: () => undefined, counts: new Map()};

const wire: GatewayWire = {
	readinessPath: '/ready',
	readRequest: () => Ok({
		id: 'r1', key: 'k', generation: {
			model: 'm', promptTokens: 100, maxOutputTokens: 10, parts: [],
		},
	}),
	readRequestId: () => 'r1',
	buildForwardHeaders: () => [],
	readAnswer: () => ({isWrongUpstream: false, hasNotRun: false, hasUpstreamSignature: true}),
	buildAnswerHeaders: raw => [...raw],
	formatRetryAfter: milliseconds => ['retry-after', String(milliseconds / 1000)],
};

const deployment: Deployment = {
	version: 1,
	routes: [{
		id: 'r', host: '127.0.0.1', prefix: '/', kind: 'stream', timeout, objective: 100, priority: 0, targets: [{service: 's', weight: 1}], attempts: 1, isOpen: false, isResumable: false,
	}],
	services: [{id: 's', connectionLimit: 10}],
	customers: [{id: 'c', keys: ['k'], bought: 1000}],
	limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
	},
};

/** A gateway whose tokens come when the test says so. */
async function startGateway() {
	const clock = createSystemClock();
	const settled: number[] = [];
	const reservation: TokenReservation = {customer: 'c', amount: 110, isSettled: false};
	let bring: () => void = () => undefined;
	const tokens = new Promise<void>(resolve => {
		bring = resolve;
	});
	const keeper = {
		async acquire() {
			await tokens;
			return Ok(reservation);
		},
		settle(_reservation: TokenReservation, used: number) {
			settled.push(used);
		},
	} as unknown as BudgetManager;
	const admission = {admit: () => Ok(() => undefined)} as unknown as Admission;
	const callers = createGatewayInterface({
		wire, findTable: () => createRouteTable(deployment), keeper, admission, quarantine: {admit: () => Ok(undefined)}, forwarder: undefined as unknown as RequestForwarder,
		metrics: createMetrics(), clock, events, stopWindow: createStopWindow({notice: 1, clock}), findLeavingRetryAfter: () => 100,
	});
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, callers.serve);
	return {server, settled, bring};
}

// Guards against a request that is held past its time limit because its tokens do not come: peers that are asked for them
// may each take 300 ms.
test('a request whose tokens do not come ends at its time limit, and gives them back', async () => {
	const {server, settled, bring} = await startGateway();
	const startedAt = performance.now();
	const answer = await fetch(server.url, {method: 'POST', body: ''});
	expect(answer.status).toBe(503);
	expect(performance.now() - startedAt).toBeLessThan(timeout * 2);
	bring();
	await wait(20);
	expect(settled).toEqual([0]);
	server.closeAllConnections();
});
