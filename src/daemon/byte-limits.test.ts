import {once} from 'node:events';
import {createServer, get, type IncomingMessage} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	afterEach, expect, test,
} from 'vitest';
import {startFloodingEngine, type EngineScript, type FloodingEngine} from '../../tools/harness/flooding-engine.js';
import {createUnlimitedEligibility} from '../../tools/harness/unlimited-upstreams.js';
import {
	CachedPromptSource, createPartQuarantine, createQuarantine, createRequestForwarder, createRetryBudget, createTrafficCounter, createUpstreamRegistry, type ForwardReport,
} from '../coordination/mod.js';
import {
	Ok, type EventName, type GatewayWire, type Route, type UpstreamRegistration,
} from '../protocol/mod.js';
import {createCrashRegistry, createPartCrashRegistry, createUpstreamDirectory} from '../state/mod.js';
import {createByteLimits, createSystemClock, createUpstreamClient} from '../transport/mod.js';
import {createCallerAnswer} from './caller-answer.js';

// Engines that send without end to a gateway's forwarder, through its HTTP client and server.

const bytesPerMegabyte = 1_048_576;
/** What the operating system buffers on both sides of a loopback connection. */
const maxKernelBytes = 16 * bytesPerMegabyte;
/** An engine's connection is closed within this time after a flood begins. */
const maxFloodMs = 1000;
/** A response or event that is assembled, in a buffer that doubles, and what is queued before and after it. */
const maxHeldBytesForOne = 2.5 * bytesPerMegabyte;

/** Enough for tests that move much data on a busy machine. */
const longTimeoutMs = 30_000;

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

const wire: GatewayWire = {
	readinessPath: '/ready',
	reportPath: '/report',
	readReportedStart: () => undefined,
	readRequest: () => Ok({}),
	buildForwardHeaders: (_raw, {lastEventId}) => lastEventId === undefined ? [] : ['last-event-id', lastEventId],
	readRequestId: () => undefined,
	readAnswer: () => ({
		isWrongUpstream: false, requestId: undefined, hasNotRun: false, hasUpstreamSignature: true,
	}),
	buildAnswerHeaders: raw => raw.filter((_, index) => !/^(?:transfer-encoding|connection)$/i.test(raw[index - (index % 2)]!)),
	formatRetryAfter: () => ['retry-after', '1'],
};

type GatewayOptions = {
	readonly route?: Partial<Route>;
	/** What engines send for the requests in turn. */
	readonly scripts: EngineScript[];
	readonly engines?: number;
	readonly maxHeldBytes?: number;
	/** Time that requests have. */
	readonly timeoutMs?: number;
};

