/**
 * Tracks the open connections of an HTTP server and which of them are idle.
 *
 * @module
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {findWaitingSince} from './connection-eviction.js';

type ConnectionState = {
	/** Value of `socket.bytesRead` when the latest response had been sent. */
	bytesRead: number;
	/** The latest response, until it has been sent; earlier responses on the connection are sent before it. */
	latestResponse: ServerResponse | undefined;
	latestRequest: IncomingMessage | undefined;
	/** When the headers of the latest request were received; 0 without one. */
	receivedAt: number;
	/** When the connection was accepted, or the latest response was sent. */
	idleSince: number;
	/** When it was first seen that bytes wait to be sent; undefined if none wait. */
	unreadSince: number | undefined;
	/** Bytes that had been sent when it was last seen that others wait to be sent, and the time at which this was first so; undefined if none wait. */
	unread: {readonly sentBytes: number; readonly since: number} | undefined;
	/** True if the caller has sent a request before the response to the previous one was complete. */
	hasPipelined: boolean;
};

/** Time within which the first request of a new connection is expected. */
const maxAwaitingMs = 500;

/** @internal Returns the first connection that a condition accepts. */
function findFirst(sockets: Iterable<Socket>, isAccepted: (socket: Socket) => boolean): Socket | undefined {
	for (const socket of sockets) {
		if (isAccepted(socket)) {
			return socket;
		}
	}

	return undefined;
}

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
	/** Connections with an unanswered request; the one whose latest request came first comes first. */
	const busy = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		acceptedCount += 1;
		idle.add(socket);
		const acceptedAt = performance.now();
		awaiting.set(socket, acceptedAt);
		connections.set(socket, {
			bytesRead: 0, latestResponse: undefined, latestRequest: undefined, receivedAt: 0, idleSince: acceptedAt, unreadSince: undefined, unread: undefined, hasPipelined: false,
		});
		socket.once('close', () => {
			connections.delete(socket);
			awaiting.delete(socket);
			idle.delete(socket);
			busy.delete(socket);
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

	function updateUnreadSince(socket: Socket, state: ConnectionState, now: number): void {
		state.unreadSince = socket.writableLength === 0 ? undefined : state.unreadSince ?? now;
	}

	function computeWaitingSince(socket: Socket, now: number): number | undefined {
		const state = connections.get(socket)!;
		updateUnreadSince(socket, state, now);
		return findWaitingSince({
			idleSince: state.latestResponse ? undefined : state.idleSince,
			receivedAt: state.receivedAt,
			isComplete: state.latestRequest?.complete ?? true,
			isAnswered: state.latestResponse?.writableEnded ?? false,
			unreadSince: state.unreadSince,
		}, now);
	}

	function findLongestWaiting(): Socket | undefined {
		const now = performance.now();
		const [longestIdle] = idle;
		const longestBusy = findFirst(busy, socket => computeWaitingSince(socket, now) !== undefined);
		if (!longestIdle || !longestBusy) {
			return longestIdle ?? longestBusy;
		}

		return computeWaitingSince(longestIdle, now)! < computeWaitingSince(longestBusy, now)! ? longestIdle : longestBusy;
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
		trackRequest(request: IncomingMessage, response: ServerResponse): ServerResponse | undefined {
			const {socket} = request;
			awaiting.delete(socket);
			idle.delete(socket);
			const state = connections.get(socket);
			if (!state) {
				return undefined;
			}

			busy.delete(socket);
			busy.add(socket);
			const previousResponse = state.latestResponse;
			state.hasPipelined ||= previousResponse !== undefined;
			state.latestResponse = response;
			state.latestRequest = request;
			state.receivedAt = performance.now();
			response.once('close', () => {
				if (state.latestResponse === response) {
					state.latestResponse = undefined;
					state.latestRequest = undefined;
					state.bytesRead = socket.bytesRead;
					state.idleSince = performance.now();
					busy.delete(socket);
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

		/**
		 * Closes the connection that has waited for its caller for longest, which may be one just accepted; returns false if
		 * all are being served.
		 */
		closeLongestWaiting(): boolean {
			const socket = findLongestWaiting();
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
