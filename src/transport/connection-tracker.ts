/**
 * Tracks the open connections of an HTTP server and which of them are idle.
 *
 * @module
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type ConnectionState = {
	/** Value of `socket.bytesRead` when the latest response had been sent. */
	bytesRead: number;
	/** The latest response, until it has been sent; earlier responses on the connection are sent before it. */
	latestResponse: ServerResponse | undefined;
	/** Bytes that had been sent when it was last seen that others wait to be sent, and the time at which this was first so; undefined if none wait. */
	unread: {readonly sentBytes: number; readonly since: number} | undefined;
	/** True if the caller has sent a request before the response to the previous one was complete. */
	hasPipelined: boolean;
};

/** Time within which the first request of a new connection is expected. */
const maxAwaitingMs = 500;

/** Tracks the open connections of a server. */
export type ConnectionTracker = ReturnType<typeof createConnectionTracker>;

/**
 * Creates a tracker for a server that has not accepted a connection yet.
 *
 * `closeIdleConnections` of Node.js, which `close` also calls, considers a
 * connection idle as soon as the last byte of its response is in the buffers of
 * the process, which truncates the response to a caller that reads slowly. Here
 * a connection is idle once its responses have been handed to the system and
 * nothing has been received since.
 *
 * @example
 * ```ts
 * const tracker = createConnectionTracker(server);
 * tracker.closeIdle();
 * ```
 *
 * @param server The server
 * @returns The tracker
 */
export function createConnectionTracker(server: Server) {
	const connections = new Map<Socket, ConnectionState>();
	let acceptedCount = 0;
	const closedBytes = {received: 0, sent: 0};
	/** Connections without a request, with the times at which they were accepted; the oldest comes first. */
	const awaiting = new Map<Socket, number>();
	/** Connections without an unanswered request; the one that has been idle for longest comes first. */
	const idle = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		acceptedCount += 1;
		idle.add(socket);
		awaiting.set(socket, performance.now());
		connections.set(socket, {
			bytesRead: 0, latestResponse: undefined, unread: undefined, hasPipelined: false,
		});
		socket.once('close', () => {
			connections.delete(socket);
			awaiting.delete(socket);
			idle.delete(socket);
			closedBytes.received += socket.bytesRead;
			closedBytes.sent += socket.bytesWritten;
		});
	});

	// A caller that opens a connection before it needs it does not send a request soon.
	function forgetUnused(): void {
		for (const [socket, acceptedAt] of awaiting) {
			if (performance.now() - acceptedAt < maxAwaitingMs) {
				return;
			}

			awaiting.delete(socket);
		}
	}

	function closeIfIdle(socket: Socket): void {
		const state = connections.get(socket);
		if (state && !state.latestResponse && socket.bytesRead === state.bytesRead) {
			socket.destroy();
		}
	}

	// Returns how long nothing has been sent although something waits to be.
	function computeUnreadMs(socket: Socket, state: ConnectionState): number {
		const now = performance.now();
		const sentBytes = socket.bytesWritten - socket.writableLength;
		if (socket.writableLength === 0) {
			state.unread = undefined;
		} else if (state.unread?.sentBytes !== sentBytes) {
			state.unread = {sentBytes, since: now};
		}

		return state.unread ? now - state.unread.since : 0;
	}

	return {
		countOpen: (): number => connections.size,
		/** Returns the number of connections accepted since the start. */
		countAccepted: (): number => acceptedCount,

		/** Returns the bytes of the busier direction of all connections since the start. */
		countBytes(): number {
			let {received, sent} = closedBytes;
			for (const socket of connections.keys()) {
				received += socket.bytesRead;
				sent += socket.bytesWritten;
			}

			return Math.max(received, sent);
		},

		/** Returns the number of connections accepted a moment ago that have had no request. */
		countAwaiting(): number {
			forgetUnused();
			return awaiting.size;
		},

		/**
		 * Marks the connection of a request as busy until the response has been
		 * sent. Returns the previous response on the connection if it has not been
		 * sent yet, which happens if the caller pipelines its requests.
		 */
		trackRequest({socket}: IncomingMessage, response: ServerResponse): ServerResponse | undefined {
			awaiting.delete(socket);
			idle.delete(socket);
			const state = connections.get(socket);
			if (!state) {
				return undefined;
			}

			const previousResponse = state.latestResponse;
			state.hasPipelined ||= previousResponse !== undefined;
			state.latestResponse = response;
			response.once('close', () => {
				if (state.latestResponse === response) {
					state.latestResponse = undefined;
					state.bytesRead = socket.bytesRead;
					if (connections.has(socket)) {
						idle.add(socket);
					}
				}
			});
			return previousResponse;
		},

		/**
		 * Returns whether a connection may be closed after the response to a request without losing anything: the request has
		 * been received completely, as closing a connection with unread data resets it and can discard the response, and the
		 * caller does not pipeline, as its next request may already be under way.
		 */
		canCloseAfter({socket, complete}: IncomingMessage, response: ServerResponse): boolean {
			const state = connections.get(socket);
			return state !== undefined && complete && !state.hasPipelined && state.latestResponse === response;
		},

		/** Returns whether all responses on a connection have been sent. */
		isIdle: (socket: Socket): boolean => connections.get(socket)?.latestResponse === undefined,

		closeIfIdle,

		/** Closes the connection that has been idle for longest, which may be one just accepted; returns false if none is idle. */
		closeLongestIdle(): boolean {
			const [socket] = idle;
			socket?.destroy();
			return socket !== undefined;
		},

		/** Closes the connections whose callers have read nothing for a time although something waits to be sent; returns their number. To be called often. */
		closeUnread(maxUnreadMs: number): number {
			const unread = [...connections].filter(([socket, state]) => computeUnreadMs(socket, state) > maxUnreadMs);
			for (const [socket] of unread) {
				socket.destroy();
			}

			return unread.length;
		},

		/** Closes all idle connections. */
		closeIdle(): void {
			for (const socket of connections.keys()) {
				closeIfIdle(socket);
			}
		},
	};
}
