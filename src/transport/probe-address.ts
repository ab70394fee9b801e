/**
 * Asks whether a process listens at an address.
 *
 * @module
 */
import {connect} from 'node:net';

/** What an address does with a new connection: takes it, refuses it, or keeps silent. */
export type ProbeVerdict = 'open' | 'refused' | 'silent';

/** Options of {@linkcode probeAddress}. */
export type ProbeAddressOptions = {
	/** Milliseconds to wait for an answer. */
	readonly timeout: number;
};

/**
 * Opens a connection and closes it again. A machine whose process has ended
 * refuses it; one that is cut off or without power keeps silent.
 *
 * @example
 * ```ts
 * await probeAddress('10.1.0.15:8242', {timeout: 100}); // 'refused'
 * ```
 *
 * @param address IP number and port
 * @param options How long to wait
 * @returns What the address does
 */
export async function probeAddress(address: string, {timeout}: ProbeAddressOptions): Promise<ProbeVerdict> {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect(Number(port), hostname);
	try {
		return await new Promise<ProbeVerdict>(resolve => {
			socket.once('connect', () => {
				resolve('open');
			});
			socket.once('error', (error: NodeJS.ErrnoException) => {
				resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
			});
			socket.setTimeout(timeout, () => {
				resolve('silent');
			});
		});
	} finally {
		// What comes after the verdict says nothing more.
		socket.on('error', () => undefined);
		socket.destroy();
	}
}
