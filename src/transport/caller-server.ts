/**
 * The HTTP server that a gateway's callers reach.
 *
 * @module
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import restana from 'restana';
import type {CallerLimits} from '../protocol/mod.js';
import {createConnectionRegister} from './connection-register.js';
import {listen, type ListenAddress} from './http-server.js';

/** Answers one request of a caller. */
export type ServeCaller = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** A running server for callers. */
export type CallerServer = {
	readonly url: string;
	/** Puts the limits of a deployment in force for new requests. */
	readonly setLimits: (limits: CallerLimits) => void;
	/** Answers ask callers to close their connections from now on. */
	readonly leave: () => void;
	/**
	 * Closes the connections that are idle, and others after their answer; returns how many are open. New ones are still
	 * accepted, so that their callers get an answer and not a refused connection.
	 */
	readonly drain: () => number;
	/** Ends all connections at once and accepts no more. */
	readonly cut: () => void;
	/** Connections that are open, those ever accepted, and requests ever begun on them. */
	readonly countWork: () => CallerWork;
};

/** What callers have asked of a server. */
export type CallerWork = {readonly open: number; readonly connections: number; readonly requests: number};

/** Callers reuse a connection up to their own idle limit; closing it later than that crosses no request. */
const idleReserve = 1000;
/** How often timeouts of connections are looked at, in milliseconds. */
const checkEvery = 1000;
/** Largest headers before a deployment's limit is known, in bytes. */
const headerLimit = 65_536;

/**
 * @internal Asks the caller to close its connection after an answer. A caller
 * that sends its next request without waiting for the answer before gets both
 * only if the last one asks, since the connection closes after the one that
 * does. Returns false if it is too late for that: the request is then not
 * served, as its answer would be thrown away.
 */
function askToClose(response: ServerResponse, before: ServerResponse | undefined): boolean {
	if (before?.getHeader('connection') === 'close') {
		if (before.headersSent) {
			return false;
		}

		before.removeHeader('connection');
	}

	response.setHeader('connection', 'close');
	return true;
}

/**
 * Starts the server.
 *
 * @example
 * ```ts
 * const server = await startCallerServer({host: '127.0.0.1', port: 0}, async (request, response) => {
 * 	response.end('ok');
 * });
 * ```
 *
 * @param address Where to listen
 * @param serve Answers requests; never rejects
 * @returns The running server
 * @throws When the address cannot be listened on
 */
export async function startCallerServer(address: ListenAddress, serve: ServeCaller): Promise<CallerServer> {
	const server = createServer({
		requestTimeout: 0, connectionsCheckingInterval: checkEvery, maxHeaderSize: headerLimit, noDelay: true,
	});
	const connections = createConnectionRegister(server);
	let isLeaving = false;
	let isDraining = false;
	let requests = 0;
	restana({
		server,
		prioRequestsProcessing: false,
		defaultRoute(request, response) {
			requests += 1;
			const before = connections.noteRequest(request, response);
			if (isLeaving && !askToClose(response, before)) {
				return;
			}

			// An answer that began before the stop promised to keep its connection. Its caller would send the next request
			// to a gateway that has little time left, so the connection is closed while it is idle.
			response.on('close', () => {
				if (isDraining) {
					setImmediate(connections.closeIfIdle, request.socket);
				}
			});
			void serve(request, response);
		},
	});
	const url = await listen(server, address);
	return {
		url,
		setLimits(limits) {
			server.headersTimeout = limits.headerTimeout;
			server.keepAliveTimeout = limits.idleTimeout + idleReserve;
		},
		leave() {
			isLeaving = true;
		},
		drain() {
			isLeaving = true;
			isDraining = true;
			connections.closeIdle();
			return connections.count();
		},
		cut() {
			server.close();
			server.closeAllConnections();
		},
		countWork: () => ({open: connections.count(), connections: connections.countAccepted(), requests}),
	};
}
