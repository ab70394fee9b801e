/**
 * A TCP proxy on loopback that simulates network faults: a partition, or open
 * connections that stall while new ones work.
 *
 * @module
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** A TCP proxy that simulates network faults. */
export type TcpProxy = {
	readonly url: string;
	/** IP address and port of the proxy. */
	readonly address: string;
	/** Sets the target of new connections. */
	readonly setTarget: (url: string) => void;
	/** While true, new connections are closed at once. Setting it to true also closes the open ones. */
	readonly setPartitioned: (isPartitioned: boolean) => void;
	/** Permanently stops forwarding data on the open connections, in both directions, without closing them. */
	readonly stallOpenConnections: () => void;
	readonly close: () => void;
};

/**
 * Creates a proxy in front of a target.
 *
 * @example
 * ```ts
 * const proxy = await createTcpProxy('http://127.0.0.1:7000');
 * proxy.setPartitioned(true);
 * ```
 *
 * @param target HTTP URL of the target on loopback; can be set later with `setTarget`
 * @returns The proxy
 */
export async function createTcpProxy(target?: string): Promise<TcpProxy> {
	let targetUrl = target === undefined ? undefined : new URL(target);
	const connections = new Set<[Socket, Socket]>();
	let isPartitioned = false;
	const server = createServer(inbound => {
		if (isPartitioned || !targetUrl) {
			inbound.destroy();
			return;
		}

		const outbound = connect({host: targetUrl.hostname, port: Number(targetUrl.port)});
		const pair: [Socket, Socket] = [inbound, outbound];
		connections.add(pair);
		inbound.pipe(outbound);
		outbound.pipe(inbound);
		for (const socket of pair) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				inbound.destroy();
				outbound.destroy();
				connections.delete(pair);
			});
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

	function destroyConnections(): void {
		for (const [inbound, outbound] of connections) {
			inbound.destroy();
			outbound.destroy();
		}
	}

	return {
		url: `http://${address}`,
		address,
		setTarget(url) {
			targetUrl = new URL(url);
		},
		setPartitioned(value) {
			isPartitioned = value;
			if (value) {
				destroyConnections();
			}
		},
		stallOpenConnections() {
			for (const [inbound, outbound] of connections) {
				inbound.unpipe(outbound);
				outbound.unpipe(inbound);
				inbound.pause();
				outbound.pause();
			}
		},
		close() {
			destroyConnections();
			server.close();
		},
	};
}
