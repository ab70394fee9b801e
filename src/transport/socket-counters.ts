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

/** What is known of an open connection since it was last read. */
type ConnectionState = {sentBytes: number; hasWaitingBytes: boolean};

/**
 * @internal Bytes that wait in the process for the system to take them have not
 * used the link. Node.js counts them as written, and no longer as waiting, once
 * the connection is destroyed; a connection that had some when it was last read
 * keeps the number of that time.
 */
function updateSentBytes(socket: Socket, state: ConnectionState): number {
	if (!socket.destroyed || !state.hasWaitingBytes) {
		state.sentBytes = Math.max(state.sentBytes, socket.bytesWritten - socket.writableLength);
		state.hasWaitingBytes = socket.writableLength > 0;
	}

	return state.sentBytes;
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
	const connections = new Map<Socket, ConnectionState>();
	const closed = {receivedBytes: 0, sentBytes: 0};
	const onSocket = (message: unknown) => {
		const {socket} = message as {socket: Socket};
		const state = {sentBytes: 0, hasWaitingBytes: false};
		connections.set(socket, state);
		socket.once('close', () => {
			if (connections.delete(socket)) {
				closed.receivedBytes += socket.bytesRead;
				closed.sentBytes += updateSentBytes(socket, state);
			}
		});
	};

	for (const channel of channels) {
		subscribe(channel, onSocket);
	}

	return {
		read(): SocketBytes {
			let {receivedBytes, sentBytes} = closed;
			for (const [socket, state] of connections) {
				receivedBytes += socket.bytesRead;
				sentBytes += updateSentBytes(socket, state);
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
