import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect as connectHttp2, constants, createServer as createHttp2Server} from 'node:http2';
import {
	connect, createServer as createTcpServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect, test} from 'vitest';
import {startSocketCounters} from './socket-counters.js';

const sentBytes = 20_000;

async function listen(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Both ends of each connection are in this process, so each byte is sent once and received once.
function expectExchange({receivedBytes, sentBytes: sent}: {readonly receivedBytes: number; readonly sentBytes: number}): void {
	expect(receivedBytes).toBeGreaterThan(sentBytes);
	expect(receivedBytes).toBeLessThan(sentBytes * 1.1);
	expect(sent).toBeGreaterThan(sentBytes);
	expect(sent).toBeLessThan(sentBytes * 1.1);
}

// Guards against a meter that misses the connections of a library: callers use HTTP/1.1, upstreams undici, peers HTTP/2.
test('the counters count HTTP connections, open and closed', async () => {
	const counters = startSocketCounters();
	const server = createServer((request: IncomingMessage, response: ServerResponse) => {
		request.resume().on('end', () => response.end());
	});
	const url = await listen(server);
	const response = await fetch(url, {method: 'POST', body: 'y'.repeat(sentBytes)});
	await response.arrayBuffer();
	expectExchange(counters.read());
	server.close();
	server.closeAllConnections();
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	expectExchange(counters.read());
	counters.stop();
});

test('the counters count HTTP/2 connections', async () => {
	const counters = startSocketCounters();
	const server = createHttp2Server((request, response) => {
		request.resume().on('end', () => response.end());
	});
	const session = connectHttp2(await listen(server));
	const stream = session.request({[constants.HTTP2_HEADER_METHOD]: 'POST'});
	stream.end('y'.repeat(sentBytes));
	await once(stream.resume(), 'end');
	expectExchange(counters.read());
	session.close();
	server.close();
	counters.stop();
});

// Guards against a load that no link carried: a caller that leaves during a long response took a gateway out of rotation.
test('bytes that wait when their connection is destroyed are not counted as sent', async () => {
	const counters = startSocketCounters();
	const writtenBytes = 64_000_000;
	let accepted: Socket | undefined;
	const server = createTcpServer(socket => {
		accepted = socket;
		socket.write(Buffer.alloc(writtenBytes));
	});
	const {port} = new URL(await listen(server));
	const caller = connect(Number(port), '127.0.0.1').pause();
	await expect.poll(() => accepted?.writableLength).toBe(writtenBytes);
	const before = counters.read().sentBytes;
	accepted!.destroy();
	await once(accepted!, 'close');
	expect(counters.read().sentBytes).toBe(before);
	caller.destroy();
	server.close();
	counters.stop();
});
