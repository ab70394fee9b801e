import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {constants, createServer, type ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {afterEach, expect, test} from 'vitest';
import {createFleetClient} from './mod.js';

const closers: Array<() => void> = [];
/** Several times what a run takes. A process in an endless loop also fills its memory, so it is killed after this time. */
const processTimeoutMs = 5000;

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts a peer that calls `onSession` for each connection. */
async function serve(onSession: (session: ServerHttp2Session) => void): Promise<string> {
	const server = createServer();
	server.on('session', session => {
		session.on('error', () => undefined);
		onSession(session);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	closers.push(() => server.close());
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/**
 * Calls a peer from a separate process, since a process in an endless loop cannot end itself. Each call that fails abandons
 * the connection. Returns the output of the process.
 */
async function callInProcess(address: string, {concurrency, rounds}: {concurrency: number; rounds: number}): Promise<string> {
	const module = pathToFileURL('dist/src/transport/mod.js').href;
	const script = `
		const {createFleetClient} = await import('${module}');
		const fleet = createFleetClient('key-of-the-fleet-000');
		let failed = 0;
		for (let round = 0; round < ${rounds}; round += 1) {
			await Promise.all(Array.from({length: ${concurrency}}, async () => {
				const connection = fleet.connect('${address}');
				try {
					await connection.relay.readNewest({log: 'grants'}, {timeoutMs: 1000});
				} catch {
					failed += 1;
					connection.abandon();
				}
			}));
		}
		process.stdout.write('ended ' + failed);
		process.exit();
	`;
	const child = spawn(process.execPath, ['--input-type=module', '--eval', script], {stdio: ['ignore', 'pipe', 'pipe']});
	let output = '';
	const appendOutput = (data: Uint8Array) => {
		output += String(data);
	};

	child.stdout.on('data', appendOutput);
	child.stderr.on('data', appendOutput);
	const timer = setTimeout(() => {
		output += 'still running';
		child.kill('SIGKILL');
	}, processTimeoutMs);
	await once(child, 'close');
	clearTimeout(timer);
	return output;
}

test('abandoning a connection that the peer is closing does not stall the process', async () => {
	// A peer stops while two calls run on the connection. The first call to fail
	// destroys the session while nghttp2 is still ending its streams, and Node.js
	// then sends empty frames for the second one in an endless loop: the process
	// stalls, fills its memory and can only be ended by SIGKILL.
	const address = await serve(session => {
		session.destroy();
	});
	expect(await callInProcess(address, {concurrency: 2, rounds: 20})).toBe('ended 40');
});

test('abandoning a connection right after the peer has closed it does not crash the process', async () => {
	// A call fails, and the peer sends GOAWAY at the same moment. Connect is
	// already destroying the session when the connection is abandoned, and no longer
	// listens for its error, which terminates the process.
	const address = await serve(session => {
		session.on('stream', stream => {
			stream.on('error', () => undefined);
			stream.respond({[constants.HTTP2_HEADER_STATUS]: 503});
			stream.end();
			setTimeout(() => {
				session.close();
			}, 1);
		});
	});
	expect(await callInProcess(address, {concurrency: 1, rounds: 200})).toBe('ended 200');
});

test.each(['', 'h', 'h:0', 'h:65536', 'h:port', 'a b:1', 'h:1/path', 'u@h:1', '[::1', '\u0000:1'])('a call to "%s" fails as one to a host that is gone', async address => {
	// Guards against a process that ends because of an address that another process wrote.
	const fleet = createFleetClient('key-of-the-fleet-000');
	const connection = fleet.connect(address);
	await expect(connection.relay.readNewest({log: 'grants'}, {timeoutMs: 1000})).rejects.toThrow();
	expect(() => {
		connection.abandon();
		fleet.connect(address).abandon();
		fleet.close();
	}).not.toThrow();
});
