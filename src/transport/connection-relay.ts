/**
 * Relays accepted connections to other gateways without reading what they
 * carry.
 *
 * The other gateway writes one byte when its event loop has accepted a
 * connection. The operating system also accepts connections for a process that
 * is frozen, so nothing is sent to a gateway before that byte has arrived.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {readPendingInput} from './http-server.js';

/** Why another gateway did not accept a connection: it gave no sign within the timeout; it refused or closed the connection. */
export const relayRefusals = ['timeout', 'refused'] as const;

/** A connection that another gateway did not accept. Nothing was sent to it. */
export type RefusedRelay = {
	readonly address: string;
	readonly reason: typeof relayRefusals[number];
	readonly detail: string;
};

/** How a relayed connection ended. */
export type RelayedConnection = {
	/** The gateway that was tried last. */
	readonly address: string;
	/** Undefined unless the other gateway broke the connection after it had accepted it. */
	readonly error: Error | undefined;
	/** True if the caller left before anything was sent. */
	readonly wasAbandoned: boolean;
};

/** Options of {@linkcode createConnectionRelay}. */
export type CreateConnectionRelayOptions = {
	/** Time after which a gateway that does not accept the connection is abandoned, in milliseconds. */
	readonly acceptTimeoutMs: number;
	/** Called when a gateway accepts a connection. */
	readonly onAccept?: (address: string) => void;
	/** Called when a gateway does not accept a connection. */
	readonly onRefuse?: (refused: RefusedRelay) => void;
	/** Selects another gateway after that; undefined to reset the caller's connection unread. */
	readonly selectNext?: () => string | undefined;
	/** Called once for each relayed connection, when both sides are closed. */
	readonly onEnd?: (relayed: RelayedConnection) => void;
};

/** Relays connections. */
export type ConnectionRelay = ReturnType<typeof createConnectionRelay>;

type Relay = {address: string; peer: Socket; isJoined: boolean; hasAnswer: boolean; wasAccepted: boolean; error: Error | undefined};

/** Byte that accepts a relayed connection: ASCII ACK. */
const acceptance = Buffer.from([0x06]);
/** Gateways that a connection is relayed to one after the other, until one accepts it. */
const maxAttempts = 2;

/** @internal */
function openSocket(address: string): Socket {
	const colonAt = address.lastIndexOf(':');
	const host = address.slice(0, colonAt).replaceAll(/[[\]]/gu, '');
	return connect({
		host, port: Number(address.slice(colonAt + 1)), noDelay: true, allowHalfOpen: true,
	});
}

/**
 * Accepts a connection that another gateway relays; to be called before anything
 * else is written to it.
 *
 * @example
 * ```ts
 * createServer(socket => {
 * 	acceptRelayed(socket);
 * });
 * ```
 *
 * @param socket The connection
 */
export function acceptRelayed(socket: Socket): void {
	socket.write(acceptance);
}

/** @internal Waits until the other gateway has accepted a connection; returns undefined if it has, and else why not. */
async function waitForAcceptance(peer: Socket, timeoutMs: number): Promise<Omit<RefusedRelay, 'address'> | undefined> {
	return new Promise(resolve => {
		let failure: Error | undefined;
		const timer = setTimeout(async () => {
			// After a pause of this process, the acceptance may have arrived long ago and not have been read.
			await readPendingInput();
			await readPendingInput();
			resolve({reason: 'timeout', detail: `Not accepted within ${timeoutMs} ms`});
		}, timeoutMs);

		function finish(result: Omit<RefusedRelay, 'address'> | undefined): void {
			clearTimeout(timer);
			resolve(result);
		}

		peer.once('data', (data: Uint8Array) => {
			peer.pause();
			finish(acceptance.equals(data) ? undefined : {reason: 'refused', detail: 'Accepted with other bytes'});
		});
		peer.on('error', error => {
			failure = error;
		});
		peer.once('close', () => {
			finish({reason: 'refused', detail: failure?.message ?? 'Closed before it was accepted'});
		});
	});
}

/**
 * @internal Sends what the caller has sent to the other gateway, unless the caller has closed its side: a connection may have
 * waited to be accepted for longer than its caller waits. Returns false in that case.
 */
