import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {
	type Admission, type BudgetManager, type ForwardReport, type RequestForwarder, type StreamResolver, createMetrics,
} from '../coordination/mod.js';
import {
	Ok, type Deployment, type EventLog, type GatewayWire,
} from '../protocol/mod.js';
import {createRouteTable, type TokenReservation} from '../state/mod.js';
import {createByteLimits, createSystemClock, startCallerServer} from '../transport/mod.js';
import {createGatewayInterface} from './gateway-interface.js';
import {createStopWindow} from './stop-window.js';

/** Timeout of the route. */
const timeoutMs = 300;
const events: EventLog = {write: () => undefined, counts: new Map()};

const wire: GatewayWire = {
	readinessPath: '/ready',
	reportPath: '/report',
	readReportedStart: () => undefined,
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
		id: 'r', host: '127.0.0.1', prefix: '/', kind: 'stream', timeout: timeoutMs, objective: 100, priority: 0, targets: [{service: 's', weight: 1}], attempts: 1, isOpen: false, isResumable: false,
	}],
	services: [{id: 's', connectionLimit: 10}],
	customers: [{id: 'c', keys: ['k'], bought: 1000}],
	limits: {
		headerBytes: 1000, bodyBytes: 1_000_000, headerTimeout: 1000, idleTimeout: 1000,
	},
};

type StartGatewayOptions = {
	readonly forwarder?: Pick<RequestForwarder, 'forward'>;
	/** Throws if the gateway meets an unexpected error before the request is forwarded. */
	readonly admit?: () => void;
};

/** Starts a gateway whose token reservations stay pending until `deliverTokens` is called. */
async function startGateway({forwarder, admit = () => undefined}: StartGatewayOptions = {}) {
	const clock = createSystemClock();
	const settled: number[] = [];
	const reservation: TokenReservation = {customer: 'c', amount: 110, isSettled: false};
	let deliverTokens: () => void = () => undefined;
	const tokens = new Promise<void>(resolve => {
		deliverTokens = resolve;
	});
	const budgetManager = {
		async acquire() {
			await tokens;
			return Ok(reservation);
		},
		settle(_reservation: TokenReservation, used: number) {
			settled.push(used);
		},
	} as unknown as BudgetManager;
	const admission = {
		admit() {
			admit();
			return Ok(() => undefined);
		},
	} as unknown as Admission;
	const callerInterface = createGatewayInterface({
		wire, findRouteTable: () => createRouteTable(deployment), syncViews: async () => undefined, budgetManager, admission, quarantine: {admit: () => Ok(undefined)}, partQuarantine: {admit: () => Ok(undefined), tryTrial: async () => false}, forwarder: forwarder as RequestForwarder, streamResolver: undefined as unknown as StreamResolver,
		metrics: createMetrics(), clock, events, stopWindow: createStopWindow({noticeMs: 1, clock}), requestLimits: createByteLimits(), computeStopRetryAfterMs: () => 100,
	});
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, callerInterface.serve);
	return {
		server, settled, deliverTokens, countUnanswered: callerInterface.countUnanswered,
	};
}

// Guards against a request that is held past its timeout because its tokens do not arrive: each peer that is asked for
// them may take 300 ms.
test('a request whose tokens arrive too late is refused at its timeout and returns them', async () => {
	const {server, settled, deliverTokens} = await startGateway();
	const startedAt = performance.now();
	const answer = await fetch(server.url, {method: 'POST', body: ''});
	expect(answer.status).toBe(503);
	expect(performance.now() - startedAt).toBeLessThan(timeoutMs * 2);
	deliverTokens();
	await wait(20);
	expect(settled).toEqual([0]);
	server.closeAllConnections();
});

// Guards against a connection that is closed without an answer, and against tokens that stay reserved.
test('a request whose forwarding throws gets an unknown outcome and its tokens are settled', async () => {
	const {server, settled, deliverTokens} = await startGateway({
		forwarder: {
			async forward() {
				throw new TypeError('Invalid URL');
			},
		},
	});
	deliverTokens();
	const answer = await fetch(server.url, {method: 'POST', body: ''});
	expect(answer.status).toBe(502);
	expect(await answer.json()).toMatchObject({type: 'urn:fireflylane:outcome-unknown', ran: 'unknown'});
	expect(settled).toEqual([110]);
	server.closeAllConnections();
});

