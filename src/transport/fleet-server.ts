/**
 * The server that daemons of the fleet answer each other on.
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
	readonly onRefused: () => void;
};

/** A running fleet server. */
export type FleetServer = {
	/** IP number and port. */
	readonly address: string;
	/** Takes no new calls, lets those that it has taken end within a bound, and closes the connections. */
	readonly close: () => Promise<void>;
};

/**
 * How long calls may take to end when the server closes, in milliseconds: many
 * times the way between two failure domains, and short beside every stop.
 */
const closeBound = 300;

/** @internal */
function createKeyCheck(options: StartFleetServerOptions): Interceptor {
	return next => async request => {
		if (!isSameSecret(request.header.get(fleetKeyHeader) ?? '', options.fleetKey)) {
			options.onRefused();
			throw new ConnectError('The call carries no valid fleet key', Code.Unauthenticated);
		}

		return next(request);
	};
}

/**
 * Starts the server of a daemon for its peers.
 *
 * @example
 * ```ts
 * const server = await startFleetServer({host: '127.0.0.1', port: 0}, {fleetKey, routes, onRefused});
 * ```
 *
 * @param listenAddress Where to listen
 * @param options The fleet's key and the services
 * @returns The running server
 * @throws When the address cannot be listened on
 */
export async function startFleetServer(listenAddress: ListenAddress, options: StartFleetServerOptions): Promise<FleetServer> {
	const sessions = new Set<ServerHttp2Session>();
	const sockets = new Set<Socket>();
	const server = createServer(connectNodeAdapter({routes: options.routes, interceptors: [createKeyCheck(options)]}));
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
		// A peer that resets its connection is seen by the calls on it; unheard, the event would end the process.
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
			// A connection destroyed at once takes along the answers being made on it and the frames that flow control holds
			// back: a peer that read 100 frames of 8 kB lost the last ones. One that is closed ends its calls first.
			for (const session of sessions) {
				session.close();
			}

			// Not the sessions: one that was closed waits, even when it is destroyed, for its peer to close the connection.
			const timer = setTimeout(() => {
				for (const socket of sockets) {
					socket.destroy();
				}
			}, closeBound);
			await closed;
			clearTimeout(timer);
		},
	};
}
