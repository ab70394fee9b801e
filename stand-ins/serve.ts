/**
 * What all stand-ins share: an HTTP server on a port that the system chooses,
 * a ready line, and JSON bodies.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

/** Answers one request; returns a document to send, or undefined when it has answered itself. */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<unknown>;

/**
 * Starts a stand-in and prints its ready line.
 *
 * @example
 * ```ts
 * await serveStandIn('host-list', async () => ({hosts: []}));
 * ```
 *
 * @param name The stand-in's name
 * @param handler Answers requests
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
 * Sends a JSON document.
 *
 * @example
 * ```ts
 * sendDocument(response, 404, {error: 'unknown'});
 * ```
 *
 * @param response The answer
 * @param status HTTP status
 * @param document What to send
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
 * @returns The document; an empty object for an empty body
 */
export async function readDocument(request: IncomingMessage): Promise<Record<string, unknown>> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text ? JSON.parse(text) as Record<string, unknown> : {};
}
