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
 * @param target An http address on loopback
 * @returns The relay
 */
export async function createRelay(target: string): Promise<Relay> {
	const {hostname, port} = new URL(target);
	const pairs = new Set<[Socket, Socket]>();
	let isCut = false;
	const server = createServer(near => {
		if (isCut) {
			near.destroy();
			return;
		}

		const far = connect({host: hostname, port: Number(port)});
		const pair: [Socket, Socket] = [near, far];
		pairs.add(pair);
		near.pipe(far);
		far.pipe(near);
		for (const socket of pair) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				near.destroy();
				far.destroy();
				pairs.delete(pair);
			});
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

	function destroyPairs(): void {
		for (const [near, far] of pairs) {
			near.destroy();
			far.destroy();
		}
	}

	return {
		url: `http://${address}`,
		address,
		setCut(cut) {
			isCut = cut;
			if (cut) {
				destroyPairs();
			}
		},
		silenceOpen() {
			for (const [near, far] of pairs) {
				near.unpipe(far);
				far.unpipe(near);
				near.pause();
				far.pause();
			}
		},
		close() {
			destroyPairs();
			server.close();
		},
	};
}
