import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {probeAddress} from './mod.js';

test('probeAddress() distinguishes a listening process from one that has exited', async () => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	expect(await probeAddress(address, {timeoutMs: 1000})).toBe('open');
	server.close();
	await once(server, 'close');
	expect(await probeAddress(address, {timeoutMs: 1000})).toBe('refused');
});
