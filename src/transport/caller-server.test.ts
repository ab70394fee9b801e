import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {setImmediate as nextTurn, setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {startCallerServer} from './caller-server.js';

async function open(url: string): Promise<Socket> {
	const {port, hostname} = new URL(url);
	const socket = connect(Number(port), hostname);
	await once(socket, 'connect');
	return socket;
}

test('a draining server closes a connection once its running response is complete', {timeout: 3000}, async () => {
	// A stream that began before a planned stop ends during it. If its keep-alive
	// connection stays open, the caller sends a new request on it seconds later,
	// and the end of the stop truncates the response to it.
	let begin: (response: ServerResponse) => void = () => undefined;
	const begun = new Promise<ServerResponse>(resolve => {
		begin = resolve;
	});
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (_request, response) => {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write('data: first\n\n');
		begin(response);
	});
	const socket = await open(server.url);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	const response = await begun;
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	const ended = once(socket, 'end');
	server.drain();
	response.end('data: last\n\n');
	await ended;
	expect(text).toContain('data: last');
	expect(text.endsWith('0\r\n\r\n')).toBe(true);
	server.closeAllConnections();
});

const requestText = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

/** Starts a server whose responses the test completes, and a connection to it. */
async function createFixture() {
	const state = {shouldClose: false};
	const responses: ServerResponse[] = [];
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (_request, response) => {
		responses.push(response);
	});
	server.setClosePolicy(() => state.shouldClose);
	const socket = await open(server.url);
	const received = {text: '', hasEnded: false};
	socket.on('data', data => {
		received.text += String(data);
	});
	socket.on('end', () => {
		received.hasEnded = true;
	});
	return {
		server, state, responses, socket, received,
	};
}

const complete = (response: ServerResponse, text: string) => response.writeHead(200, ['Content-Length', String(text.length)]).end(text);

// Guards against callers who keep their connections to an overloaded gateway, and against closing without notice.
test('the close policy is asked when the headers of a response are written', async () => {
	const {server, state, responses, socket, received} = await createFixture();
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(1);
	complete(responses[0]!, 'first');
	await expect.poll(() => received.text).toContain('first');
	expect(received.text.toLowerCase()).not.toContain('connection: close');
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(2);
	state.shouldClose = true;
	complete(responses[1]!, 'second');
	await expect.poll(() => received.hasEnded).toBe(true);
	expect(received.text.toLowerCase()).toContain('connection: close');
	expect(received.text.endsWith('second')).toBe(true);
	server.closeAllConnections();
});

// Guards against requests that cross the close of an idle connection: a caller uses it until the time announced has passed.
test('an idle connection stays open for longer than its caller is told', async () => {
	const {server, responses, socket, received} = await createFixture();
	server.setLimits({
		headerBytes: 1000, bodyBytes: 1000, headerTimeout: 5000, idleTimeout: 1000,
	});
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(1);
	complete(responses[0]!, 'first');
	await expect.poll(() => received.text).toContain('first');
	expect(received.text).toMatch(/^keep-alive: timeout=1\r$/imu);
	await wait(1200);
	expect(received.hasEnded).toBe(false);
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(2);
	complete(responses[1]!, 'second');
	await expect.poll(() => received.text).toContain('second');
	await expect.poll(() => received.hasEnded, {timeout: 4000}).toBe(true);
	server.closeAllConnections();
});

// Guards against a caller who is told to reuse a connection for 0 seconds, which some take as no limit.
test('no reuse is promised for an idle timeout of less than a second', async () => {
	const {server, responses, socket, received} = await createFixture();
	server.setLimits({
		headerBytes: 1000, bodyBytes: 1000, headerTimeout: 5000, idleTimeout: 999,
	});
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(1);
	complete(responses[0]!, 'first');
	await expect.poll(() => received.hasEnded).toBe(true);
	expect(received.text).toContain('first');
	expect(received.text).toMatch(/^connection: close\r$/imu);
	expect(received.text).not.toMatch(/^keep-alive:/imu);
	server.closeAllConnections();
});

// Guards against the loss of requests that a caller sent before it received a response with `connection: close`.
test('the close policy does not close the connection of a caller who pipelines', async () => {
	const {server, state, responses, socket, received} = await createFixture();
	state.shouldClose = true;
	socket.write(requestText + requestText);
	await expect.poll(() => responses.length).toBe(2);
	complete(responses[0]!, 'first');
	complete(responses[1]!, 'second');
	await expect.poll(() => received.text).toContain('second');
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(3);
	complete(responses[2]!, 'third');
	await expect.poll(() => received.text).toContain('third');
	expect(received.text.toLowerCase()).not.toContain('connection: close');
	server.closeAllConnections();
});