// Guards against callers who left in the middle of a stream and are reported as answers that the gateway has cut.
test('a stream that is cut because its caller left counts as one whose caller left', async () => {
	const {server, deliverTokens, countUnanswered} = await startGateway({
		forwarder: {
			async forward({answer, signal}) {
				answer.start(200, []);
				await answer.write(new TextEncoder().encode('data: 1\n\n'));
				await once(signal, 'abort');
				answer.abort();
				return {
					result: 'cut', events: 1, sends: 1, mayHaveRun: true, upstream: 'u',
				} as unknown as ForwardReport;
			},
		},
	});
	deliverTokens();
	const {port} = new URL(server.url);
	const socket = connect(Number(port), '127.0.0.1');
	socket.write('POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n\r\n');
	await once(socket, 'data');
	socket.end();
	await expect.poll(() => [...countUnanswered()]).toEqual([['caller-left', 1]]);
	server.closeAllConnections();
});

// Guards against a booking that runs and whose answer is discarded, because an earlier answer on its connection is cut.
test('a pipelined request that may not be repeated is not forwarded before the answers to the earlier ones are sent', async () => {
	const forwarded: string[] = [];
	let cutsFirst = false;
	const {server, deliverTokens} = await startGateway({
		forwarder: {
			async forward({answer, path}) {
				forwarded.push(path);
				answer.start(200, ['Content-Length', '6']);
				await wait(50);
				if (cutsFirst) {
					answer.abort();
				} else {
					answer.end(Buffer.from(path.padEnd(6, '.')));
				}

				return {
					result: 'served', events: 1, sends: 1, mayHaveRun: true, upstream: 'u',
				} as unknown as ForwardReport;
			},
		},
	});
	deliverTokens();
	const formatPost = (path: string) => `POST ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n\r\n`;
	const {port} = new URL(server.url);
	const socket = connect(Number(port), '127.0.0.1');
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.write(formatPost('/one') + formatPost('/two'));
	await wait(20);
	expect(forwarded).toEqual(['/one']);
	await expect.poll(() => text).toMatch(/\/one\.\..*\/two\.\./su);
	cutsFirst = true;
	socket.write(formatPost('/three') + formatPost('/four'));
	await once(socket, 'close');
	await wait(20);
	expect(forwarded).toEqual(['/one', '/two', '/three']);
	server.closeAllConnections();
});

// Guards against a request that runs on for a caller who has left: a body that is not read stops the reading of its
// connection, and the close with it.
test('the close of a connection is seen while a pipelined request with a large body waits for its turn', async () => {
	const forwarded: string[] = [];
	const reasons: string[] = [];
	const {server, deliverTokens} = await startGateway({
		forwarder: {
			async forward({path, signal}) {
				forwarded.push(path);
				await once(signal, 'abort');
				reasons.push((signal.reason as Error).message);
				return {
					result: 'cut', events: 0, sends: 1, mayHaveRun: true,
				} as unknown as ForwardReport;
			},
		},
	});
	deliverTokens();
	const {port} = new URL(server.url);
	const socket = connect(Number(port), '127.0.0.1');
	socket.write('POST /one HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n\r\n');
	socket.write(`POST /two HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 500000\r\n\r\n${'x'.repeat(500_000)}`);
	await wait(100);
	socket.destroy();
	await expect.poll(() => reasons).toEqual(['The caller disconnected']);
	await wait(20);
	expect(forwarded).toEqual(['/one']);
	server.closeAllConnections();
});

// Guards against a request that waits for an earlier answer beyond its own time limit and is then forwarded.
test('a pipelined request whose turn comes after its timeout is refused', async () => {
	const forwarded: string[] = [];
	const {server, deliverTokens} = await startGateway({
		forwarder: {
			async forward({answer, path}) {
				forwarded.push(path);
				await wait(timeoutMs + 100);
				answer.start(200, ['Content-Length', '3']);
				answer.end(Buffer.from('one'));
				return {
					result: 'served', events: 1, sends: 1, mayHaveRun: true,
				} as unknown as ForwardReport;
			},
		},
	});
	deliverTokens();
	const formatPost = (path: string) => `POST ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 2\r\n\r\nab`;
	const {port} = new URL(server.url);
	const socket = connect(Number(port), '127.0.0.1');
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.write(formatPost('/one') + formatPost('/two'));
	await expect.poll(() => text, {timeout: 3000}).toMatch(/ 200 .*one.* 503 .*timed out/su);
	expect(forwarded).toEqual(['/one']);
	server.closeAllConnections();
});

// Guards against a connection that is closed without an answer.
test('a request that meets an unexpected error before it is forwarded is refused as not run', async () => {
	const {server} = await startGateway({
		admit() {
			throw new TypeError('The admission is broken');
		},
	});
	const answer = await fetch(server.url, {method: 'POST', body: ''});
	expect([answer.status, answer.headers.has('retry-after')]).toEqual([503, true]);
	expect(await answer.json()).toMatchObject({ran: 'no'});
	server.closeAllConnections();
});
