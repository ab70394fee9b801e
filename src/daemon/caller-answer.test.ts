import type {ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {expect, test} from 'vitest';
import type {GatewayWire} from '../protocol/mod.js';
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
