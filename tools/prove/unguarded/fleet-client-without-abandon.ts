/**
 * Fleet client that never abandons an unresponsive connection between daemons.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createClient, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
	Gateway, Peer, Relay, Upstream,
} from '../../../src/protocol/mod.js';
import {fleetKeyHeader} from '../../../src/transport/fleet-server.js';
import type {FleetClient, PeerConnection} from '../../../src/transport/fleet-client.js';

export * from '../../../src/transport/fleet-client.js';

export function createFleetClient(fleetKey: string): FleetClient {
	const connections = new Map<string, PeerConnection>();
	const addKey: Interceptor = next => async request => {
		request.header.set(fleetKeyHeader, fleetKey);
		return next(request);
	};

	return {
		connect(address) {
			const transport = createConnectTransport({baseUrl: `http://${address}`, httpVersion: '2', interceptors: [addKey]});
			const connection = connections.get(address) ?? {
				peer: createClient(Peer, transport),
				upstream: createClient(Upstream, transport),
				gateway: createClient(Gateway, transport),
				relay: createClient(Relay, transport),
				abandon: () => undefined,
			};
			connections.set(address, connection);
			return connection;
		},
		close: () => undefined,
	};
}