// Guards against a reset that discards the response: a connection that is closed with unread data is reset.
test('the close policy does not close a connection while the request is received', async () => {
	const {server, state, responses, socket, received} = await createFixture();
	state.shouldClose = true;
	socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 17000\r\n\r\n');
	await expect.poll(() => responses.length).toBe(1);
	complete(responses[0]!, 'refused');
	socket.write('x'.repeat(17_000));
	await expect.poll(() => received.text).toContain('refused');
	expect(received.text.toLowerCase()).not.toContain('connection: close');
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(2);
	complete(responses[1]!, 'served');
	await expect.poll(() => received.hasEnded).toBe(true);
	expect(received.text.endsWith('served')).toBe(true);
	server.closeAllConnections();
});

// Guards against a request that runs although its response will be discarded, which its caller may send again elsewhere.
test('a connection whose answered request is never received completely is closed, and one whose request is stays open', async () => {
	// Guards against connections that are kept for ever for the rest of a refused body.
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (_request, response) => {
		response.end('refused');
	});
	server.setLimits({
		headerBytes: 16_384, bodyBytes: 10_000, headerTimeout: 300, idleTimeout: 60_000,
	});
	const [stopping, late] = [await open(server.url), await open(server.url)];
	let text = '';
	late.on('data', data => {
		text += String(data);
	});
	stopping.resume();
	for (const socket of [stopping, late]) {
		socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello');
	}

	await expect.poll(() => text).toContain('refused');
	late.write('world');
	await once(stopping, 'close');
	late.write(requestText);
	await expect.poll(() => text.match(/refused/g)).toHaveLength(2);
	server.closeAllConnections();
});

test('a connection beyond the limit closes the one that has been idle for longest', async () => {
	// Guards against callers who are kept out by connections that send nothing.
	const evicted: string[] = [];
	const responses: ServerResponse[] = [];
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (request, response) => {
		if (request.url === '/wait') {
			responses.push(response);
		} else {
			response.end('served');
		}
	}, {
		maxConnections: 3,
		onEvict({reason}) {
			evicted.push(reason);
		},
	});
	const [busy, used, unused] = [await open(server.url), await open(server.url), await open(server.url)];
	busy.write('GET /wait HTTP/1.1\r\nHost: a\r\n\r\n');
	used.write(requestText);
	await once(used, 'data');
	unused.resume();
	const last = await open(server.url);
	await once(unused, 'close');
	last.write(requestText);
	expect(String(await once(last, 'data'))).toContain('served');
	used.resume();
	await open(server.url);
	await once(used, 'close');
	responses[0]!.end('served');
	expect(String(await once(busy, 'data'))).toContain('served');
	expect(evicted).toEqual(['too-many', 'too-many']);
	server.closeAllConnections();
});

test('a connection whose caller reads nothing is closed, and one whose caller reads slowly is not', {timeout: 20_000}, async () => {
	// Guards against connections that are kept for ever for answers that nobody reads.
	const answerBytes = 12_582_912;
	const evicted: string[] = [];
	const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (_request, response) => {
		for (let written = 0; written < answerBytes; written += 65_536) {
			response.write(new Uint8Array(65_536));
		}

		response.end();
	}, {
		unreadTimeoutMs: 1000,
		onEvict({reason}) {
			evicted.push(reason);
		},
	});
	const [unread, slow] = [await open(server.url), await open(server.url)];
	let received = 0;
	unread.pause();
	unread.on('error', () => undefined);
	unread.write(requestText);
	slow.on('data', data => {
		received += data.length;
		slow.pause();
		setTimeout(() => {
			slow.resume();
		}, 3);
	});
	slow.write(requestText);
	await expect.poll(() => received, {timeout: 15_000}).toBeGreaterThan(answerBytes);
	await expect.poll(() => evicted, {timeout: 5000}).toEqual(['unread']);
	expect(server.getStatistics().open).toBe(1);
	server.closeAllConnections();
});

test('a request that crosses a response with connection: close is not served', async () => {
	const {server, state, responses, socket, received} = await createFixture();
	state.shouldClose = true;
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(1);
	responses[0]!.writeHead(200, {'content-type': 'text/event-stream'});
	responses[0]!.write('data: first\n\n');
	await expect.poll(() => received.text).toContain('first');
	socket.write(requestText);
	await expect.poll(() => server.getStatistics().requests).toBe(2);
	responses[0]!.end('data: last\n\n');
	await expect.poll(() => received.hasEnded).toBe(true);
	expect(received.text).toContain('data: last');
	expect(received.text.endsWith('0\r\n\r\n')).toBe(true);
	expect(responses.length).toBe(1);
	server.closeAllConnections();
});

