import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createMetrics, type LogFollower, type RequestRouter} from '../coordination/mod.js';
import {Ok, createEventLog, entrySettingsSchema} from '../protocol/mod.js';
import {createByteLimits, createSystemClock, startHttpServer} from '../transport/mod.js';
import {createCallerInterface} from './caller-interface.js';
import {waitUntilIdle} from './wait-until-idle.js';

const clock = createSystemClock();
/** Larger than the operating system's buffer for one connection, so that a part stays in the process. */
const answerBytes = 32 * 1_048_576;

const service = {
	name: 'reports', cost: 1, idempotent: true, withoutLog: 'refuse' as const,
};
const configuration = {
	findKey: () => ({digest: 'd', customer: 'city', budget: 'city-day'}),
	findClass: () => undefined,
	findCustomer: () => undefined,
	findService: () => service,
};

function createCallers(body: Uint8Array) {
	return createCallerInterface({
		self: {
			id: 'entry-1', role: 'entry', incarnation: 'i-1', isLeaving: false,
		},
		isRefusingNew: () => false,
		requestLimits: createByteLimits(),
		settings: entrySettingsSchema.shape.requests.parse({}),
		follower: {isReady: () => true, state: () => ({configuration})} as unknown as LogFollower,
		router: {
			async * run() {
				yield body;
				return Ok({
					chunks: 1, length: body.length, digest: '', promptTokens: 0, completionTokens: 0, billed: [], finishReason: 'stop', status: 200,
				});
			},
		} satisfies RequestRouter,
		metrics: createMetrics(),
		clock,
		events: createEventLog('entry-1'),
	});
}

async function openCall(url: string): Promise<Socket> {
	const {port, hostname} = new URL(url);
	const socket = connect(Number(port), hostname);
	await once(socket, 'connect');
	socket.pause();
	socket.write('POST /v1/services/reports HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}');
	return socket;
}

// Reads until the server closes the connection.
async function countBytes(socket: Socket): Promise<number> {
	let bytes = 0;
	socket.on('data', (data: Uint8Array) => {
		bytes += data.length;
	});
	socket.resume();
	try {
		await once(socket, 'close');
	} catch {
		// The connection was reset. The bytes received before count.
	}

	return bytes;
}

// Guards against a truncated answer. A caller on a slow connection received half
// of a long answer: all of it had been written when the stop of the entry daemon
// began, but a part was still buffered in the process. The request no longer
// counted as running, so the stop closed the connection before that part was sent.
test('a stop waits until a slow caller has been sent its whole answer', {timeout: 15_000}, async () => {
	const callers = createCallers(Buffer.alloc(answerBytes, ' '));
	const server = await startHttpServer({host: '127.0.0.1', port: 0}, callers.addRoutes);
	const socket = await openCall(server.url);
	await wait(500);
	const running = callers.countRunning();
	const stopped = (async () => {
		const isIdle = await waitUntilIdle(callers.countRunning, {timeoutMs: 10_000, clock});
		await server.close();
		return isIdle;
	})();
	await wait(1000);
	const received = Math.min(await countBytes(socket), answerBytes);
	expect({running, received, isIdle: await stopped}).toEqual({running: 1, received: answerBytes, isIdle: true});
});
