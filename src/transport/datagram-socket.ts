/**
 * Datagrams between daemons of the fleet, each with a code that only holders
 * of the fleet's key can compute.
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
	/** Called for each datagram without a valid code. */
	readonly onRefused: () => void;
	/** Called when a datagram could not be sent; nothing else shows it. */
	readonly onLost: (error: Error) => void;
};

/** An open socket. */
export type DatagramSocket = {
	/** IP number and port. */
	readonly address: string;
	/** Sends a message to some addresses; it may be lost. */
	readonly send: (message: Uint8Array, addresses: readonly string[]) => void;
	readonly close: () => void;
};

/** Bytes of the code: half of the hash is enough against guessing. */
const codeBytes = 16;

/** @internal Empty where there is no key: the network between the daemons is closed to others. */
function computeCode(fleetKey: string, message: Uint8Array): Uint8Array {
	return fleetKey === '' ? new Uint8Array() : createHmac('sha256', fleetKey).update(message).digest().subarray(0, codeBytes);
}

/** @internal The message of a datagram, or undefined when its code is not the fleet's. */
function readMessage(fleetKey: string, datagram: Uint8Array): Uint8Array | undefined {
	const length = fleetKey === '' ? 0 : codeBytes;
	const message = datagram.subarray(length);
	const code = datagram.subarray(0, length);
	return code.length === length && timingSafeEqual(code, computeCode(fleetKey, message)) ? message : undefined;
}

/**
 * Opens a socket.
 *
 * @example
 * ```ts
 * const socket = await openDatagramSocket({host: '127.0.0.1', port: 0}, {fleetKey, onMessage, onRefused, onLost});
 * socket.send(bytes, ['127.0.0.1:7341']);
 * ```
 *
 * @param listenAddress Where to listen
 * @param options The fleet's key, and what takes messages
 * @returns The open socket
 * @throws When the address cannot be listened on
 */
export async function openDatagramSocket({host, port}: ListenAddress, options: OpenDatagramSocketOptions): Promise<DatagramSocket> {
	const {fleetKey, onMessage, onRefused, onLost} = options;
	const socket = createSocket('udp4');
	socket.bind(port, host);
	await once(socket, 'listening');
	// Unheard, an error of the socket would end the process.
	socket.on('error', onLost);
	socket.on('message', datagram => {
		const message = readMessage(fleetKey, datagram);
		if (message) {
			onMessage(message);
		} else {
			onRefused();
		}
	});
	let isClosed = false;
	const bound = socket.address();
	return {
		address: `${bound.address}:${bound.port}`,
		send(message, addresses) {
			const datagram = Buffer.concat([computeCode(fleetKey, message), message]);
			for (const address of addresses) {
				const [peerHost, peerPort] = address.split(':');
				if (!isClosed) {
					socket.send(datagram, Number(peerPort), peerHost, error => {
						if (error) {
							onLost(error);
						}
					});
				}
			}
		},
		close() {
			isClosed = true;
			socket.close();
		},
	};
}
