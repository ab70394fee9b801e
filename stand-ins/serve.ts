/**
 * Shared code of the stand-ins: an HTTP server on a port assigned by the
 * operating system, a ready line on standard output, and JSON bodies.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

/** Handles a request. Returns a document to send, or undefined if the handler has responded itself. */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<unknown>;

/**
 * Starts the server of a stand-in and prints the ready line.
 *
 * @example
 * ```ts
 * await serveStandIn('host-list', async () => ({hosts: []}));
 * ```
 *
 * @param name Name of the stand-in in the ready line
 * @param handler Handles each request; an error is sent with status 500
 */
export async function serveStandIn(name: string, handler: StandInHandler): Promise<void> {
	const server = createServer(async (request, response) => {
		try {
			const document = await handler(request, response, new URL(request.url ?? '/', 'http://stand-in'));
			if (document !== undefined) {
				sendDocument(response, 200, document);
			}
		} catch (error) {
			sendDocument(response, 500, {error: (error as Error).message});
		}
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({ready: name, pid: process.pid, url: `http://127.0.0.1:${port}`})}\n`);
	process.on('SIGTERM', () => {
		process.exit(0);
	});
	process.on('SIGINT', () => {
		process.exit(0);
	});
}

/**
 * Sends a JSON document and ends the response.
 *
 * @example
 * ```ts
 * sendDocument(response, 404, {error: 'unknown'});
 * ```
 *
 * @param response The response to send
 * @param status HTTP status code
 * @param document Document to serialise as JSON
 */
export function sendDocument(response: ServerResponse, status: number, document: unknown): void {
	if (!response.headersSent) {
		response.writeHead(status, {'content-type': 'application/json'});
	}

	response.end(JSON.stringify(document));
}

/**
 * Reads a JSON body.
 *
 * @example
 * ```ts
 * const body = await readDocument(request);
 * ```
 *
 * @param request The request
 * @returns The parsed document; an empty object if the body is empty
 */
export async function readDocument(request: IncomingMessage): Promise<Record<string, unknown>> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text ? JSON.parse(text) as Record<string, unknown> : {};
}
