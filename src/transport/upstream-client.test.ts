import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	afterEach, expect, test,
} from 'vitest';
import {createByteLimits} from './byte-limits.js';
import {createUpstreamClient, type UpstreamCall, type UpstreamClient} from './mod.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts a server that calls `answer` for the first request on each connection. */
async function serve(answer: (socket: Socket) => void): Promise<string> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => server.close());
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function buildCall(address: string, shouldUseNewConnection: boolean): UpstreamCall {
	return {
		address, method: 'GET', path: '/', headers: [], body: undefined, signal: new AbortController().signal, shouldUseNewConnection, shouldStillSend: () => true,
	};
}

async function readText(result: Awaited<ReturnType<UpstreamClient['call']>>): Promise<string> {
	let text = '';
	for await (const chunk of result.unwrap().chunks) {
		text += new TextDecoder().decode(chunk);
	}

	return text;
}

async function readBody(address: string, shouldUseNewConnection: boolean): Promise<string> {
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 2});
	closers.push(() => {
		void client.close();
	});
	return readText(await client.call(buildCall(address, shouldUseNewConnection)));
}

const responseWithoutLength = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf';

test.each([true, false])('a response without length whose connection is reset is incomplete, new connection %s', async shouldUseNewConnection => {
	// An engine crashes during a response without length. undici treats the reset
	// as the end of the response, so the caller mistakes the truncated response for a complete one.
	const address = await serve(socket => {
		socket.write(responseWithoutLength, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	await expect(readBody(address, shouldUseNewConnection)).rejects.toThrow('reset');
});

test.each([true, false])('a reset received together with the last bytes is detected, new connection %s', async shouldUseNewConnection => {
	// As above, but the gateway is busy: it receives the last bytes and the reset
	// together, and Node.js reports the end of the stream and no error.
	const address = await serve(socket => {
		socket.write(responseWithoutLength, () => {
			socket.resetAndDestroy();
		});
	});
	await expect(readBody(address, shouldUseNewConnection)).rejects.toThrow('reset');
});

test.each([true, false])('a response without length that ends normally is complete, new connection %s', async shouldUseNewConnection => {
	const address = await serve(socket => {
		socket.end(responseWithoutLength);
	});
	await expect(readBody(address, shouldUseNewConnection)).resolves.toBe('half');
});

test('a truncated response with a length is incomplete', async () => {
	const address = await serve(socket => {
		socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
	});
	await expect(readBody(address, true)).rejects.toThrow();
});

test('a call whose connection is refused is reported as unsent', async () => {
	const address = await serve(() => undefined);
	for (const close of closers.splice(0)) {
		close();
	}

	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 2});
	const result = await client.call(buildCall(address, false));
	expect(result.err && result.val.kind).toBe('unsent');
	await client.close();
});

test('a call whose connection closes after the request is reported as broken', async () => {
	const address = await serve(socket => {
		socket.destroy();
	});
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 2});
	const result = await client.call(buildCall(address, true));
	expect(result.err && result.val.kind).toBe('broken');
	await client.close();
});

const completeResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/**
 * Creates a client whose only connection to an upstream is occupied by a first call until `release` is called, and records
 * the requests that the upstream receives.
 */
