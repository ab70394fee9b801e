/**
 * Stops and resumes what an HTTP client reads from a socket.
 *
 * @module
 */
import process from 'node:process';
import type {Socket} from 'node:net';

/** Holds back the bytes of a socket from its reader. */
export type ReadGate = {
	/** Reads return nothing until {@linkcode ReadGate.resume} is called, and the end of the stream waits too. */
	readonly stop: () => void;
	/** Lets reads through and announces that there may be bytes. */
	readonly resume: () => void;
};

/**
 * Creates a gate between a socket and the reader of its `readable` events.
 *
 * undici pauses a response inside its parser, which asserts when the connection
 * ends or breaks that it is not paused. For a response without a length the
 * assertion fails in an event handler and ends the process; a response with a
 * length is reported as truncated although all of it has arrived. Behind a gate
 * the parser is never paused.
 *
 * @example
 * ```ts
 * const gate = createReadGate(socket);
 * gate.stop();
 * gate.resume();
 * ```
 *
 * @param socket A socket that is read by `read`
 * @returns The gate, which is open
 */
export function createReadGate(socket: Socket): ReadGate {
	const read = socket.read.bind(socket);
	let isStopped = false;
	socket.read = size => isStopped ? null : read(size) as unknown;
	return {
		stop() {
			isStopped = true;
		},
		resume() {
			if (!isStopped) {
				return;
			}

			isStopped = false;
			// Called by the parser too, which may not be entered again before it returns.
			process.nextTick(() => {
				if (!socket.destroyed) {
					socket.emit('readable');
				}
			});
		},
	};
}
