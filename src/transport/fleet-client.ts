/**
 * Connections from one daemon to its peers.
 *
 * @module
 */
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

/** @internal */
function openConnection(address: string, fleetKey: string): PeerConnection {
	const baseUrl = `http://${address}`;
	// Something between two hosts can lose track of a connection, which then stays silent for good while new ones work.
	// Heartbeats and the frames of running streams find that, and abandon it; the next call opens a new connection.
	// The library's own pings stay off: one that fires on an abandoned connection ends the process.
	const sessionManager = new Http2SessionManager(baseUrl, {idleConnectionTimeoutMs: idleTimeout});
	const transport = createConnectTransport({
		baseUrl, httpVersion: '2', sessionManager, interceptors: [createKeyInterceptor(fleetKey)],
	});
	return {
		peer: createClient(Peer, transport),
		upstream: createClient(Upstream, transport),
		gateway: createClient(Gateway, transport),
		relay: createClient(Relay, transport),
		abandon() {
			sessionManager.abort();
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
			const connection = connections.get(address) ?? openConnection(address, fleetKey);
			connections.set(address, connection);
			return connection;
		},
		close() {
			for (const connection of connections.values()) {
				connection.abandon();
			}

			connections.clear();
		},
	};
}
