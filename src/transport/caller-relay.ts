/**
 * Relays connections of callers to other servers, and serves those that others
 * relay.
 *
 * @module
 */
import type {Server as HttpServer} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';
import {createBacklogDrain} from './backlog-drain.js';
import {createSystemClock} from './clock.js';
import {acceptRelayed, createConnectionRelay, type RefusedRelay} from './connection-relay.js';
import {listen, readPendingInput, type ListenAddress} from './http-server.js';

/** Decides to which server a connection is relayed. */
export type RelayPolicy = {
	/** Selects the address for the next connection, given the number of those whose first request has not been read; undefined if it is not relayed. */
	readonly selectAddress: (awaiting: number) => string | undefined;
	/** Called when a server accepts a connection. */
	readonly recordAccepted: (address: string) => void;
	/** Called when a server does not accept a connection. */
	readonly recordRefused: (refused: RefusedRelay) => void;
};

/** Options of {@linkcode createCallerRelay}. */
export type CreateCallerRelayOptions = {
	/** Server for callers; all its other listeners for connections have been added. */
	readonly server: HttpServer;
	/** Returns the number of accepted connections whose first request has not been read. */
	readonly countAwaiting: () => number;
	/** Returns true if a connection that is not relayed is accepted. */
	readonly shouldAccept: (awaiting: number) => boolean;
	/** Called when another server broke a connection that was relayed to it. */
	readonly onRelayError: ((address: string, error: Error) => void) | undefined;
	/** Called when a relayed connection is closed unread. */
	readonly onDrop: () => void;
};

/** Relays connections. */
export type CallerRelay = ReturnType<typeof createCallerRelay>;

/** Time within which another server accepts a relayed connection: many times the round-trip time between two failure domains, and short compared with the second after which callers give up. */
const relayAcceptTimeoutMs = 200;
const noRelay: RelayPolicy = {selectAddress: () => undefined, recordAccepted: () => undefined, recordRefused: () => undefined};

/** @internal Returns whether the caller of a connection that was just accepted has closed its side. */
async function hasCallerLeft(socket: Socket): Promise<boolean> {
	// The first reads the request, the second notices that its caller has left.
	await readPendingInput();
	await readPendingInput();
	return socket.readableEnded || socket.destroyed;
}

/**
 * @internal Relays connections for which an address is selected and leaves the
 * others to the HTTP server.
 */
function divertConnections(server: Server, {takeAddress, relay}: {readonly takeAddress: () => string | undefined; readonly relay: (socket: Socket, address: string) => void}): void {
	const listeners = server.listeners('connection');
	server.removeAllListeners('connection');
	server.on('connection', socket => {
		const address = takeAddress();
		if (address === undefined) {
			for (const listener of listeners) {
				Reflect.apply(listener, server, [socket]);
			}
		} else {
			relay(socket, address);
		}
	});
}

/**
 * Adds relaying to a server for callers. Nothing is relayed before a policy is
 * set.
 *
 * @example
 * ```ts
 * const relay = createCallerRelay(options);
 * relay.setPolicy(policy);
 * await relay.listen({host: '10.0.0.1', port: 7341});
 * ```
 *
 * @param options The server, its decisions and the callbacks
 * @returns The relay
 */
export function createCallerRelay({server, countAwaiting, shouldAccept, onRelayError, onDrop}: CreateCallerRelayOptions) {
	const relayedHere = new WeakSet<Socket>();
	let policy = noRelay;
	let shouldDrain: () => boolean = () => false;
	const backlogDrain = createBacklogDrain({clock: createSystemClock(), shouldDrain: () => shouldDrain()});
	let nextAddress: string | undefined;
	let abandonedCount = 0;
	const connections = createConnectionRelay({
		acceptTimeoutMs: relayAcceptTimeoutMs,
		onAccept(address) {
			policy.recordAccepted(address);
		},
		onRefuse(refused) {
			policy.recordRefused(refused);
		},
		// The connection stays unread, so it is not served here even if there is room by now.
		selectNext: () => policy.selectAddress(Number.POSITIVE_INFINITY),
		onEnd({address, error, wasAbandoned}) {
			if (error) {
				onRelayError?.(address, error);
			}

			if (wasAbandoned) {
				abandonedCount += 1;
				backlogDrain.begin();
			}
		},
	});

	async function watchAbandoned(socket: Socket): Promise<void> {
		const hasLeft = await hasCallerLeft(socket);
		abandonedCount += hasLeft ? 1 : 0;
		backlogDrain.recordAccepted({hasCallerLeft: hasLeft});
	}

	server.on('connection', watchAbandoned);
	// Both are read for each new connection, in this order: Node.js closes one that exceeds the maximum without reading from
	// it, and does not read from one that is paused.
	Object.defineProperty(server, 'maxConnections', {
		get() {
			if (backlogDrain.shouldClose()) {
				nextAddress = undefined;
				return 1;
			}

			const awaiting = countAwaiting();
			nextAddress = policy.selectAddress(awaiting);
			return nextAddress !== undefined || shouldAccept(awaiting) ? undefined : 1;
		},
	});
	Object.defineProperty(server, 'pauseOnConnect', {get: () => nextAddress !== undefined});
	divertConnections(server, {
		takeAddress() {
			const address = nextAddress;
			nextAddress = undefined;
			return address;
		},
		relay: connections.relay,
	});
	const relayedServer = createServer({allowHalfOpen: true, noDelay: true}, socket => {
		acceptRelayed(socket);
		relayedHere.add(socket);
		server.emit('connection', socket);
	});
	relayedServer.on('drop', onDrop);
	Object.defineProperty(relayedServer, 'maxConnections', {get: () => shouldAccept(countAwaiting()) ? undefined : 1});

	return {
		setPolicy(next: RelayPolicy): void {
			policy = next;
		},

		/** Sets the decision whether waiting connections are closed unread, made when they wait for long or one was accepted whose caller had left. */
		setDrainPolicy(next: () => boolean): void {
			shouldDrain = next;
		},

		/** Listens for connections that other servers relay, and returns the address. */
		async listen(address: ListenAddress): Promise<string> {
			const url = await listen(relayedServer, address);
			return url.slice('http://'.length);
		},

		/** Returns true if another server relayed a connection to this one. */
		wasRelayed: (socket: Socket): boolean => relayedHere.has(socket),
		listOpen: connections.listOpen,
		resetUnanswered: connections.resetUnanswered,

		getStatistics: () => ({relayed: connections.countTotal(), abandoned: abandonedCount}),

		/** Closes all relayed connections immediately and stops listening. */
		close(): void {
			relayedServer.close();
			connections.closeAll();
		},
	};
}
