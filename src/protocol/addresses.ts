/**
 * Addresses of daemons.
 *
 * @module
 */

/** Host and port, the host of an IPv6 address in brackets. */
const daemonAddressPattern = /^(?:[\w.-]+|\[[\da-f:.]+]):(?<port>\d{1,5})$/i;
const maxPort = 65_535;

/**
 * Returns true if a daemon can be called at an address that another process
 * wrote. Clients throw on text that is no address.
 *
 * @example
 * ```ts
 * isDaemonAddress('10.0.0.7:99999'); // false
 * ```
 *
 * @param text The address
 * @returns True for a host and a port from 1 to 65535
 */
export function isDaemonAddress(text: string): boolean {
	const port = Number(daemonAddressPattern.exec(text)?.groups?.port);
	return port > 0 && port <= maxPort && URL.canParse(`http://${text}`);
}
