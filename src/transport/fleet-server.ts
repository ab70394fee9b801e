/**
 * RPC server of a daemon for the other daemons of the fleet.
 *
 * @module
 */
import {createServer, type ServerHttp2Session} from 'node:http2';
import type {AddressInfo, Socket} from 'node:net';
import {
	Code, ConnectError, type ConnectRouter, type Interceptor,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {isSameSecret} from '../protocol/mod.js';
import type {ListenAddress} from './http-server.js';

/** Header that carries the fleet's key between daemons. */
export const fleetKeyHeader = 'x-fleet-key';

/** Options of {@linkcode startFleetServer}. */
export type StartFleetServerOptions = {
	readonly fleetKey: string;
	readonly routes: (router: ConnectRouter) => void;
	/** Called for each call without the fleet's key. */
	readonly onUnauthenticated: () => void;
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

/** @internal Rejects calls without the fleet's key. */
function createKeyVerifier(options: StartFleetServerOptions): Interceptor {
	return next => async request => {
		if (!isSameSecret(request.header.get(fleetKeyHeader) ?? '', options.fleetKey)) {
			options.onUnauthenticated();
			throw new ConnectError('The call carries no valid fleet key', Code.Unauthenticated);
		}

		return next(request);
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
	const sessions = new Set<ServerHttp2Session>();
	const sockets = new Set<Socket>();
	const server = createServer(connectNodeAdapter({routes: options.routes, interceptors: [createKeyVerifier(options)]}));
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
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
