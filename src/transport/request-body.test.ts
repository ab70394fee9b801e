import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {
	expect, onTestFinished, test,
} from 'vitest';
import {createBodyBuffer, readBody, type ReadBodyOptions} from './mod.js';

/** Sends the text on one connection and returns the request as the server receives it. */
async function receiveRequest(text: string) {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	onTestFinished(() => {
		socket.destroy();
		server.close();
	});
	const received = once(server, 'request') as Promise<[IncomingMessage]>;
	socket.write(text);
	const [request] = await received;
	return {request, socket};
}

const chunkedHead = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

async function readText(text: string, maxBytes: number, options?: ReadBodyOptions): Promise<string> {
	const {request} = await receiveRequest(text);
	const body = await readBody(request, maxBytes, options);
	return body.ok ? Buffer.from(body.val).toString() : body.val.type;
}

test('a body is read whole in any framing, also one of the largest size', async () => {
	expect(await readText('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello', 5)).toBe('hello');
	expect(await readText(`${chunkedHead}2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n`, 5)).toBe('hello');
	expect(await readText(`${chunkedHead}${[...'hello'].map(letter => `1\r\n${letter}\r\n`).join('')}0\r\n\r\n`, 5)).toBe('hello');
	expect(await readText('GET / HTTP/1.1\r\nHost: a\r\n\r\n', 5)).toBe('');
});

test('an oversized body is refused before its end', async () => {
	// Guards against a caller who waits for a refusal until a body that never ends has arrived.
	expect(await readText('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n', 5)).toBe('body-too-large');
	expect(await readText(`${chunkedHead}6\r\nhello!\r\n`, 5)).toBe('body-too-large');
});

test('a body that is no longer wanted is dropped and not counted, and the rest is discarded', async () => {
	// Guards against pieces that are collected after the request was refused.
	const {request, socket} = await receiveRequest(`${chunkedHead}5\r\nhello\r\n`);
	const controller = new AbortController();
	const counted: number[] = [];
	const holder = {
		set(bytes: number) {
			counted.push(bytes);
		},
	};
	const reading = readBody(request, 100, {signal: controller.signal, holder});
	await expect.poll(() => counted).toEqual([5]);
	controller.abort();
	const body = await reading;
	expect(body.err).toBe(true);
	socket.write('5\r\nworld\r\n0\r\n\r\n');
	await once(request, 'end');
	expect(counted).toEqual([5, 0]);
});

test('a body whose connection breaks is an error', async () => {
	const {request, socket} = await receiveRequest(`${chunkedHead}5\r\nhello\r\n`);
	const reading = readBody(request, 100);
	socket.destroy();
	await expect(reading).rejects.toThrow();
});

test('a buffer holds its bytes in whole blocks, also those of many pieces', () => {
	// Guards against an object for each of many short pieces.
	const buffer = createBodyBuffer();
	const sent = Array.from({length: 40_000}, (_, index) => index % 251);
	for (const byte of sent) {
		buffer.append(Uint8Array.of(byte));
	}

	expect([buffer.getSize(), buffer.countHeld()]).toEqual([40_000, 3 * 16_384]);
	expect([...buffer.take()]).toEqual(sent);
	expect([buffer.getSize(), buffer.countHeld()]).toEqual([0, 0]);
});

test('a buffer that uses the blocks of another returns its own bytes only', () => {
	// Guards against a body with bytes of another caller's.
	const dropped = createBodyBuffer();
	const taken = createBodyBuffer();
	for (let index = 0; index < 3; index += 1) {
		dropped.append(new Uint8Array(20_000).fill(1));
		taken.append(new Uint8Array(20_000).fill(2));
	}

	dropped.drop();
	const body = taken.take();
	const later = createBodyBuffer();
	later.append(Uint8Array.of(3));
	later.append(new Uint8Array(30_000).fill(3));
	expect(body.every(byte => byte === 2)).toBe(true);
	expect(later.take().every(byte => byte === 3)).toBe(true);
	expect(body.every(byte => byte === 2)).toBe(true);
});
