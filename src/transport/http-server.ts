/**
 * HTTP servers for callers and operators.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import restana from 'restana';
import {
	Err, Ok, createFailure, formatProblem, type Failure, type Result,
} from '../protocol/mod.js';

/** An address to listen on. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** A running HTTP server. */
export type HttpServer = {
	readonly url: string;
	/** Stops listening and closes connections; called when no request runs any more. */
	readonly close: () => Promise<void>;
	/** Ends all connections at once. */
	readonly cut: () => void;
};

/** A function that adds routes to a restana service. */
export type AddRoutes = (service: restana.Service<restana.Protocol.HTTP>) => void;

/** How long connections without a running request may stay open at a stop, in milliseconds. */
const closeBound = 500;

/** @internal */
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
 * @param address Where to listen; port 0 lets the system choose
 * @param addRoutes Adds the routes
 * @returns The running server
 * @throws When the address cannot be listened on
 */
export async function startHttpServer(address: ListenAddress, addRoutes: AddRoutes): Promise<HttpServer> {
	const server = createServer();
	const service = restana({
		server,
		prioRequestsProcessing: false,
		errorHandler(error, _request, response) {
			// An answer that has begun cannot become a failure any more; the caller sees it cut.
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendFailure(response, createFailure('internal', `The daemon failed: ${error.message}`, {ran: 'unknown'}));
		},
		defaultRoute(request, response) {
			sendFailure(response, createFailure('unknown-object', `There is nothing at "${request.url ?? ''}"`));
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
			// A balancer that asks for readiness on a kept connection would hold a stop up for good.
			const timer = setTimeout(() => {
				server.closeAllConnections();
			}, closeBound);
			await closed;
			clearTimeout(timer);
		},
		cut() {
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
 * @param response The answer; nothing may have been written to it
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
 * Sends a JSON document.
 *
 * @example
 * ```ts
 * sendJson(response, {ready: true});
 * ```
 *
 * @param response The answer
 * @param document What to send, with status 200
 */
export function sendJson(response: ServerResponse, document: unknown): void {
	response.statusCode = 200;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(document));
}

/**
 * Waits until the system has the whole of an ended answer, or its connection
 * is closed.
 *
 * What a slow caller has not read yet waits in this process. A stop that
 * closes the connection over it cuts the answer: of 32 MiB a caller that reads
 * a second late got 3.7 MiB, on loopback. `finished` and the end of the
 * handler say only that all was written; the response's `close` comes once
 * the system has it.
 *
 * @example
 * ```ts
 * response.end(text);
 * await waitUntilSent(request, response);
 * ```
 *
 * @param request The request
 * @param response Its answer
 */
export async function waitUntilSent(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {socket} = request;
	if (response.writableFinished || socket.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		const end = () => {
			response.off('close', end);
			socket.off('close', end);
			resolve();
		};

		response.on('close', end);
		// A pipelined request's answer waits for its turn on the connection; when that closes first, the answer itself tells
		// nothing, and the request would count as running for good.
		socket.on('close', end);
	});
}

/**
 * Lets the event loop read what has arrived on its connections.
 *
 * A process that falls behind, after a freeze or a cold start, reads a request
 * together with many others; that its caller closed the connection meanwhile
 * stands behind the request and is read only in the loop's next round.
 *
 * @example
 * ```ts
 * await readArrived();
 * ```
 */
export async function readArrived(): Promise<void> {
	// The first turn ends the round in which the request was read, the second the one after it.
	await nextTurn();
	await nextTurn();
}

/**
 * Reads the body of a request.
 *
 * The rest of an oversized body is read and thrown away, so that the caller
 * gets the answer and not a reset connection.
 *
 * @example
 * ```ts
 * const body = await readBody(request, 1_048_576);
 * ```
 *
 * @param request The request
 * @param limit Largest size in bytes
 * @returns The bytes, or `body-too-large`
 */
export async function readBody(request: IncomingMessage, limit: number): Promise<Result<Uint8Array, Failure>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size <= limit) {
			chunks.push(chunk);
		}
	}

	return size > limit
		? Err(createFailure('body-too-large', `The body has ${size} bytes and may have ${limit}`))
		: Ok(Buffer.concat(chunks));
}
