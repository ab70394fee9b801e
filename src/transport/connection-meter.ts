/**
 * Closes connections to upstreams on which bytes arrive that are part of no
 * response.
 *
 * @module
 */
import type {Socket} from 'node:net';
import {maxUnusableBytes, type ByteLimits} from './byte-limits.js';
import {createReadGate, type ReadGate} from './read-gate.js';

/** Counts what a connection delivers. */
export type ConnectionMeter = {
	/** Records a piece of a response's body. */
	readonly recordBody: (bytes: number) => void;
	/** Records that a response has ended; later bytes are part of another one or of none. */
	readonly recordEnd: () => void;
	/** Stops the reading of the connection while the reader of a response is slow. */
	readonly gate: ReadGate;
};

/** Framing of one chunk of a body: a length of 64 bits in up to 16 hexadecimal digits, as some servers pad it, two line ends and a margin. */
const framingBytesPerPiece = 24;

/**
 * Creates meters for the connections of a client.
 *
 * The HTTP client reports only headers and bodies. What else it reads (chunk
 * extensions, informational responses, reason phrases, empty lines) is the
 * difference between what was read from the socket and what was reported.
 *
 * @example
 * ```ts
 * const meters = createConnectionMeters(limits);
 * meters.watch(socket, '127.0.0.1:8080');
 * const meter = meters.getActive(); // while the client parses what this socket received
 * ```
 *
 * @param limits Counts the connections that are closed
 * @returns The meters
 */
export function createConnectionMeters(limits: Pick<ByteLimits, 'recordCut'>) {
	let active: ConnectionMeter | undefined;

	return {
		/** Returns the meter of the connection whose bytes are being parsed. */
		getActive: () => active,

		/** Starts to count on a connection, before the HTTP client listens on it. */
		watch(socket: Socket, address: string): void {
			let accountedBytes = 0;
			const countParsed = () => socket.bytesRead - socket.readableLength;
			const meter: ConnectionMeter = {
				recordBody(bytes) {
					accountedBytes += bytes + framingBytesPerPiece;
				},
				recordEnd() {
					accountedBytes = countParsed();
				},
				gate: createReadGate(socket),
			};
			// Runs before the listener of the HTTP client, which parses what has arrived.
			socket.on('readable', () => {
				const bytes = countParsed() - accountedBytes;
				if (bytes > maxUnusableBytes && !socket.destroyed) {
					limits.recordCut('unusable', {address, bytes, maxBytes: maxUnusableBytes});
					socket.destroy(new Error(`The upstream sent ${bytes} bytes that are part of no response`));
					return;
				}

				active = meter;
				queueMicrotask(() => {
					active = undefined;
				});
			});
		},
	};
}
