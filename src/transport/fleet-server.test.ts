import {once} from 'node:events';
import {connect as connectHttp2, constants} from 'node:http2';
import {connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {Code} from '@connectrpc/connect';
import {expect, test} from 'vitest';
import {Upstream} from '../protocol/mod.js';
import {createFleetClient} from './fleet-client.js';
import {startFleetServer} from './fleet-server.js';

const fleetKey = 'fleet-key';
const answerDelayMs = 100;
const frameBytes = 8000;
/** All frames together exceed what the client and flow control accept unread. */
const frameCount = 100;

async function startServer(onStreamed: () => void) {
	return startFleetServer({host: '127.0.0.1', port: 0}, {
		fleetKey,
		onUnauthenticated: () => undefined,
		routes(router) {
			router.service(Upstream, {
				async fence() {
					await wait(answerDelayMs);
					return {state: 'done', billed: []};
				},
				async * run() {
					for (let sent = 0; sent < frameCount; sent++) {
						yield {body: {case: 'chunk', value: new Uint8Array(frameBytes)}};
					}

					onStreamed();
				},
			});
		},
	});
}

// On a planned stop, a running call of a peer fails because the connection is
// destroyed before the response has been sent.
test('close() answers a call that was received before it', {timeout: 5000}, async () => {
	const server = await startServer(() => undefined);
	const client = createFleetClient(fleetKey);
	const reply = client.connect(server.address).upstream.fence({requestId: 'r-1', attempt: 1, from: 'entry-1'}, {timeoutMs: 2000});
	await wait(answerDelayMs / 2);
	const closed = server.close();
	const {state} = await reply;
	await closed;
	client.close();
	expect(state).toBe('done');
});

// On a planned stop, a caller's stream loses its last frames: the upstream daemon
// has produced all of them, but flow control holds them back until the entry
// daemon, which reads more slowly, has read the earlier ones.
test('close() sends the frames that flow control holds back', {timeout: 5000}, async () => {
	let closed: Promise<void> | undefined;
	const server = await startServer(() => {
		closed = server.close();
	});
	const client = createFleetClient(fleetKey);
	let frames = 0;
	for await (const _frame of client.connect(server.address).upstream.run({requestId: 'r-1', attempt: 1})) {
		frames += 1;
		await wait(1);
	}

	await closed;
	client.close();
	expect(frames).toBe(frameCount);
});

// A planned stop hangs because a peer keeps its side of the connection open after
// the server has closed its own.
test('close() finishes although a peer keeps its side of the connection open', {timeout: 5000}, async () => {
	const server = await startServer(() => undefined);
	const [host, port] = server.address.split(':');
	const socket = connect({host, port: Number(port), allowHalfOpen: true});
	await once(socket, 'connect');
	socket.write('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');
	// An empty SETTINGS frame.
	socket.write(new Uint8Array([0, 0, 0, 4, 0, 0, 0, 0, 0]));
	await once(socket, 'data');
	await server.close();
	socket.destroy();
	expect(socket.destroyed).toBe(true);
});

test('a call without the fleet key fails as unauthenticated', {timeout: 5000}, async () => {
	// Guards against peers with a wrong key that look like peers that are lost.
	const server = await startServer(() => undefined);
	const client = createFleetClient('another-key');
	await expect(client.connect(server.address).upstream.fence({requestId: 'r-1', attempt: 1, from: 'entry-1'}, {timeoutMs: 2000})).rejects.toMatchObject({code: Code.Unauthenticated});
	client.close();
	await server.close();
});

test('the body of a call without the fleet key is not read', {timeout: 5000}, async () => {
	// Guards against memory that anybody who reaches the address can fill.
	const server = await startServer(() => undefined);
	const session = connectHttp2(`http://${server.address}`);
	session.on('error', () => undefined);
	const call = session.request({[constants.HTTP2_HEADER_METHOD]: 'POST', [constants.HTTP2_HEADER_PATH]: '/fireflylane.Upstream/Fence', 'content-type': 'application/proto'});
	call.on('error', () => undefined);
	call.write(new Uint8Array(10_000_000));
	const [headers] = await once(call, 'response') as [Record<string, unknown>];
	await once(session, 'close');
	expect(headers[constants.HTTP2_HEADER_STATUS]).toBe(401);
	await server.close();
});
