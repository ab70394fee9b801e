import {createServer, type RequestListener} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {platformWire} from '../../../platform/wire.js';
import {createUpstreamClient} from '../../transport/mod.js';
import {createStartReportClient} from '../mod.js';

async function fetchFrom(listener: RequestListener) {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = createUpstreamClient({connectTimeoutMs: 200, maxConnections: 4});
	try {
		return await createStartReportClient({client, wire: platformWire})(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	} finally {
		await client.close();
		server.closeAllConnections();
		server.close();
	}
}

const respond = async (status: number, text: string) => fetchFrom((_request, response) => {
	response.statusCode = status;
	response.end(text);
});

test('a report is read only if it names a start', async () => {
	// Guards against a malformed report that is taken for a start or ends the gateway.
	expect(await respond(200, '{"born":1765000000123,"seq":3}')).toEqual({kind: 'read', startedAt: 1_765_000_000_123});
	expect(await respond(200, '{"seq":3}')).toEqual({kind: 'absent'});
	for (const text of ['', 'null', '[]', '{"born":"1"}', '{"born":1.5}', '{"born":1e400}', 'x'.repeat(300_000)]) {
		expect(await respond(200, text)).toEqual({kind: 'unanswered'});
	}
});

test('only a status that says that there is no report counts as one', async () => {
	// Guards against an upstream that is overloaded or starting, whose answers are believed without a check.
	for (const status of [404, 405, 501]) {
		expect(await respond(status, '')).toEqual({kind: 'absent'});
	}

	for (const status of [204, 302, 400, 421, 429, 500, 502, 503, 504]) {
		expect(await respond(status, '{"seq":3}')).toEqual({kind: 'unanswered'});
	}
});

test('a report that is cut, refused or late is unanswered', async () => {
	expect(await fetchFrom((_request, response) => {
		response.write('{"born":');
		response.destroy();
	})).toEqual({kind: 'unanswered'});
	expect(await fetchFrom(() => undefined)).toEqual({kind: 'unanswered'});
});

test('a report whose first connection is reset is read on the next one', async () => {
	// Guards against an upstream that resets connections beyond its limit.
	let requests = 0;
	expect(await fetchFrom((request, response) => {
		requests += 1;
		if (requests === 1) {
			request.socket.resetAndDestroy();
			return;
		}

		response.end('{"born":7}');
	})).toEqual({kind: 'read', startedAt: 7});
});
