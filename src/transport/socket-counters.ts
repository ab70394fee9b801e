/**
 * Counts the bytes that a process receives and sends on all of its TCP
 * connections: those of callers, upstreams, peers and the store.
 *
 * @module
 */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Bytes received and sent since the start. */
export type SocketBytes = {readonly receivedBytes: number; readonly sentBytes: number};

/** Counts the bytes of the process's connections. */
export type SocketCounters = ReturnType<typeof startSocketCounters>;

/** Node.js publishes every TCP connection of the process in one of these, whichever library opened it. */
const channels = ['net.client.socket', 'net.server.socket'] as const;

/** @internal Bytes that wait in the process for the system to take them have not used the link. */
function countSentBytes(socket: Socket): number {
	return Math.max(0, socket.bytesWritten - socket.writableLength);
}

/**
 * Starts counting; connections that were opened before are not counted.
 *
 * @example
 * ```ts
 * const counters = startSocketCounters();
 * counters.read().receivedBytes;
 * counters.stop();
 * ```
 *
 * @returns The counters
 */
export function startSocketCounters() {
	const sockets = new Set<Socket>();
	const closed = {receivedBytes: 0, sentBytes: 0};
	const onSocket = (message: unknown) => {
		const {socket} = message as {socket: Socket};
		sockets.add(socket);
		socket.once('close', () => {
			if (sockets.delete(socket)) {
				closed.receivedBytes += socket.bytesRead;
				closed.sentBytes += countSentBytes(socket);
			}
		});
	};

	for (const channel of channels) {
		subscribe(channel, onSocket);
	}

	return {
		read(): SocketBytes {
			let {receivedBytes, sentBytes} = closed;
			for (const socket of sockets) {
				receivedBytes += socket.bytesRead;
				sentBytes += countSentBytes(socket);
			}

			return {receivedBytes, sentBytes};
		},

		stop(): void {
			for (const channel of channels) {
				unsubscribe(channel, onSocket);
			}
		},
	};
}