async function keepConnectionBusy() {
	const requests: string[] = [];
	let release: () => void = () => undefined;
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', data => {
			requests.push(String(data));
			release = () => socket.write(completeResponse);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 1});
	closers.push(() => server.close(), () => {
		void client.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const first = client.call(buildCall(address, false));
	await expect.poll(() => requests.length).toBe(1);
	return {
		client, address, requests, first,
		release() {
			release();
		},
	};
}

test('a call that is no longer wanted when a connection becomes available is not sent', async () => {
	// All connections to an engine are in use, and a request waits for one. The
	// engine leaves the fleet in the meantime but still receives the request.
	const {client, address, requests, first, release} = await keepConnectionBusy();
	let isListed = true;
	const second = client.call({...buildCall(address, false), shouldStillSend: () => isListed});
	isListed = false;
	release();
	await readText(await first);
	const result = await second;
	expect(result.err && result.val.kind).toBe('unsent');
	expect(requests.length).toBe(1);
});

test('a call that is aborted while it waits for a connection ends at once', async () => {
	// A request waits for a connection to an engine that is busy for seconds. If
	// aborting it has no effect, the caller gets no response when its deadline passes.
	const {client, address, requests} = await keepConnectionBusy();
	const giveUp = new AbortController();
	const second = client.call({...buildCall(address, false), signal: giveUp.signal});
	giveUp.abort();
	const result = await Promise.race([second, wait(200, undefined)]);
	expect(result?.err && result.val.kind).toBe('unsent');
	expect(requests.length).toBe(1);
});

test.each([true, false])('a 304 with the length of the unmodified body is complete, new connection %s', async shouldUseNewConnection => {
	// Guards against a conditional request that fails although its upstream answered: undici expects a body of that length.
	const address = await serve(socket => {
		socket.write('HTTP/1.1 304 Not Modified\r\nContent-Length: 55\r\n\r\n');
	});
	await expect(readBody(address, shouldUseNewConnection)).resolves.toBe('');
});

test('a long body whose chunk lengths are padded to 16 digits is not cut', async () => {
	// Guards against a stream that breaks after some 65,000 events, because its framing counts as bytes of no response.
	const chunkCount = 100_000;
	const address = await serve(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'0000000000000001\r\nx\r\n'.repeat(chunkCount)}0\r\n\r\n`);
	});
	await expect(readBody(address, false)).resolves.toHaveLength(chunkCount);
});

/** Reads a body with a pause after each chunk, and returns how many bytes arrived and how the body ended. */
async function readSlowly(address: string, shouldUseNewConnection: boolean) {
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 1});
	closers.push(() => {
		void client.close();
	});
	const response = await client.call(buildCall(address, shouldUseNewConnection));
	let bytes = 0;
	let failure = '';
	await wait(150);
	try {
		for await (const chunk of response.unwrap().chunks) {
			bytes += chunk.length;
			await wait(20);
		}
	} catch (error) {
		failure = String(error);
	}

	return {bytes, failure};
}

// Guards against a process that ends: undici asserts that the parser of a response without a length is not paused when the
// connection ends or breaks, and it was paused for a slow reader.
test.each([true, false])('a slow reader of a response without length survives its end and its reset, new connection %s', async shouldUseNewConnection => {
	for (const size of [70_000, 200_000]) {
		const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
		const whole = await serve(socket => {
			socket.end(head + 'x'.repeat(size));
		});
		expect(await readSlowly(whole, shouldUseNewConnection)).toMatchObject({bytes: size, failure: ''});
		const reset = await serve(socket => {
			socket.write(head + 'x'.repeat(size));
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 100);
		});
		const {failure} = await readSlowly(reset, shouldUseNewConnection);
		expect(failure).toContain('reset');
	}
});

test.each([true, false])('a whole response to a slow reader is whole if its connection ends after it, new connection %s', async shouldUseNewConnection => {
	// Guards against an answer that is cut although all of its bytes have arrived.
	const address = await serve(socket => {
		socket.end(`HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n${'x'.repeat(200_000)}`);
	});
	expect(await readSlowly(address, shouldUseNewConnection)).toMatchObject({bytes: 200_000, failure: ''});
});

test('a connection that carried a response to a slow reader carries the next one', async () => {
	// Guards against a connection that is never read again because its reading was stopped when the response ended.
	// With the memory of their objects, the chunks exceed the bound at which reading stops, and arrive in one piece.
	const chunkCount = 1000;
	const server = createServer(socket => {
		socket.on('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(chunkCount)}0\r\n\r\n`);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => server.close());
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 1});
	closers.push(() => {
		void client.close();
	});
	const unread = await client.call(buildCall(address, false));
	await wait(50);
	const next = await client.call(buildCall(address, false));
	expect(await readText(next)).toHaveLength(chunkCount);
	expect(await readText(unread)).toHaveLength(chunkCount);
});

test.each([true, false])('a call to an address that is none is unsent, new connection %s', async shouldUseNewConnection => {
	// Guards against a call that rejects, so that its request gets no answer and its tokens stay reserved.
	const client = createUpstreamClient({connectTimeoutMs: 500, maxConnections: 2});
	for (const address of ['127.0.0.1:65536', '127.0.0.1:port', '', 'a b', '[', '127.0.0.1:1/path']) {
		const result = await client.call(buildCall(address, shouldUseNewConnection));
		expect([address, result.err && result.val.kind]).toEqual([address, 'unsent']);
	}

	await client.close();
});

test.each([true, false])('an exception in a callback ends its call only, new connection %s', async shouldUseNewConnection => {
	// Guards against a process that ends because of one response.
	const address = await serve(socket => {
		socket.write(completeResponse);
	});
	let exceptions = 0;
	const limits = createByteLimits();
	const client = createUpstreamClient({
		connectTimeoutMs: 500, maxConnections: 1, limits: {
			...limits, openHolder(...args) {
				exceptions += 1;
				if (exceptions === 1) {
					throw new RangeError('test');
				}

				return limits.openHolder(...args);
			},
		},
	});
	const notSent = await client.call({
		...buildCall(address, shouldUseNewConnection), shouldStillSend() {
			throw new RangeError('test');
		},
	});
	expect(notSent.err && notSent.val.kind).toBe('unsent');
	const broken = await client.call(buildCall(address, shouldUseNewConnection));
	expect(broken.err && broken.val).toEqual({kind: 'broken', detail: 'test'});
	expect(await readText(await client.call(buildCall(address, shouldUseNewConnection)))).toBe('ok');
	await client.close();
});

test('bytes that a limit refuses and that throw end their response only', async () => {
	// Guards against a reader that waits for ever because the callback for its bytes failed.
	const address = await serve(socket => {
		socket.write(completeResponse);
	});
	const client = createUpstreamClient({
		connectTimeoutMs: 500, maxConnections: 1, limits: {
			...createByteLimits(), openHolder: () => ({
				set() {
					throw new RangeError('test');
				},
				tryProtect: () => true,
				close: () => undefined,
			}),
		},
	});
	await expect(readText(await client.call(buildCall(address, true)))).rejects.toThrow('test');
	await client.close();
});
