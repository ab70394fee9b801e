/**
 * RPC server of a daemon for the other daemons of the fleet.
 *
 * @module
 */
import {
	constants, createServer, type Http2ServerRequest, type Http2ServerResponse, type Http2Session, type ServerHttp2Session,
} from 'node:http2';
import type {AddressInfo, Socket} from 'node:net';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {isSameSecret} from '../protocol/mod.js';
import {createByteLimits, type ByteLimits} from './byte-limits.js';
import type {ListenAddress} from './http-server.js';
import {createSessionTracker} from './session-tracker.js';

/** Header that carries the fleet's key between daemons. */
export const fleetKeyHeader = 'x-fleet-key';

/** Options of {@linkcode startFleetServer}. */
export type StartFleetServerOptions = {
	readonly fleetKey: string;
	readonly routes: (router: ConnectRouter) => void;
	/** Called for each connection that is closed because of a call without the fleet's key. */
	readonly onUnauthenticated: () => void;
	/** Account of the calls that are received and served; by default one of its own. */
	readonly requestLimits?: Pick<ByteLimits, 'openHolder'>;
	/** Called for each connection that is closed because there are too many. */
	readonly onEvict?: () => void;
};

/** A running fleet server. */
export type FleetServer = {
	/** IP address and port. */
	readonly address: string;
	/** Refuses new calls, gives running ones a limited time to finish, and closes the connections. */
	readonly close: () => Promise<void>;
};

/**
 * How long `close` waits for running calls: many times the network latency
 * between two failure domains, and short compared with the time limit of a stop.
 */
const closeTimeoutMs = 300;
/** Each of a few hundred daemons has one connection to another. */
const maxSessions = 256;

type ServeCall = (request: Http2ServerRequest, response: Http2ServerResponse) => void;

/**
 * @internal Refuses a call and closes its connection once the answer is sent. Further calls on the connection are not
 * answered: many can have been received at once.
 */
function refuseCall({stream}: Http2ServerRequest): void {
	const {session} = stream;
	stream.respond({[constants.HTTP2_HEADER_STATUS]: constants.HTTP_STATUS_UNAUTHORIZED}, {endStream: true});
	stream.once('close', () => {
		session?.destroy();
	});
	stream.close();
}

/**
 * @internal Serves calls with the fleet's key. The others are refused before their body is read: the library reads a body
 * to its end before it calls an interceptor.
 */
function requireKey(serve: ServeCall, {fleetKey, onUnauthenticated}: Pick<StartFleetServerOptions, 'fleetKey' | 'onUnauthenticated'>): ServeCall {
	const refused = new WeakSet<Http2Session>();
	return (request, response) => {
		const {session} = request.stream;
		if (!session || session.destroyed || refused.has(session)) {
			request.stream.close();
			return;
		}

		if (isSameSecret(String(request.headers[fleetKeyHeader] ?? ''), fleetKey)) {
			serve(request, response);
			return;
		}

		refused.add(session);
		onUnauthenticated();
		refuseCall(request);
	};
}

/**
 * Starts the RPC server of a daemon.
 *
 * @example
 * ```ts
 * const server = await startFleetServer({host: '127.0.0.1', port: 0}, {fleetKey, routes, onUnauthenticated});
 * ```
 *
 * @param listenAddress Where to listen
 * @param options The fleet's key and the services
 * @returns The running server
 * @throws {Error} If the server cannot listen on the address
 */
export async function startFleetServer(listenAddress: ListenAddress, options: StartFleetServerOptions): Promise<FleetServer> {
	const {requestLimits = createByteLimits(), onEvict = () => undefined} = options;
	const sessions = new Set<ServerHttp2Session>();
	const sockets = new Set<Socket>();
	const tracker = createSessionTracker({limits: requestLimits, maxSessions, onEvict});
	const server = createServer({
		Http2ServerRequest: tracker.requestClass, // eslint-disable-line @typescript-eslint/naming-convention
	}, requireKey(connectNodeAdapter({routes: options.routes}), options));
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	server.on('session', tracker.track);
	server.on('session', session => {
		sessions.add(session);
		session.on('close', () => {
			sessions.delete(session);
		});
		// Emitted when a peer resets its connection. The calls on it fail by themselves, but without a listener the event
		// would terminate the process.
		session.on('error', () => {
			session.destroy();
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(listenAddress.port, listenAddress.host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		address: `${listenAddress.host.includes(':') ? `[${listenAddress.host}]` : listenAddress.host}:${port}`,
		async close() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			// Closing a session, unlike destroying it, lets its calls finish. Destroying it would lose unfinished responses
			// and frames held back by flow control: a peer that read 100 frames of 8 kB lost the last ones.
			for (const session of sessions) {
				session.close();
			}

			// Destroys the sockets, not the sessions: a closed session, even if destroyed, waits for its peer to close the
			// connection.
			const timer = setTimeout(() => {
				for (const socket of sockets) {
					socket.destroy();
				}
			}, closeTimeoutMs);
			await closed;
			clearTimeout(timer);
		},
	};
}