/** Starts a gateway whose engines share the scripts. */
async function startGateway({route = {}, scripts, engines: engineCount = 2, maxHeldBytes, timeoutMs = 5000}: GatewayOptions) {
	const written: Array<{readonly name: EventName; readonly fields: unknown}> = [];
	const events = {
		write(name: EventName, fields?: unknown) {
			written.push({name, fields});
		},
		counts: new Map(),
	};
	const clock = createSystemClock();
	const limits = createByteLimits({maxHeldBytes, events});
	const directory = createUpstreamDirectory();
	const engines: FloodingEngine[] = [];
	for (let index = 0; index < engineCount; index += 1) {
		const engine = await startFloodingEngine(scripts);
		engines.push(engine);
		const registration: UpstreamRegistration = {
			id: `u${index}`, service: 's', address: engine.address, failureDomain: 'd', slots: 64, isDraining: false, warmUp: 0, softwareVersion: 'v1',
		};
		directory.put(registration, 0);
	}

	const eligibility = createUnlimitedEligibility({directory, clock});
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 8, limits});
	const retryBudget = createRetryBudget({ratio: 1, burst: 100});
	const forwarder = createRequestForwarder({
		eligibility, wire, clock, events, client, limits,
		registry: createUpstreamRegistry({
			eligibility, directory, clock, failureDomain: 'd', sumPeerUse: upstream => ({upstream, inFlight: 0, waitingTokens: 0}),
		}),
		limitRecorder: {recordAnswer: () => undefined},
		noticeRecorder: {recordAnswer: () => undefined},
		startChecker: {
			isOfVersion: async () => true, checkOrigin: async origin => ({origin, isUnread: false}), settleDoubt: async () => true, canConfirm: () => true, queryStart: async () => undefined, recordLost: () => undefined,
		},
		streamRecorder: {recordEvents: () => undefined},
		traffic: createTrafficCounter('d'),
		promptSourcePolicy: new CachedPromptSource(),
		findRetryBudget: () => retryBudget,
		quarantine: createQuarantine({
			crashRegistry: createCrashRegistry(), daemon: 'g', listPeers: () => [], clock, events, onChange: () => undefined, onCrash: () => undefined,
		}),
		partQuarantine: createPartQuarantine({
			registry: createPartCrashRegistry(), clock, events, onChange: () => undefined, onCrash: () => undefined, claimTrial: async () => false,
		}),
		crashDetector: {hasCrashed: async () => false},
	});
	const reports: ForwardReport[] = [];
	let serial = 0;
	const server = createServer(async (request, response) => {
		const callerGone = new AbortController();
		response.on('error', () => undefined);
		response.on('close', () => {
			if (!response.writableFinished) {
				callerGone.abort(new Error('The caller disconnected'));
			}
		});
		serial += 1;
		reports.push(await forwarder.forward({
			id: `r${serial}`, resumes: undefined, origin: undefined, digest: `d${serial}`, parts: [],
			route: {
				id: 'r', host: 'h', prefix: '/', kind: 'idempotent', timeout: timeoutMs, objective: 500, priority: 0, isOpen: true,
				attempts: 3, isResumable: false, targets: [{service: 's', weight: 1}], ...route,
			},
			service: {id: 's', connectionLimit: 64},
			customer: undefined, priority: 0, method: 'POST', path: '/', rawHeaders: [], body: undefined, generation: undefined, lastEventId: undefined,
			startedAt: clock.now(), deadline: clock.now() + timeoutMs, signal: callerGone.signal,
			answer: createCallerAnswer(response, wire, limits),
		}));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	closers.push(() => {
		void client.close();
		server.closeAllConnections();
		server.close();
		for (const engine of engines) {
			engine.close();
		}
	});
	return {
		limits, written, reports, port,
		listConnections: () => engines.flatMap(engine => engine.connections).sort((left, right) => left.startedAt - right.startedAt),
		listEvents: () => written.map(({name}) => name),
		countCut: (limit: string) => limits.listCuts().find(([name]) => name === limit)![1],
	};
}

type Gateway = Awaited<ReturnType<typeof startGateway>>;

/** Sends a request and reads its response to its end. */
async function sendRequest({port}: Gateway) {
	const request = get({
		host: '127.0.0.1', port, path: '/', agent: false,
	});
	const received = {
		status: 0, isComplete: false, bytes: 0, text: '',
	};
	await new Promise<void>(resolve => {
		request.on('error', () => {
			resolve();
		});
		request.on('response', (response: IncomingMessage) => {
			received.status = response.statusCode!;
			response.on('data', (chunk: Uint8Array) => {
				received.bytes += chunk.length;
				if (received.bytes < 1000) {
					received.text += new TextDecoder().decode(chunk);
				}
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				received.isComplete = response.complete;
				resolve();
			});
		});
	});
	return received;
}

/** Waits until the first connection of the engines, which floods, is closed. */
async function expectFloodClosed(gateway: Gateway, maxMs = maxFloodMs): Promise<void> {
	await expect.poll(() => gateway.listConnections()[0]?.closedAt, {timeout: maxMs + 2000, interval: 10}).toBeDefined();
	const {startedAt, closedAt, sentBytes} = gateway.listConnections()[0]!;
	expect(closedAt! - startedAt).toBeLessThan(maxMs);
	expect(sentBytes).toBeLessThan(maxKernelBytes);
}

const ok: EngineScript = {head: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'};
const bodyHead = 'HTTP/1.1 200 OK\r\n\r\n';
const streamHead = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const floodText = 'x'.repeat(1000);

const floodsBeforeBody: ReadonlyArray<readonly [string, EngineScript]> = [
	['a chunk extension', {head: `${chunkedHead}5;`, unit: floodText}],
	['extensions of one chunk after another', {head: chunkedHead, unit: `1;${floodText}\r\nx\r\n`}],
	['header lines', {head: 'HTTP/1.1 200 OK\r\n', unit: `X-Name: ${floodText}\r\n`}],
	['a header value', {head: 'HTTP/1.1 200 OK\r\nX-Name: ', unit: floodText}],
	['a reason phrase', {head: 'HTTP/1.1 200 ', unit: floodText}],
	['informational responses', {head: '', unit: 'HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n'}],
	['empty lines', {head: '', unit: '\r\n'}],
	['something other than HTTP', {head: '', unit: '\u0000\u0001binary'}],
];

test.each(floodsBeforeBody)('an engine that sends %s without end is cut and another one serves the request', async (_, flood) => {
	// Guards against gateways that read without end what their HTTP client does not report: a chunk extension made one read 1.1 GB.
	const gateway = await startGateway({scripts: [flood, ok]});
	const received = await sendRequest(gateway);
	await expectFloodClosed(gateway);
	expect(received).toMatchObject({status: 200, text: 'ok', isComplete: true});
	expect(gateway.limits.countMaxHeld()).toBeLessThan(maxHeldBytesForOne);
	expect(gateway.limits.countHeld()).toBe(0);
});

test.each(floodsBeforeBody)('a request that runs at most once gets a failure if its engine sends %s without end', async (_, flood) => {
	const gateway = await startGateway({route: {kind: 'once'}, scripts: [flood, ok]});
	const received = await sendRequest(gateway);
	await expectFloodClosed(gateway);
	expect(received.status).toBe(502);
	expect(gateway.listConnections().length).toBe(1);
});

test('a chunk extension without end is counted and logged with the address of its engine', async () => {
	const gateway = await startGateway({scripts: [floodsBeforeBody[0]![1], ok]});
	await sendRequest(gateway);
	expect(gateway.countCut('unusable')).toBe(1);
	expect(gateway.written.find(({name}) => name === 'unusableBytes')?.fields).toHaveProperty('address');
});

test('informational responses are not taken for the response', async () => {
	// Guards against a 103 that is relayed as the final status, followed by a second status line.
	const gateway = await startGateway({scripts: [{head: `HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n${ok.head}`}]});
	expect(await sendRequest(gateway)).toMatchObject({status: 200, text: 'ok', isComplete: true});
});

test('a body without a length or end is forwarded up to the limit and then cut', async () => {
	// Guards against a gateway that buffers such a body: six of them took 457 to 500 MB.
	const gateway = await startGateway({scripts: [{head: bodyHead, unit: floodText}, ok], timeoutMs: longTimeoutMs});
	const received = await sendRequest(gateway);
	await expect.poll(() => gateway.listConnections()[0]?.closedAt).toBeDefined();
	expect(received.status).toBe(200);
	expect(received.isComplete).toBe(false);
	expect(received.bytes).toBeGreaterThan(60 * bytesPerMegabyte);
	expect(received.bytes).toBeLessThanOrEqual(64 * bytesPerMegabyte);
	expect(gateway.limits.countMaxHeld()).toBeLessThan(maxHeldBytesForOne);
	expect(gateway.countCut('response')).toBe(1);
	expect(gateway.listEvents()).toEqual(expect.arrayContaining(['responseForwarded', 'responseTooLong']));
	expect(gateway.reports[0]?.result).toBe('cut');
	expect(gateway.listConnections().length).toBe(1);
	expect(gateway.limits.countHeld()).toBe(0);
});

test('a server error without end is not held back', async () => {
	// A server error is held back until no other engine answers; one of any length must not be.
	const gateway = await startGateway({scripts: [{head: 'HTTP/1.1 500 Error\r\n\r\n', unit: floodText}, ok]});
	const received = await sendRequest(gateway);
	await expectFloodClosed(gateway);
	expect(received).toMatchObject({status: 200, text: 'ok', isComplete: true});
	expect(gateway.limits.countMaxHeld()).toBeLessThan(maxHeldBytesForOne);
	expect(gateway.countCut('response')).toBe(1);
});

test.each([['a length', `Content-Length: ${5 * bytesPerMegabyte}\r\n`], ['no length', '']])('a response of 5 MB with %s is delivered whole', async (_, header) => {
	// Guards against a limit that cuts legitimate responses.
	const gateway = await startGateway({scripts: [{head: `HTTP/1.1 200 OK\r\n${header}\r\n${'x'.repeat(5 * bytesPerMegabyte)}`, endsConnection: true}]});
	expect(await sendRequest(gateway)).toMatchObject({status: 200, isComplete: true, bytes: 5 * bytesPerMegabyte});
	expect(gateway.limits.countMaxHeld()).toBeLessThan(maxHeldBytesForOne);
	expect(gateway.reports[0]?.result).toBe('served');
});

test('a stream in small chunks whose framing exceeds the limit on unusable bytes is delivered whole', async () => {
	// Guards against counting the framing of a long stream as unusable: each of these chunks has more framing than content.
	const count = 60_000;
	const gateway = await startGateway({
		route: {kind: 'stream'},
		scripts: [{head: `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${'4\r\n:a\n\n\r\n'.repeat(count)}0\r\n\r\n`}],
		timeoutMs: longTimeoutMs,
	});
	expect(await sendRequest(gateway)).toMatchObject({status: 200, isComplete: true, bytes: 4 * count});
});

test('an event without end is cut, and another engine serves the stream', async () => {
	// Guards against a gateway that holds the event: six of them took 72 to 147 MB.
	const gateway = await startGateway({
		route: {kind: 'stream', isResumable: true},
		scripts: [{head: `${streamHead}data: `, unit: floodText}, {head: `${streamHead}data: whole\n\n`, endsConnection: true}],
	});
	const received = await sendRequest(gateway);
	await expectFloodClosed(gateway);
	expect(received).toMatchObject({status: 200, text: 'data: whole\n\n', isComplete: true});
	expect(gateway.limits.countMaxHeld()).toBeLessThan(maxHeldBytesForOne);
	expect(gateway.countCut('event')).toBe(1);
	expect(gateway.listEvents()).toContain('eventTooLong');
	expect(gateway.limits.countHeld()).toBe(0);
});

test('a stream with an event without end is resumed after its last whole event', async () => {
	const gateway = await startGateway({
		route: {kind: 'stream', isResumable: true},
		scripts: [{head: `${streamHead}id: 1\ndata: a\n\nid: 2\ndata: `, unit: floodText}, {head: `${streamHead}id: 2\ndata: b\n\n`, endsConnection: true}],
	});
	const received = await sendRequest(gateway);
	await expectFloodClosed(gateway);
	expect(received).toMatchObject({text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isComplete: true});
	expect(gateway.listConnections()[1]?.request).toContain('last-event-id: 1');
});

test('a stream that may not be resumed is cut visibly by an event without end', async () => {
	const gateway = await startGateway({
		route: {kind: 'stream'},
		scripts: [{head: `${streamHead}data: a\n\ndata: `, unit: floodText}, ok],
	});
	const received = await sendRequest(gateway);
	await expectFloodClosed(gateway);
	expect(received).toMatchObject({text: 'data: a\n\n', isComplete: false});
	expect(gateway.reports[0]?.result).toBe('cut');
});

test('a whole event longer than the limit is not passed on', async () => {
	const gateway = await startGateway({
		route: {kind: 'stream'},
		scripts: [{head: `${streamHead}data: ${'x'.repeat(bytesPerMegabyte)}\n\n`, endsConnection: true}],
	});
	expect(await sendRequest(gateway)).toMatchObject({status: 502});
	expect(gateway.countCut('event')).toBe(1);
});

test.each([
	['empty lines', '\r\n'], ['responses to no request', ok.head], ['something other than HTTP', '\u0000\u0001'],
])('%s without end after a complete response close the connection', async (_, unit) => {
	// The connection is kept for the next request, and nobody waits for a response on it.
	const gateway = await startGateway({scripts: [{head: ok.head, unit}, ok]});
	expect(await sendRequest(gateway)).toMatchObject({status: 200, text: 'ok', isComplete: true});
	await expectFloodClosed(gateway);
	expect(await sendRequest(gateway)).toMatchObject({status: 200, text: 'ok', isComplete: true});
});

/** Opens a connection that sends a request and reads nothing. */
async function sendWithoutReading({port}: Gateway) {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
	closers.push(() => {
		socket.destroy();
	});
	return socket;
}

test.each([
	['events', 'stream', streamHead, 'data: event\n\n'],
	['a body', 'idempotent', bodyHead, floodText],
] as const)('a caller that does not read %s stops the reading from its engine', async (_, kind, head, unit) => {
	// Guards against a gateway that holds what its callers do not read.
	const gateway = await startGateway({route: {kind}, scripts: [{head, unit}]});
	const socket = await sendWithoutReading(gateway);
	const countSent = () => gateway.listConnections()[0]?.sentBytes;
	await expect.poll(async () => {
		const sentBytes = countSent();
		await wait(300);
		return sentBytes !== undefined && countSent() === sentBytes;
	}, {timeout: 2000}).toBe(true);
	expect(countSent()).toBeLessThan(3 * maxKernelBytes);
	expect(gateway.limits.countHeld()).toBeGreaterThan(0);
	expect(gateway.limits.countMaxHeld()).toBeLessThan(maxHeldBytesForOne);
	socket.destroy();
	await expect.poll(() => gateway.listConnections()[0]?.closedAt).toBeDefined();
	await expect.poll(gateway.limits.countHeld).toBe(0);
});

test('many floods at once stay below the limit of the process, and other requests are served', async () => {
	// Guards against limits for each connection only: their sum is more than the smallest gateways have.
	const floods = 8;
	const maxHeldBytes = bytesPerMegabyte;
	const gateway = await startGateway({
		route: {kind: 'stream', attempts: 1},
		scripts: [...Array.from({length: floods}, () => ({head: `${streamHead}data: `, unit: floodText})), {head: `${streamHead}data: whole\n\n`, endsConnection: true}],
		maxHeldBytes,
	});
	const flooded = Array.from({length: floods}, async () => sendRequest(gateway));
	await expect.poll(() => gateway.listConnections().length).toBe(floods);
	expect(await sendRequest(gateway)).toMatchObject({text: 'data: whole\n\n', isComplete: true});
	const received = await Promise.all(flooded);
	expect(received.map(({status}) => status)).toEqual(received.map(() => 502));
	expect(gateway.limits.countMaxHeld()).toBeLessThanOrEqual(maxHeldBytes);
	expect(gateway.countCut('held')).toBeGreaterThan(0);
	expect(gateway.listEvents()).toContain('heldBytesExceeded');
	await expect.poll(() => gateway.listConnections().filter(({closedAt}) => closedAt === undefined).length).toBeLessThanOrEqual(1);
	expect(gateway.limits.countHeld()).toBe(0);
});

test('callers that do not read are cut when the process holds too much for them', async () => {
	// Each response fits the buffer of its connection, so nothing else bounds their sum.
	const callers = 12;
	const maxHeldBytes = 2 * bytesPerMegabyte;
	const length = 900_000;
	// The socket of a caller takes some megabytes before anything is held, so each caller sends several requests.
	const gateway = await startGateway({scripts: [{head: `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n${'x'.repeat(length)}`}], maxHeldBytes});
	for (let caller = 0; caller < callers; caller += 1) {
		const socket = await sendWithoutReading(gateway);
		socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(9));
	}

	await expect.poll(() => gateway.countCut('held'), {timeout: 4000}).toBeGreaterThan(0);
	expect(gateway.limits.countMaxHeld()).toBeLessThanOrEqual(maxHeldBytes);
});

test('a stream that is cut does not look complete to a caller whose responses end with their connection', async () => {
	// Guards against a cut that closes the connection of an HTTP/1.0 caller normally, which is how its complete responses end.
	const gateway = await startGateway({route: {kind: 'stream'}, scripts: [{head: `${streamHead}data: a\n\ndata: `, unit: floodText}]});
	const socket = connect(gateway.port, '127.0.0.1');
	socket.resume();
	socket.write('GET / HTTP/1.0\r\n\r\n');
	await expect(once(socket, 'close')).rejects.toThrow('ECONNRESET');
});
