/**
 * HTTP servers for callers and operators.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server as HttpServerOfNode, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import restana from 'restana';
import {createFailure, formatProblem, type Failure} from '../protocol/mod.js';
import {createByteLimits, type ByteLimits} from './byte-limits.js';
import {createConnectionTracker} from './connection-tracker.js';
import {installPipelineLimit} from './pipeline-limit.js';

/** An address to listen on. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** A running HTTP server. */
export type HttpServer = {
	readonly url: string;
	/** Stops listening and closes all connections; to be called once no request is running. */
	readonly close: () => Promise<void>;
	/** Closes all connections immediately, also those with running requests. */
	readonly closeAllConnections: () => void;
};

/** A function that adds routes to a restana service. */
export type AddRoutes = (service: restana.Service<restana.Protocol.HTTP>) => void;

/** Options of {@linkcode startHttpServer}. */
export type StartHttpServerOptions = {
	/** Requests of one connection that are served at the same time; default 8. */
	readonly maxUnanswered?: number;
	/** Account of what callers send ahead of the answers; by default one of its own. */
	readonly requestLimits?: Pick<ByteLimits, 'openHolder'>;
	/** Maximum number of open connections: beyond it, the one that has waited for its caller for longest is closed. Default none. */
	readonly maxConnections?: number;
	/** Called for each connection that is closed because of this limit. */
	readonly onEvict?: () => void;
};

/** How long `close` waits for open connections before it closes them. */
const closeTimeoutMs = 500;

/** @internal Closes a connection for each one that exceeds the maximum. */
function limitConnections(server: HttpServerOfNode, {maxConnections, onEvict}: Pick<StartHttpServerOptions, 'maxConnections' | 'onEvict'>): void {
	if (maxConnections === undefined) {
		return;
	}

	const tracker = createConnectionTracker(server);
	server.on('request', tracker.trackRequest);
	server.on('connection', () => {
		if (tracker.countOpen() > maxConnections && tracker.closeLongestWaiting()) {
			onEvict?.();
		}
	});
}

/** @internal Listens on an address and returns the server's URL. */
export async function listen(server: Server, address: ListenAddress): Promise<string> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	const host = address.host.includes(':') ? `[${address.host}]` : address.host;
	return `http://${host}:${port}`;
}

/**
 * Starts an HTTP server.
 *
 * @example
 * ```ts
 * const server = await startHttpServer({host: '127.0.0.1', port: 0}, service => {
 * 	service.get('/healthz', (request, response) => response.send('ok'));
 * });
 * ```
 *
 * @param address Where to listen; with port 0 the system picks a free port
 * @param addRoutes Adds the routes
 * @param options The limits on requests and connections
 * @returns The running server
 * @throws {Error} If the server cannot listen on the address
 */
export async function startHttpServer(address: ListenAddress, addRoutes: AddRoutes, options: StartHttpServerOptions = {}): Promise<HttpServer> {
	const {maxUnanswered, requestLimits = createByteLimits()} = options;
	const server = createServer();
	installPipelineLimit(server, {maxUnanswered, limits: requestLimits});
	limitConnections(server, options);
	const service = restana({
		server,
		prioRequestsProcessing: false,
		errorHandler(error, _request, response) {
			// The status line is already sent, so the failure can only be signalled by truncating the response.
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendFailure(response, createFailure('internal', `Internal error in the daemon: ${error.message}`, {ran: 'unknown'}));
		},
		defaultRoute(request, response) {
			sendFailure(response, createFailure('unknown-object', `No route matches "${request.url ?? ''}"`));
		},
	});
	addRoutes(service);
	const url = await listen(server, address);
	return {
		url,
		async close() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			server.closeIdleConnections();
			// A load balancer that polls readiness over a keep-alive connection would otherwise block the stop forever.
			const timer = setTimeout(() => {
				server.closeAllConnections();
			}, closeTimeoutMs);
			await closed;
			clearTimeout(timer);
		},
		closeAllConnections() {
			server.closeAllConnections();
		},
	};
}

/**
 * Sends a failure as `application/problem+json`.
 *
 * @example
 * ```ts
 * sendFailure(response, createFailure('overloaded', 'All 4 upstreams are full', {retryAfterMs: 2000}));
 * ```
 *
 * @param response The response; nothing may have been written to it
 * @param failure The failure
 */
export function sendFailure(response: ServerResponse, failure: Failure): void {
	const problem = formatProblem(failure);
	response.statusCode = problem.status;
	response.setHeader('content-type', 'application/problem+json');
	if (problem.retryAfterSeconds !== undefined) {
		response.setHeader('retry-after', String(problem.retryAfterSeconds));
	}

	response.end(JSON.stringify(problem));
}

/**
 * Sends a JSON document with status 200.
 *
 * @example
 * ```ts
 * sendJson(response, {ready: true});
 * ```
 *
 * @param response The response; nothing may have been written to it
 * @param document The document to send
 */
export function sendJson(response: ServerResponse, document: unknown): void {
	response.statusCode = 200;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(document));
}

/**
 * Waits until an ended response has been handed to the operating system
 * completely, or until its connection is closed.
 *
 * Data that a slow caller has not read yet is buffered in this process, and is
 * lost if a stop closes the connection: a caller on loopback that started to
 * read one second late received 3.7 MiB of a 32 MiB response. The end of the
 * handler and `finished` mean only that everything was written to the buffer;
 * the response emits `close` once the system has accepted all of it.
 *
 * @example
 * ```ts
 * response.end(text);
 * await waitUntilSent(request, response);
 * ```
 *
 * @param request The request
 * @param response The response to it
 */
export async function waitUntilSent(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {socket} = request;
	if (response.writableFinished || socket.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			response.off('close', finish);
			socket.off('close', finish);
			resolve();
		};

		response.on('close', finish);
		// The response to a pipelined request is queued behind earlier ones. If the connection closes before its turn, the
		// response emits no event, and the request would be counted as running forever.
		socket.on('close', finish);
	});
}

/**
 * Lets the event loop process pending input on its connections.
 *
 * After a stall or a cold start a process reads many requests in one iteration
 * of the event loop. If a caller has closed its connection in the meantime, that
 * is noticed only in the next iteration.
 *
 * @example
 * ```ts
 * await readPendingInput();
 * ```
 */
export async function readPendingInput(): Promise<void> {
	// The first await ends the iteration in which the request was read, the second the one after it.
	await nextTurn();
	await nextTurn();
}