async function joinSockets(caller: Socket, peer: Socket): Promise<boolean> {
	const received: Uint8Array[] = [];
	const collect = (data: Uint8Array) => {
		received.push(data);
	};

	caller.on('data', collect);
	caller.resume();
	// The first reads the request, the second notices that its caller has left.
	await readPendingInput();
	await readPendingInput();
	if (caller.destroyed) {
		return false;
	}

	caller.pause();
	caller.off('data', collect);

	for (const data of received) {
		peer.write(data);
	}

	caller.pipe(peer);
	peer.pipe(caller);
	return true;
}

/**
 * Creates a relay without connections.
 *
 * A connection whose other side breaks is reset and not closed in order, because
 * an answer without a length would otherwise look complete.
 *
 * @example
 * ```ts
 * const relay = createConnectionRelay({acceptTimeoutMs: 200});
 * void relay.relay(socket, '10.0.0.2:7341');
 * ```
 *
 * @param options The timeout and the callbacks
 * @returns The relay
 */
export function createConnectionRelay({acceptTimeoutMs, onAccept, onRefuse, selectNext, onEnd}: CreateConnectionRelayOptions) {
	/** Accepted sockets of callers with their connections to other gateways. */
	const relays = new Map<Socket, Relay>();
	let total = 0;

	/** Connects to one gateway after the other until one accepts the connection; returns false if none does. */
	async function findGateway(caller: Socket, relay: Relay): Promise<boolean> {
		for (let attempt = 1; !caller.destroyed; attempt += 1) {
			const refusal = await waitForAcceptance(relay.peer, acceptTimeoutMs);
			if (!refusal) {
				onAccept?.(relay.address);
				return true;
			}

			relay.peer.destroy();
			if (caller.destroyed) {
				return false;
			}

			onRefuse?.({address: relay.address, ...refusal});
			const next = attempt < maxAttempts ? selectNext?.() : undefined;
			if (next === undefined) {
				return false;
			}

			relay.address = next;
			relay.peer = openSocket(next);
		}

		return false;
	}

	function watchPeer(caller: Socket, relay: Relay): void {
		const {peer} = relay;
		let hasEnded = false;
		peer.once('data', () => {
			relay.hasAnswer = true;
		});
		peer.once('end', () => {
			hasEnded = true;
			caller.destroySoon();
		});
		peer.on('error', cause => {
			relay.error = cause;
		});
		peer.once('close', () => {
			if (!hasEnded) {
				caller.resetAndDestroy();
			}
		});
	}

	async function relayConnection(caller: Socket, address: string): Promise<void> {
		const relay: Relay = {
			address, peer: openSocket(address), isJoined: false, hasAnswer: false, wasAccepted: false, error: undefined,
		};
		total += 1;
		relays.set(caller, relay);
		// The caller's own errors end in its close. As everywhere, a caller who closes its side no longer waits for the answer.
		caller.on('error', () => undefined);
		caller.once('end', () => {
			caller.destroy();
		});
		caller.once('close', () => {
			relay.peer.destroy();
			relays.delete(caller);
			onEnd?.({address: relay.address, error: relay.error, wasAbandoned: relay.wasAccepted && !relay.isJoined && !relay.error});
		});
		relay.wasAccepted = await findGateway(caller, relay);
		if (!relay.wasAccepted) {
			caller.resetAndDestroy();
			return;
		}

		watchPeer(caller, relay);
		relay.isJoined = await joinSockets(caller, relay.peer);
	}

	return {
		/** Relays an accepted connection from which nothing has been read; resolves once bytes pass, or it has ended. */
		relay: relayConnection,
		/** Returns the addresses of the connections that are relayed now, one for each. */
		listOpen: (): string[] => [...relays.values()].map(({address}) => address),
		/** Returns the number of connections relayed since the start. */
		countTotal: (): number => total,

		/** Resets the connections to a gateway on which no byte of an answer has arrived; returns their number. */
		resetUnanswered(address: string): number {
			const unanswered = [...relays].filter(([, relay]) => relay.address === address && relay.isJoined && !relay.hasAnswer);
			for (const [caller] of unanswered) {
				caller.resetAndDestroy();
			}

			return unanswered.length;
		},

		/** Closes all connections immediately. */
		closeAll(): void {
			for (const caller of relays.keys()) {
				caller.destroy();
			}
		},
	};
}
