import {once} from 'node:events';
import {connect} from 'node:net';
import {expect, test} from 'vitest';
import {startHttpServer, waitUntilSent} from './http-server.js';

// A caller pipelines two requests and disconnects. The second response is queued
// behind the first and gets no event when the connection closes, so an entry
// daemon that is stopping waits for its full time limit and reports an aborted request.
test('waitUntilSent() returns when the connection closes before a pipelined response was sent', {timeout: 3000}, async () => {
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

test('beyond the limit on connections the one idle for longest is closed', {timeout: 5000}, async () => {
	// Guards against descriptors that run out through connections on which nothing is sent.
	const evictions: number[] = [];
	const server = await startHttpServer({host: '127.0.0.1', port: 0}, service => {
		service.get('/', (_request, response) => {
			response.end('served');
		});
	}, {
		maxConnections: 2,
		onEvict() {
			evictions.push(1);
		},
	});
	const {port, hostname} = new URL(server.url);
	const sockets = Array.from({length: 2}, () => connect(Number(port), hostname));
	await Promise.all(sockets.map(async socket => once(socket, 'connect')));
	const closed = Promise.race(sockets.map(async socket => once(socket.resume(), 'close')));
	const last = connect(Number(port), hostname);
	last.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	expect(String(await once(last, 'data'))).toContain('served');
	await closed;
	expect(evictions).toEqual([1]);
	server.closeAllConnections();
});
