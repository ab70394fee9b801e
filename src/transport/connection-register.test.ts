import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {expect, test} from 'vitest';
import {createConnectionRegister} from './connection-register.js';

async function startServer() {
	const server = createServer((request, response) => {
		connections.noteRequest(request, response);
		response.end('whole');
	});
	const connections = createConnectionRegister(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, connections};
}

async function open(server: Server): Promise<Socket> {
	const accepted = once(server, 'connection');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await accepted;
	return socket;
}

test('a connection that carried nothing is idle', async () => {
	const {server, connections} = await startServer();
	const socket = await open(server);
	const closed = once(socket, 'close');
	expect(connections.count()).toBe(1);
	connections.closeIdle();
	await closed;
	expect(connections.count()).toBe(0);
	server.close();
});

test('a connection is idle after its answer and not in the middle of a head', async () => {
	// A caller has sent half of a request when idle connections are closed, and
	// loses it; the rest of the request finds a reset connection.
	const {server, connections} = await startServer();
	const socket = await open(server);
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n');
	await waitForBytes(server, socket);
	connections.closeIdle();
	socket.write('\r\n');
	const [answer] = await once(socket, 'data') as [Uint8Array];
	expect(String(answer)).toContain('whole');
	const closed = once(socket, 'close');
	connections.closeIdle();
	await closed;
	expect(connections.count()).toBe(0);
	server.close();
});

// A second connection's request is answered after the first one's bytes were read.
async function waitForBytes(server: Server, first: Socket): Promise<void> {
	expect(first.bytesWritten).toBeGreaterThan(0);
	const other = await open(server);
	other.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
	other.resume();
	await once(other, 'close');
}
