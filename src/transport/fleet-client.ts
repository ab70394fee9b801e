/**
 * Connections from one daemon to its peers.
 *
 * @module
 */
import type {Http2Session} from 'node:http2';
import {createClient, type Client, type Interceptor} from '@connectrpc/connect';
import {Http2SessionManager, createConnectTransport} from '@connectrpc/connect-node';
import {
	Gateway, Peer, Relay, Upstream,
} from '../protocol/mod.js';
import {fleetKeyHeader} from './fleet-server.js';

/** Clients of one peer, over one connection. */
export type PeerConnection = {
	readonly peer: Client<typeof Peer>;
	readonly upstream: Client<typeof Upstream>;
	readonly gateway: Client<typeof Gateway>;
	readonly relay: Client<typeof Relay>;
	/** Abandons the connection; the next call opens a new one. */
	readonly abandon: () => void;
};

/** Connections to peers, by address. */
export type FleetClient = {
	readonly connect: (address: string) => PeerConnection;
	readonly close: () => void;
};

const idleTimeout = 300_000;

/** @internal */
function createKeyInterceptor(fleetKey: string): Interceptor {
	return next => async request => {
		request.header.set(fleetKeyHeader, fleetKey);
		return next(request);
	};
}

const dropError = () => undefined;

// The library destroys a session that the peer leaves, and hears its error only until the connection is abandoned.
// Unheard, the error ends the process; the calls on the session are told of it in any case.
/** @internal */
function listenForErrors(session: Http2Session | undefined): void {
	if (session && !session.listeners('error').includes(dropError)) {
		session.on('error', dropError);
	}
}

/** @internal */
function openConnection(address: string, fleetKey: string, forget: () => void): PeerConnection {
	const baseUrl = `http://${address}`;
	// Something between two hosts can lose track of a connection, which then stays silent for good while new ones work.
	// Heartbeats and the frames of running streams find that, and abandon it; the next call opens a new connection.
	// The library's own pings stay off: one that fires on an abandoned connection ends the process.
	const sessions = new Http2SessionManager(baseUrl, {idleConnectionTimeoutMs: idleTimeout});
	const transport = createConnectTransport({
		baseUrl,
		httpVersion: '2',
		sessionManager: {
			authority: sessions.authority,
			async request(...call) {
				const stream = await sessions.request(...call);
				listenForErrors(stream.session);
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
			forget();
			// A call's failure is told while nghttp2 still ends the other streams of a connection that the peer closes.
			// A session destroyed then sends empty frames without end: the process stands still, fills its memory and takes
			// no signal. In a later turn of the event loop all streams have ended.
			setImmediate(() => {
				sessions.abort();
			});
		},
	};
}

/**
 * Creates the connections of a daemon; each is opened by its first call.
 *
 * @example
 * ```ts
 * const fleet = createFleetClient('the fleet key');
 * await fleet.connect('127.0.0.1:7100').peer.heartbeat({from: 'entry-1'}, {timeoutMs: 1000});
 * ```
 *
 * @param fleetKey The secret that all daemons share
 * @returns The connections
 */
export function createFleetClient(fleetKey: string): FleetClient {
	const connections = new Map<string, PeerConnection>();
	return {
		connect(address) {
			const known = connections.get(address);
			if (known) {
				return known;
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
