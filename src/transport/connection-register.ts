/**
 * The open connections of a server's callers, and which of them are idle.
 *
 * @module
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Known = {
	/** Bytes that had been read when the newest answer was sent. */
	bytesRead: number;
	/** The newest answer while it is under way; answers of one connection are sent in order, so all others are sent before. */
	newest: ServerResponse | undefined;
};

/** The open connections of a server. */
export type ConnectionRegister = ReturnType<typeof createConnectionRegister>;

/**
 * Creates the register of a server that has not accepted a connection yet.
 *
 * Node.js's own `closeIdleConnections`, which `close` calls too, takes a
 * connection for idle as soon as its answer's last byte was written into the
 * process's buffers: a caller that reads slowly then gets a torn answer. Here a
 * connection is idle once its answers are sent and nothing has come since.
 *
 * @example
 * ```ts
 * const connections = createConnectionRegister(server);
 * connections.closeIdle();
 * ```
 *
 * @param server The server
 * @returns The register
 */
export function createConnectionRegister(server: Server) {
	const connections = new Map<Socket, Known>();
	let accepted = 0;
	server.on('connection', (socket: Socket) => {
		accepted += 1;
		connections.set(socket, {bytesRead: 0, newest: undefined});
		socket.once('close', () => {
			connections.delete(socket);
		});
	});

	function closeIfIdle(socket: Socket): void {
		const known = connections.get(socket);
		if (known && !known.newest && socket.bytesRead === known.bytesRead) {
			socket.destroy();
		}
	}

	return {
		count: (): number => connections.size,
		/** All that were ever accepted. */
		countAccepted: (): number => accepted,

		/**
		 * Notes a request; its connection is not idle until the answer is
		 * sent. Returns the answer under way before it, if the caller did not
		 * wait for that.
		 */
		noteRequest({socket}: IncomingMessage, response: ServerResponse): ServerResponse | undefined {
			const known = connections.get(socket);
			if (!known) {
				return undefined;
			}

			const before = known.newest;
			known.newest = response;
			response.once('close', () => {
				if (known.newest === response) {
					known.newest = undefined;
					known.bytesRead = socket.bytesRead;
				}
			});
			return before;
		},

		/** Closes one connection if it is idle. */
		closeIfIdle,

		/** Closes all that are idle. */
		closeIdle(): void {
			for (const socket of connections.keys()) {
				closeIfIdle(socket);
			}
		},
	};
}
