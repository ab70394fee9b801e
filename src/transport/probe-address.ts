/**
 * Checks whether a process listens at an address.
 *
 * @module
 */
import {connect} from 'node:net';

/** Result of opening a connection: accepted, refused, or no response or another error (`silent`). */
export type ProbeResult = 'open' | 'refused' | 'silent';

/** Options of {@linkcode probeAddress}. */
export type ProbeAddressOptions = {
	/** How long to wait for a response, in milliseconds. */
	readonly timeoutMs: number;
};

/**
 * Opens a connection and closes it again. A host whose process has exited
 * refuses the connection; a host that is disconnected or powered off does not
 * respond.
 *
 * @example
 * ```ts
 * await probeAddress('10.1.0.15:8242', {timeoutMs: 100}); // 'refused'
 * ```
 *
 * @param address IP address and port
 * @param options The timeout
 * @returns Whether the connection was accepted, refused or not answered
 */
export async function probeAddress(address: string, {timeoutMs}: ProbeAddressOptions): Promise<ProbeResult> {
	const {hostname, port} = new URL(`http://${address}`);
	const socket = connect(Number(port), hostname);
	try {
		return await new Promise<ProbeResult>(resolve => {
			socket.once('connect', () => {
				resolve('open');
			});
			socket.once('error', (error: NodeJS.ErrnoException) => {
				resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
			});
			socket.setTimeout(timeoutMs, () => {
				resolve('silent');
			});
		});
	} finally {
		// Errors after the result are irrelevant, but without a listener they would terminate the process.
		socket.on('error', () => undefined);
		socket.destroy();
	}
}
