import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {expect, test} from 'vitest';
import {createFailure, type GatewayWire} from '../protocol/mod.js';
import {createCallerAnswer} from './caller-answer.js';

test('writes that wait for a slow reader remove their listeners', async () => {
	// Guards against a memory leak in gateways: each wait for a caller that reads
	// slowly left two listeners on the response.
	const response = Object.assign(new PassThrough(), {
		write() {
			setImmediate(() => response.emit('drain'));
			return false;
		},
	});
	const answer = createCallerAnswer(response as unknown as ServerResponse, {} as GatewayWire);
	for (let round = 0; round < 30; round += 1) {
		await answer.write(new Uint8Array(1));
	}

	expect(['drain', 'close', 'error'].map(name => response.listenerCount(name))).toEqual([0, 0, 0]);
});

test('the length of a refusal counts bytes', async () => {
	// Guards against a refusal that is truncated, and whose end the caller takes for the next response on its connection:
	// the detail can contain the host name that the caller sent.
	const detail = 'No route matches host "caf\u00E9"';
	const server = createServer((_request, response) => {
		createCallerAnswer(response, {} as GatewayWire).refuse(createFailure('unknown-route', detail));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const response = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	await expect(response.json()).resolves.toHaveProperty('detail', detail);
	server.close();
	server.closeAllConnections();
});
