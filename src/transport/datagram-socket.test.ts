import {setTimeout as wait} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {openDatagramSocket} from './mod.js';

const loopback = {host: '127.0.0.1', port: 0};

async function openCountingSocket(fleetKey: string) {
	const messages: string[] = [];
	const counts = {refused: 0, lost: 0};
	const socket = await openDatagramSocket(loopback, {
		fleetKey,
		onMessage(message) {
			messages.push(new TextDecoder().decode(message));
		},
		onUnauthenticated() {
			counts.refused += 1;
		},
		onSendError() {
			counts.lost += 1;
		},
	});
	return {socket, messages, counts};
}

test.each(['key', ''])('a message with the key "%s" is delivered to each address', async key => {
	const sender = await openCountingSocket(key);
	const receivers = [await openCountingSocket(key), await openCountingSocket(key)];
	sender.socket.send(new TextEncoder().encode('news'), receivers.map(({socket}) => socket.address));
	await wait(100);
	expect(receivers.map(({messages}) => messages)).toEqual([['news'], ['news']]);
	for (const {socket} of [sender, ...receivers]) {
		socket.close();
	}
});

// Guards against gossip forged by a process outside the fleet.
test('a message with another key is refused', async () => {
	const sender = await openCountingSocket('another key');
	const receiver = await openCountingSocket('key');
	sender.socket.send(new TextEncoder().encode('news'), [receiver.socket.address]);
	await wait(100);
	expect(receiver.messages).toEqual([]);
	expect(receiver.counts.refused).toBe(1);
	sender.socket.close();
	receiver.socket.close();
});

// Guards against a crash of the process by a send that coincides with the closing of the socket.
test('send() on a closed socket does nothing and does not throw', async () => {
	const {socket} = await openCountingSocket('key');
	socket.close();
	expect(() => {
		socket.send(new Uint8Array([1]), ['127.0.0.1:9']);
	}).not.toThrow();
});

test('a message to an address that is no address is lost, and the others are delivered', async () => {
	// Guards against a process that ends because of an address that another process wrote.
	const sender = await openCountingSocket('key');
	const receiver = await openCountingSocket('key');
	sender.socket.send(new TextEncoder().encode('news'), ['', 'h', '127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:port', receiver.socket.address]);
	await wait(100);
	expect(receiver.messages).toEqual(['news']);
	expect(sender.counts.lost).toBeGreaterThanOrEqual(4);
	sender.socket.close();
	receiver.socket.close();
});
