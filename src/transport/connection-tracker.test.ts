import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {expect, test} from 'vitest';
import {createConnectionTracker} from './connection-tracker.js';

async function startServer() {
	const server = createServer((request, response) => {
		tracker.trackRequest(request, response);
		response.end('whole');
	});
	const tracker = createConnectionTracker(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, tracker};
}

async function open(server: Server): Promise<Socket> {
	const accepted = once(server, 'connection');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await accepted;
	return socket;
}

test('a connection without requests is idle', async () => {
	const {server, tracker} = await startServer();
	const socket = await open(server);
	const closed = once(socket, 'close');
	expect(tracker.countOpen()).toBe(1);
	tracker.closeIdle();
	await closed;
	expect(tracker.countOpen()).toBe(0);
	server.close();
});

test('a connection is idle after its response but not while request headers are being received', async () => {
	// Idle connections are closed while a caller has sent only half of a request.
	// If its connection counts as idle, the remainder of the request is answered
	// by a connection reset.
	const {server, tracker} = await startServer();
	const socket = await open(server);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n');
	await waitForBytes(server, socket);
	tracker.closeIdle();
	socket.write('\r\n');
	const [response] = await once(socket, 'data') as [Uint8Array];
	expect(String(response)).toContain('whole');
	const closed = once(socket, 'close');
	tracker.closeIdle();
	await closed;
	expect(tracker.countOpen()).toBe(0);
	server.close();
});

// Waits until the server has read the bytes of the first connection: it answers a request on a second one only after that.
async function waitForBytes(server: Server, first: Socket): Promise<void> {
	expect(first.bytesWritten).toBeGreaterThan(0);
	const other = await open(server);
	other.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
	other.resume();
	await once(other, 'close');
}
