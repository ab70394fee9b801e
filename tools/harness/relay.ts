/**
 * A TCP relay on loopback whose link can be cut, or made silent on the
 * connections that are open while new ones work.
 *
 * @module
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** A relay. */
export type Relay = {
	readonly url: string;
	/** IP number and port. */
	readonly address: string;
	/** Sets where new connections go. */
	readonly setTarget: (url: string) => void;
	/** Drops open connections and refuses new ones, or heals again. */
	readonly setCut: (isCut: boolean) => void;
	/** Holds every byte on connections open now, in both directions, for good. */
	readonly silenceOpen: () => void;
	readonly close: () => void;
};

/**
 * Creates a relay to a target.
 *
 * @example
 * ```ts
 * const relay = await createRelay('http://127.0.0.1:7000');
 * relay.setCut(true);
 * ```
 *
 * @param target An http address on loopback; may be set later
 * @returns The relay
 */
export async function createRelay(target?: string): Promise<Relay> {
	let far = target === undefined ? undefined : new URL(target);
	const pairs = new Set<[Socket, Socket]>();
	let isCut = false;
	const server = createServer(near => {
		if (isCut || !far) {
			near.destroy();
			return;
		}

		const other = connect({host: far.hostname, port: Number(far.port)});
		const pair: [Socket, Socket] = [near, other];
		pairs.add(pair);
		near.pipe(other);
		other.pipe(near);
		for (const socket of pair) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				near.destroy();
				other.destroy();
				pairs.delete(pair);
			});
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

	function destroyPairs(): void {
		for (const [near, other] of pairs) {
			near.destroy();
			other.destroy();
		}
	}

	return {
		url: `http://${address}`,
		address,
		setTarget(url) {
			far = new URL(url);
		},
		setCut(cut) {
			isCut = cut;
			if (cut) {
				destroyPairs();
			}
		},
		silenceOpen() {
			for (const [near, other] of pairs) {
				near.unpipe(other);
				other.unpipe(near);
				near.pause();
				other.pause();
			}
		},
		close() {
			destroyPairs();
			server.close();
		},
	};
}
