import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
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
