/**
 * RPC connections from a daemon to its peers.
 *
 * @module
 */
import type {Http2Session} from 'node:http2';
import {createClient, type Client, type Interceptor} from '@connectrpc/connect';
import {Http2SessionManager, createConnectTransport} from '@connectrpc/connect-node';
import {
	isDaemonAddress, Gateway, Peer, Relay, Upstream,
} from '../protocol/mod.js';
import {fleetKeyHeader} from './fleet-server.js';

/** RPC clients for one peer that share one connection. */
export type PeerConnection = {
	readonly peer: Client<typeof Peer>;
	readonly upstream: Client<typeof Upstream>;
	readonly gateway: Client<typeof Gateway>;
	readonly relay: Client<typeof Relay>;
	/** Closes the connection and cancels its calls; the next call opens a new one. */
	readonly abandon: () => void;
};

/** Pool of connections to peers. */
export type FleetClient = {
	/** Returns the connection to an address (IP address and port). */
	readonly connect: (address: string) => PeerConnection;
	readonly close: () => void;
};

const idleTimeoutMs = 300_000;
/**
 * Stands for an address that another process wrote and that is no address: calls to it
 * fail, as those to a host that is gone do. No connection can be opened to port 0.
 */
const unreachableAddress = '127.0.0.1:0';

/** @internal */
function createKeyInterceptor(fleetKey: string): Interceptor {
	return next => async request => {
		request.header.set(fleetKeyHeader, fleetKey);
		return next(request);
	};
}

const ignoreError = () => undefined;

/**
 * @internal Connect destroys a session that the peer closes, but removes its own
 * error listener when the session manager is aborted. Without a listener, the
 * error would terminate the process. It can be ignored, as the calls on the
 * session receive it as well.
 */
function ignoreSessionErrors(session: Http2Session | undefined): void {
	if (session && !session.listeners('error').includes(ignoreError)) {
		session.on('error', ignoreError);
	}
}

/** @internal */
function openConnection(address: string, fleetKey: string, removeFromPool: () => void): PeerConnection {
	const baseUrl = `http://${isDaemonAddress(address) ? address : unreachableAddress}`;
	// A network device between two hosts can drop the state of a connection, which then never responds again while new
	// connections work. Heartbeats and missing frames of running streams detect that, and the connection is abandoned.
	// The pings of Connect stay disabled: one that fires on an abandoned connection terminates the process.
	const sessions = new Http2SessionManager(baseUrl, {idleConnectionTimeoutMs: idleTimeoutMs});
	const transport = createConnectTransport({
		baseUrl,
		httpVersion: '2',
		sessionManager: {
			authority: sessions.authority,
			async request(...call) {
				const stream = await sessions.request(...call);
				ignoreSessionErrors(stream.session);
				return stream;
			},
			notifyResponseByteRead(stream) {
				sessions.notifyResponseByteRead(stream);
			},
		},
		interceptors: [createKeyInterceptor(fleetKey)],
	});
	return {
		peer: createClient(Peer, transport),
		upstream: createClient(Upstream, transport),
		gateway: createClient(Gateway, transport),
		relay: createClient(Relay, transport),
		abandon() {
			removeFromPool();
			// When the peer closes the connection, a call fails while nghttp2 is still ending the other streams. Destroying
			// the session at that point makes it send empty frames in an endless loop: the process stalls, fills its memory
			// and does not handle signals. In the next iteration of the event loop all streams have ended.
			setImmediate(() => {
				sessions.abort();
			});
		},
	};
}

/**
 * Creates a connection pool for a daemon; each connection is opened by its
 * first call.
 *
 * @example
 * ```ts
 * const fleet = createFleetClient('the fleet key');
 * await fleet.connect('127.0.0.1:7100').peer.heartbeat({from: 'entry-1'}, {timeoutMs: 1000});
 * ```
 *
 * @param fleetKey The secret shared by all daemons
 * @returns The connection pool
 */
export function createFleetClient(fleetKey: string): FleetClient {
	const connections = new Map<string, PeerConnection>();
	return {
		connect(address) {
			const existing = connections.get(address);
			if (existing) {
				return existing;
			}

			const connection = openConnection(address, fleetKey, () => {
				if (connections.get(address) === connection) {
					connections.delete(address);
				}
			});
			connections.set(address, connection);
			return connection;
		},
		close() {
			for (const connection of connections.values()) {
				connection.abandon();
			}
		},
	};
}
