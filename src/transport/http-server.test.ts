import {once} from 'node:events';
import {connect} from 'node:net';
import {expect, test} from 'vitest';
import {startHttpServer, waitUntilSent} from './http-server.js';

// An entry takes its full bound to stop and says that it cut a request: a
// caller had pipelined two and left. The second one's answer waited behind the
// first one's and is told nothing of the connection's end.
test('waitUntilSent() ends when the connection closes before a pipelined answer had its turn', {timeout: 3000}, async () => {
	let end: () => void = () => undefined;
	const ended = new Promise<void>(resolve => {
		end = resolve;
	});
	const server = await startHttpServer({host: '127.0.0.1', port: 0}, service => {
		service.get('/first', () => undefined);
		service.get('/second', async (request, response) => {
			response.end('ok');
			const sent = waitUntilSent(request, response);
			socket.destroy();
			await sent;
			end();
		});
	});
	const {port, hostname} = new URL(server.url);
	const socket = connect(Number(port), hostname);
	await once(socket, 'connect');
	socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n');
	await ended;
	await server.close();
	expect(socket.destroyed).toBe(true);
});
