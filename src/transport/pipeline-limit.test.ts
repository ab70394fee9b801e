import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	expect, onTestFinished, test,
} from 'vitest';
import {
	createByteLimits, isPipelineFull, installPipelineLimit, findPieceEnd,
} from './mod.js';

const maxUnanswered = 4;

async function startServer(handle: RequestListener, limits = createByteLimits()) {
	const server = createServer({requestTimeout: 0, connectionsCheckingInterval: 50});
	const pipelines = installPipelineLimit(server, {maxUnanswered, limits});
	server.on('request', handle);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.on('error', () => undefined);
	onTestFinished(() => {
		socket.destroy();
		server.close();
	});
	return {server, socket, pipelines};
}

test('requests beyond the limit wait until answers are sent, and all are answered in order', async () => {
	// Guards against a request in work for each one that a caller sends ahead.
	const waiting: Array<() => void> = [];
	let mostWaiting = 0;
	const {socket} = await startServer((request, response) => {
		waiting.push(() => response.end(`<${request.url!}>`));
		mostWaiting = Math.max(mostWaiting, waiting.length);
	});
	const paths = Array.from({length: 500}, (_, index) => `/${index}`);
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''));
	await expect.poll(() => {
		for (const answer of waiting.splice(0)) {
			answer();
		}

		return text.match(/<\/\d+>/g)?.length;
	}, {timeout: 20_000, interval: 2}).toBe(paths.length);
	expect(text.match(/<\/\d+>/g)).toEqual(paths.map(path => `<${path}>`));
	expect(mostWaiting).toBe(maxUnanswered);
});

test('bodies of requests that were sent ahead arrive whole', async () => {
	// Guards against a body that waits for the answer to its own request.
	const bodies: string[] = [];
	const {socket} = await startServer(async (request, response) => {
		let body = '';
		for await (const data of request) {
			body += String(data);
		}

		bodies.push(body);
		response.end();
	});
	const sent = Array.from({length: 40}, (_, index) => `${index}:${'\r\n\r\n'.repeat(index * 100)}`);
	socket.resume();
	socket.write(sent.map(body => `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`).join(''));
	await expect.poll(() => bodies.length).toBe(sent.length);
	expect(bodies.toSorted()).toEqual(sent.toSorted());
});

test('a connection that waits for its answers is not closed for slow headers', async () => {
	// Guards against a caller who is told that its headers are late because the server does not parse them.
	const {server, socket, pipelines} = await startServer((request, response) => {
		waits.push(pipelines.computeWaitMs(request.socket));
		setTimeout(() => response.end('done'), 300);
	});
	const waits: number[] = [];
	server.headersTimeout = 100;
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(3 * maxUnanswered));
	await expect.poll(() => text.match(/done/g)?.length, {timeout: 5000}).toBe(3 * maxUnanswered);
	expect(text).not.toContain('408');
	// What a caller's time limit counts from is known too.
	expect(waits[0]).toBe(0);
	expect(waits.at(-1)).toBeGreaterThan(400);
});

test('a request that arrives long after the others were answered has not waited', async () => {
	// Guards against a request that is refused because earlier ones on its connection had waited.
	const waits: number[] = [];
	const {socket, pipelines} = await startServer((request, response) => {
		waits.push(pipelines.computeWaitMs(request.socket));
		setTimeout(() => response.end('done'), 20);
	});
	socket.resume();
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2 * maxUnanswered));
	await expect.poll(() => waits.length).toBe(2 * maxUnanswered);
	await wait(200);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	await expect.poll(() => waits.length).toBe((2 * maxUnanswered) + 1);
	expect(waits.at(-2)).toBeGreaterThan(0);
	expect(waits.at(-1)).toBe(0);
});

test('the connection that holds most is closed when all hold too much', async () => {
	const limits = createByteLimits({maxHeldBytes: 50_000});
	const {server, socket} = await startServer(() => undefined, limits);
	const small = connect((server.address() as AddressInfo).port, '127.0.0.1');
	onTestFinished(() => {
		small.destroy();
	});
	small.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2));
	await expect.poll(() => limits.countHeld()).toBe(8192);
	socket.resume();
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2000));
	await once(socket, 'close');
	await expect.poll(() => limits.countHeld()).toBe(8192);
	expect(small.destroyed).toBe(false);
});

test('short headers without end count several times', async () => {
	const limits = createByteLimits();
	const {socket} = await startServer(() => undefined, limits);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n');
	for (let sent = 0; sent < 10; sent += 1) {
		socket.write('a: b\r\n'.repeat(100));
		await wait(5);
	}

	await expect.poll(() => limits.countHeld()).toBe((25 + 6000) * 4);
});

test('an unknown expectation is refused and ends the connection', async () => {
	// Guards against refusals that the HTTP server queues by itself.
	const {socket} = await startServer(() => undefined);
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.write('GET / HTTP/1.1\r\nHost: a\r\nExpect: a\r\n\r\n'.repeat(10));
	await once(socket, 'close');
	expect(text.match(/HTTP\/1.1 417/g)).toHaveLength(1);
});

test('a pipeline is full at the limit, but not within headers nor for the body of its newest request', () => {
	const pipeline = {unanswered: 4, isNewestComplete: true, isBetweenHeaders: true};
	expect(isPipelineFull(pipeline, 4)).toBe(true);
	expect(isPipelineFull({...pipeline, unanswered: 3}, 4)).toBe(false);
	expect(isPipelineFull({...pipeline, isBetweenHeaders: false}, 4)).toBe(false);
	expect(isPipelineFull({...pipeline, isNewestComplete: false}, 4)).toBe(false);
	expect(isPipelineFull({...pipeline, unanswered: 5, isNewestComplete: false}, 4)).toBe(true);
	expect(isPipelineFull({unanswered: 17, isNewestComplete: true, isBetweenHeaders: false}, 4)).toBe(true);
});

test('a piece ends with the first headers', () => {
	expect(findPieceEnd(Buffer.from('GET / HTTP/1.1\r\nHost: a\r\n\r\nGET'))).toBe(27);
	expect(findPieceEnd(Buffer.from('GET'))).toBe(3);
	expect(findPieceEnd(Buffer.alloc(10_000))).toBe(4096);
});
