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
	/** Connections without a request, with the times at which they were accepted; the oldest comes first. */
	const awaiting = new Map<Socket, number>();
	server.on('connection', (socket: Socket) => {
		acceptedCount += 1;
		awaiting.set(socket, performance.now());
		connections.set(socket, {bytesRead: 0, latestResponse: undefined});
		socket.once('close', () => {
			connections.delete(socket);
			awaiting.delete(socket);
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

	return {
		countOpen: (): number => connections.size,
		/** Returns the number of connections accepted since the start. */
		countAccepted: (): number => acceptedCount,

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
			const state = connections.get(socket);
			if (!state) {
				return undefined;
			}

			const previousResponse = state.latestResponse;
			state.latestResponse = response;
			response.once('close', () => {
				if (state.latestResponse === response) {
					state.latestResponse = undefined;
					state.bytesRead = socket.bytesRead;
				}
			});
			return previousResponse;
		},

		closeIfIdle,

		/** Closes all idle connections. */
		closeIdle(): void {
			for (const socket of connections.keys()) {
				closeIfIdle(socket);
			}
		},
	};
}
