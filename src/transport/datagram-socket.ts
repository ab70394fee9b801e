/**
 * UDP datagrams between daemons of the fleet, each authenticated with the
 * fleet's key.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import type {ListenAddress} from './http-server.js';

/** Options of {@linkcode openDatagramSocket}. */
export type OpenDatagramSocketOptions = {
	readonly fleetKey: string;
	readonly onMessage: (message: Uint8Array) => void;
	/** Called for each datagram without a valid message authentication code. */
	readonly onUnauthenticated: () => void;
	/** Called when a datagram could not be sent; `send` itself reports no error. */
	readonly onSendError: (error: Error) => void;
};

/** An open socket. */
export type DatagramSocket = {
	/** IP address and port. */
	readonly address: string;
	/** Sends a message to each address; datagrams may be lost. */
	readonly send: (message: Uint8Array, addresses: readonly string[]) => void;
	readonly close: () => void;
};

/** Length of the message authentication code; half of the SHA-256 hash is enough to prevent guessing. */
const macBytes = 16;

/** @internal Returns an empty code if there is no key; the network between the daemons must then be closed to others. */
function computeMac(fleetKey: string, message: Uint8Array): Uint8Array {
	return fleetKey === '' ? new Uint8Array() : createHmac('sha256', fleetKey).update(message).digest().subarray(0, macBytes);
}

/** @internal Returns the message of a datagram, or undefined if its authentication code is invalid. */
function verifyDatagram(fleetKey: string, datagram: Uint8Array): Uint8Array | undefined {
	const macLength = fleetKey === '' ? 0 : macBytes;
	const message = datagram.subarray(macLength);
	const mac = datagram.subarray(0, macLength);
	return mac.length === macLength && timingSafeEqual(mac, computeMac(fleetKey, message)) ? message : undefined;
}

/**
 * Opens a socket.
 *
 * @example
 * ```ts
 * const socket = await openDatagramSocket({host: '127.0.0.1', port: 0}, {fleetKey, onMessage, onUnauthenticated, onSendError});
 * socket.send(bytes, ['127.0.0.1:7341']);
 * ```
 *
 * @param listenAddress Where to listen
 * @param options The fleet's key and the handlers
 * @returns The open socket
 * @throws {Error} If the socket cannot be bound to the address
 */
export async function openDatagramSocket({host, port}: ListenAddress, options: OpenDatagramSocketOptions): Promise<DatagramSocket> {
	const {fleetKey, onMessage, onUnauthenticated, onSendError} = options;
	const socket = createSocket('udp4');
	socket.bind(port, host);
	await once(socket, 'listening');
	// Without a listener, an `error` event of the socket would terminate the process.
	socket.on('error', onSendError);
	socket.on('message', datagram => {
		const message = verifyDatagram(fleetKey, datagram);
		if (message) {
			onMessage(message);
		} else {
			onUnauthenticated();
		}
	});

	// `send` throws on a port that is out of range.
	function sendTo(datagram: Uint8Array, address: string): void {
		const [peerHost, peerPort] = address.split(':');
		try {
			socket.send(datagram, Number(peerPort), peerHost, error => {
				if (error) {
					onSendError(error);
				}
			});
		} catch (error) {
			onSendError(error as Error);
		}
	}

	let isClosed = false;
	const localAddress = socket.address();
	return {
		address: `${localAddress.address}:${localAddress.port}`,
		send(message, addresses) {
			const datagram = Buffer.concat([computeMac(fleetKey, message), message]);
			for (const address of addresses) {
				if (!isClosed) {
					sendTo(datagram, address);
				}
			}
		},
		close() {
			isClosed = true;
			socket.close();
		},
	};
}