// Guards against an altered response: Node.js keeps one header of each name if some were set before the headers were written.
test.each(['policy', 'stop'])('a response with connection: close that is due to a %s keeps headers that occur twice', async cause => {
	const {server, state, responses, socket, received} = await createFixture();
	if (cause === 'stop') {
		server.requestConnectionClose();
	} else {
		state.shouldClose = true;
	}

	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(1);
	responses[0]!.writeHead(200, ['Set-Cookie', 'a=1', 'Set-Cookie', 'b=2', 'Vary', 'x', 'vary', 'y', 'Content-Length', '2']).end('ok');
	await expect.poll(() => received.hasEnded).toBe(true);
	const lines = received.text.toLowerCase().split('\r\n');
	expect(lines).toEqual(expect.arrayContaining(['connection: close', 'set-cookie: a=1', 'set-cookie: b=2', 'vary: x', 'vary: y', 'content-length: 2']));
	expect(lines.filter(line => line.startsWith('connection:'))).toEqual(['connection: close']);
	expect(received.text.endsWith('ok')).toBe(true);
	server.closeAllConnections();
});

test('the server counts the bytes of the busier direction of open and closed connections', async () => {
	const {server, responses, socket, received} = await createFixture();
	socket.write(requestText);
	await expect.poll(() => responses.length).toBe(1);
	complete(responses[0]!, 'x'.repeat(5000));
	await expect.poll(() => received.text.length).toBeGreaterThan(5000);
	expect(server.countBytes()).toBe(received.text.length);
	socket.destroy();
	await expect.poll(() => server.getStatistics().open).toBe(0);
	expect(server.countBytes()).toBe(received.text.length);
	server.closeAllConnections();
});

/** Starts two servers that answer with their name; the first relays connections to the second while a test says so. */
async function createRelayFixture() {
	const state = {shouldRelay: true};
	const answer = (name: string) => async (_request: unknown, response: ServerResponse) => {
		await nextTurn();
		response.end(name);
	};

	const first = await startCallerServer({host: '127.0.0.1', port: 0}, answer('first'));
	const second = await startCallerServer({host: '127.0.0.1', port: 0}, answer('second'));
	const address = await second.listenForRelayed({host: '127.0.0.1', port: 0});
	const recorders = {recordAccepted: () => undefined, recordRefused: () => undefined};
	first.setRelayPolicy({selectAddress: () => state.shouldRelay ? address : undefined, ...recorders});
	second.setRelayPolicy({selectAddress: () => address, ...recorders});
	return {
		state, first, second,
		close(): void {
			first.closeAllConnections();
			second.closeAllConnections();
		},
	};
}

test('a relayed connection is served by the other server and ends with its response', {timeout: 3000}, async () => {
	const {first, second, close} = await createRelayFixture();
	const socket = await open(first.url);
	const received = {text: ''};
	socket.on('data', data => {
		received.text += String(data);
	});
	const ended = once(socket, 'end');
	socket.write(requestText);
	await ended;
	expect(received.text.toLowerCase()).toContain('connection: close');
	expect(received.text.endsWith('second')).toBe(true);
	expect(second.getStatistics()).toMatchObject({requests: 1, relayed: 0});
	expect(first.getStatistics()).toMatchObject({requests: 0, relayed: 1});
	close();
});

test('a connection that is not relayed is served as before', {timeout: 3000}, async () => {
	const {state, first, close} = await createRelayFixture();
	state.shouldRelay = false;
	const response = await fetch(first.url);
	expect(await response.text()).toBe('first');
	expect(first.listRelayed()).toEqual([]);
	close();
});

// Guards against a server that accepts connections in order only when their callers have left, and so serves nobody.
test('waiting connections are closed unread once an abandoned one is accepted while the policy says so', {timeout: 5000}, async () => {
	const {state, first, close} = await createRelayFixture();
	state.shouldRelay = false;
	const leave = async () => {
		const socket = await open(first.url);
		socket.on('error', () => undefined);
		socket.end(requestText);
		socket.destroy();
	};

	await leave();
	await expect.poll(() => first.getStatistics().abandoned).toBe(1);
	expect(first.getStatistics().dropped).toBe(0);
	first.setDrainPolicy(() => true);
	await expect.poll(async () => {
		await Promise.all(Array.from({length: 20}, leave));
		return first.getStatistics().dropped;
	}).toBeGreaterThan(0);
	first.setDrainPolicy(() => false);
	await expect.poll(async () => {
		const response = await fetch(first.url);
		return response.text();
	}).toBe('first');
	close();
});
