import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	afterEach, expect, test,
} from 'vitest';
import {createUpstreamClient, type UpstreamCall, type UpstreamClient} from './mod.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Serves each connection's first request by the function given. */
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

function buildCall(address: string, isAlone: boolean): UpstreamCall {
	return {
		address, method: 'GET', path: '/', headers: [], body: undefined, signal: new AbortController().signal, isAlone, isStillWanted: () => true,
	};
}

async function readText(answer: Awaited<ReturnType<UpstreamClient['call']>>): Promise<string> {
	let text = '';
	for await (const chunk of answer.unwrap().chunks) {
		text += new TextDecoder().decode(chunk);
	}

	return text;
}

async function readBody(address: string, isAlone: boolean): Promise<string> {
	const client = createUpstreamClient({connectTimeout: 500, connections: 2});
	closers.push(() => {
		void client.close();
	});
	return readText(await client.call(buildCall(address, isAlone)));
}

const lengthless = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf';

test.each([true, false])('a lengthless answer whose connection is reset is not whole, alone %s', async isAlone => {
	// A caller takes half an answer for the whole: the engine crashed in an
	// answer without a length, and undici takes a reset there for its end.
	const address = await serve(socket => {
		socket.write(lengthless, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	await expect(readBody(address, isAlone)).rejects.toThrow('reset');
});

test.each([true, false])('a reset that arrives together with the last bytes is no end, alone %s', async isAlone => {
	// As above, but the gateway is busy: bytes and reset wait together, and the
	// event loop reports the end of the stream and no error.
	const address = await serve(socket => {
		socket.write(lengthless, () => {
			socket.resetAndDestroy();
		});
	});
	await expect(readBody(address, isAlone)).rejects.toThrow('reset');
});

test.each([true, false])('a lengthless answer that ends in order is whole, alone %s', async isAlone => {
	const address = await serve(socket => {
		socket.end(lengthless);
	});
	await expect(readBody(address, isAlone)).resolves.toBe('half');
});

test('a torn answer with a length is not whole', async () => {
	const address = await serve(socket => {
		socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
	});
	await expect(readBody(address, true)).rejects.toThrow();
});

test('a connection that is refused has carried nothing', async () => {
	const address = await serve(() => undefined);
	for (const close of closers.splice(0)) {
		close();
	}

	const client = createUpstreamClient({connectTimeout: 500, connections: 2});
	const answer = await client.call(buildCall(address, false));
	expect(answer.err && answer.val.kind).toBe('unsent');
	await client.close();
});

test('a connection that closes after the request leaves the outcome open', async () => {
	const address = await serve(socket => {
		socket.destroy();
	});
	const client = createUpstreamClient({connectTimeout: 500, connections: 2});
	const answer = await client.call(buildCall(address, true));
	expect(answer.err && answer.val.kind).toBe('broken');
	await client.close();
});

const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** A client whose only connection to an upstream is held by a first call until `release` is called, and what came on it. */
async function keepConnectionBusy() {
	const requests: string[] = [];
	let release: () => void = () => undefined;
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', data => {
			requests.push(String(data));
			release = () => socket.write(whole);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = createUpstreamClient({connectTimeout: 500, connections: 1});
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

test('a call that is no longer wanted when a connection is free is not sent', async () => {
	// A caller's request reaches an engine that left seconds ago: all connections
	// to it were taken, and the request waited for one on a choice made before.
	const {client, address, requests, first, release} = await keepConnectionBusy();
	let isListed = true;
	const second = client.call({...buildCall(address, false), isStillWanted: () => isListed});
	isListed = false;
	release();
	await readText(await first);
	const answer = await second;
	expect(answer.err && answer.val.kind).toBe('unsent');
	expect(requests.length).toBe(1);
});

test('a call that is given up while it waits for a connection ends at once', async () => {
	// A caller whose time limit has passed gets no answer: its request waits for
	// a connection to an engine that is busy for seconds.
	const {client, address, requests} = await keepConnectionBusy();
	const giveUp = new AbortController();
	const second = client.call({...buildCall(address, false), signal: giveUp.signal});
	giveUp.abort();
	const answer = await Promise.race([second, wait(200, undefined)]);
	expect(answer?.err && answer.val.kind).toBe('unsent');
	expect(requests.length).toBe(1);
});
