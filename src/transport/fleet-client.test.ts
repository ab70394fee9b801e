import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {constants, createServer, type ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {afterEach, expect, test} from 'vitest';

const closers: Array<() => void> = [];
/** Milliseconds for what takes a tenth of it; a process that spins also fills the memory. */
const bound = 5000;

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts a peer that does something with each connection. */
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

/** Calls a peer in a process of its own, since one that spins cannot be ended from within; each call that fails abandons the connection. */
async function callInProcess(address: string, {lanes, rounds}: {lanes: number; rounds: number}): Promise<string> {
	const module = pathToFileURL('dist/src/transport/mod.js').href;
	const script = `
		const {createFleetClient} = await import('${module}');
		const fleet = createFleetClient('key-of-the-fleet-000');
		let failed = 0;
		for (let round = 0; round < ${rounds}; round += 1) {
			await Promise.all(Array.from({length: ${lanes}}, async () => {
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
	let told = '';
	const keep = (data: Uint8Array) => {
		told += String(data);
	};

	child.stdout.on('data', keep);
	child.stderr.on('data', keep);
	const timer = setTimeout(() => {
		told += 'still running';
		child.kill('SIGKILL');
	}, bound);
	await once(child, 'close');
	clearTimeout(timer);
	return told;
}

test('a connection abandoned while its peer ends it leaves the process running', async () => {
	// A gateway stands still and fills its memory, and no signal but SIGKILL
	// ends it: its peer stopped with two calls on the connection, the first to
	// fail destroyed the session while nghttp2 was still ending its streams,
	// and Node.js then sends empty frames of the second without end.
	const address = await serve(session => {
		session.destroy();
	});
	expect(await callInProcess(address, {lanes: 2, rounds: 20})).toBe('ended 40');
});

test('a connection abandoned just as its peer leaves it ends no process', async () => {
	// A gateway ends by itself: a call had failed, its peer said in the same
	// moment that it leaves, and the library, told to abandon a session that
	// it was destroying for that, no longer listened for its error.
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
	expect(await callInProcess(address, {lanes: 1, rounds: 200})).toBe('ended 200');
});
