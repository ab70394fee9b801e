/**
 * A crowd of callers, in a process of its own: each opens one connection, sends one request with many headers, reads the
 * whole answer and keeps its connection open. Arguments: port, connections, headers, bytes of each value, key.
 */
import {connect} from 'node:net';
import process from 'node:process';

const [port, connections, headers, valueBytes, path, key, body] = process.argv.slice(2);
const lines = Array.from({length: Number(headers)}, (_, index) => `h${String(index).padStart(4, '0')}: ${'x'.repeat(Number(valueBytes))}\r\n`).join('');
let opened = 0;
let answered = 0;
let closed = 0;
const statuses = new Map();

function open(index) {
	const socket = connect({host: '127.0.0.1', port: Number(port)});
	socket.on('connect', () => {
		opened += 1;
		const length = body === 'unfinished' ? 'Content-Length: 10\r\n' : '';
		socket.write(`${body === 'unfinished' ? 'POST' : 'GET'} ${path} HTTP/1.1\r\nHost: callers.example\r\nFireflylane-Attempt-Id: crowd-${index}\r\n${key ? `Authorization: Bearer ${key}\r\n` : ''}${length}${lines}\r\n`);
	});
	socket.once('data', data => {
		answered += 1;
		const status = data.toString('latin1').slice(9, 12);
		statuses.set(status, (statuses.get(status) ?? 0) + 1);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		closed += 1;
	});
}

let next = 0;
const timer = setInterval(() => {
	for (let count = 0; count < 10 && next < Number(connections); count += 1) {
		open(next);
		next += 1;
	}

	if (next >= Number(connections)) {
		clearInterval(timer);
	}
}, 100);
setInterval(() => {
	process.stdout.write(`${JSON.stringify({
		opened, answered, closed, statuses: Object.fromEntries(statuses),
	})}\n`);
}, 500);
process.on('disconnect', () => process.exit(0));
