import {once} from 'node:events';
import {
	connect, constants, createServer, type ClientHttp2Session, type Http2ServerRequest,
} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {createByteLimits} from './byte-limits.js';
import {createSessionTracker} from './session-tracker.js';

const maxHeldBytes = 100_000;
/** Below the limit on unread bytes by flow control, so that all are received. */
const largeBytes = 60_000;

async function createFixture(maxSessions: number) {
	const limits = createByteLimits({maxHeldBytes});
	const evictions: number[] = [];
	const received: Http2ServerRequest[] = [];
	const tracker = createSessionTracker({
		limits, maxSessions,
		onEvict() {
			evictions.push(1);
		},
	});
	const server = createServer({
		Http2ServerRequest: tracker.requestClass, // eslint-disable-line @typescript-eslint/naming-convention
	}, (request, response) => {
		received.push(request);
		request.resume();
		request.once('end', () => {
			if (request.url !== '/wait') {
				response.end('served');
			}
		});
		request.on('error', () => undefined);
	});
	server.on('session', tracker.track);
	server.on('sessionError', () => undefined);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const sessions: ClientHttp2Session[] = [];
	return {
		limits, evictions, received, tracker,

		async open(): Promise<ClientHttp2Session> {
			const session = connect(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
			session.on('error', () => undefined);
			sessions.push(session);
			await once(session, 'remoteSettings');
			return session;
		},

		close(): void {
			for (const session of sessions) {
				session.destroy();
			}

			server.close();
		},
	};
}

function call(session: ClientHttp2Session, path = '/') {
	const stream = session.request({[constants.HTTP2_HEADER_METHOD]: 'POST', [constants.HTTP2_HEADER_PATH]: path});
	stream.on('error', () => undefined);
	return stream;
}

test('the connection whose calls hold most is closed, and others are served', {timeout: 5000}, async () => {
	// Guards against bodies without end that take all memory.
	const fixture = await createFixture(10);
	const [first, second, other] = [await fixture.open(), await fixture.open(), await fixture.open()];
	const closed = Promise.race([once(first, 'close'), once(second, 'close')]);
	for (const session of [first, second]) {
		call(session).write(new Uint8Array(largeBytes));
	}

	await closed;
	expect([first, second].filter(({destroyed}) => destroyed).length).toBe(1);
	const served = call(other);
	served.end('body');
	expect(String(await once(served, 'data'))).toBe('served');
	expect(fixture.limits.countHeld()).toBeLessThanOrEqual(maxHeldBytes);
	fixture.close();
});

test('what a call holds is given back at its end', {timeout: 5000}, async () => {
	// Guards against an account that fills up with calls that have ended.
	const fixture = await createFixture(10);
	const session = await fixture.open();
	const served = call(session);
	served.end(new Uint8Array(largeBytes));
	served.resume();
	await once(served, 'close');
	await expect.poll(() => fixture.limits.countHeld()).toBe(0);
	expect(fixture.limits.countMaxHeld()).toBeGreaterThan(largeBytes);
	fixture.close();
});

test('beyond the limit the connection is closed that has been without a call for longest', {timeout: 5000}, async () => {
	// Guards against descriptors that run out, and against closing a connection whose call is being served.
	const fixture = await createFixture(2);
	const busy = await fixture.open();
	call(busy, '/wait').end();
	await expect.poll(() => fixture.received[0]?.readableEnded).toBe(true);
	const unused = await fixture.open();
	const closed = once(unused, 'close');
	const last = await fixture.open();
	await closed;
	expect(fixture.evictions.length).toBe(1);
	expect([busy, last].map(({destroyed}) => destroyed)).toEqual([false, false]);
	expect(fixture.tracker.count()).toBe(2);
	fixture.close();
});

test('a connection whose call was cancelled before its end serves no call', {timeout: 5000}, async () => {
	// Guards against connections that can never be closed because a call is taken to be in service.
	const fixture = await createFixture(1);
	const first = await fixture.open();
	const cancelled = call(first);
	cancelled.write('body');
	await expect.poll(() => fixture.limits.countHeld()).toBeGreaterThan(0);
	cancelled.close(constants.NGHTTP2_CANCEL);
	await expect.poll(() => fixture.limits.countHeld()).toBe(0);
	const closed = once(first, 'close');
	await fixture.open();
	await closed;
	expect(fixture.tracker.count()).toBe(1);
	fixture.close();
});

test('a body that is received completely is no longer counted while its call is served', {timeout: 5000}, async () => {
	// Guards against a peer that is cut off because it has many long calls in service.
	const fixture = await createFixture(1);
	const session = await fixture.open();
	for (let sent = 0; sent < 4; sent += 1) {
		call(session, '/wait').end(new Uint8Array(largeBytes));
		await expect.poll(() => fixture.received[sent]?.readableEnded).toBe(true);
	}

	expect(session.destroyed).toBe(false);
	expect(fixture.limits.countHeld()).toBeLessThan(largeBytes);
	fixture.close();
});
