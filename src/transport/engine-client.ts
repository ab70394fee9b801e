/**
 * HTTP client of a model engine: resumable and cancellable streams, load reports
 * and orders.
 *
 * @module
 */
import type {Readable} from 'node:stream';
import {Agent, request, type Dispatcher} from 'undici';
import * as z from 'zod';
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';

/** Options of {@linkcode createEngineClient}. */
export type CreateEngineClientOptions = {
	readonly url: string;
	/** Time without data after which a stream fails, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** A chat request to the engine. */
export type EngineCall = {
	readonly requestId: string;
	/** JSON body. */
	readonly body: string;
	readonly priority: number;
	readonly signal: AbortSignal;
};

/** A server-sent event of the engine. */
export type EngineEvent = {readonly sequence: number; readonly data: string};

const loadSchema = z.object({running: z.number(), queued: z.number(), ageMs: z.number()});

/** The engine's own load report, which is out of date by `ageMs`. */
export type EngineLoad = z.infer<typeof loadSchema>;

/** Client of one engine. */
export type EngineClient = {
	/** Streams events from a sequence number on; ends at `[DONE]` and throws if the stream breaks off before that. */
	readonly stream: (call: EngineCall, fromSequence: number) => AsyncGenerator<EngineEvent, Result<undefined, Failure>>;
	readonly cancel: (requestId: string) => Promise<void>;
	readonly fetchLoad: () => Promise<EngineLoad | undefined>;
	/** Sends an order to the engine; `fence` is its fencing token. */
	readonly sendOrder: (order: {action: string; value: string; fence: number}) => Promise<boolean>;
	readonly close: () => Promise<void>;
};

const okStatus = 200;
const notFoundStatus = 404;
const requestTimeoutMs = 2000;
const doneMarker = '[DONE]';

/** @internal Parses server-sent events. */
async function * parseEvents(body: Readable): AsyncGenerator<EngineEvent> {
	body.setEncoding('utf8');
	let buffer = '';
	let sequence = -1;
	for await (const text of body as AsyncIterable<string>) {
		buffer += text;
		let end = buffer.indexOf('\n\n');
		while (end >= 0) {
			const block = buffer.slice(0, end);
			buffer = buffer.slice(end + 2);
			end = buffer.indexOf('\n\n');
			for (const line of block.split('\n')) {
				if (line.startsWith('id:')) {
					sequence = Number(line.slice(3));
				} else if (line.startsWith('data:')) {
					yield {sequence, data: line.slice(5).trim()};
				}
			}
		}
	}
}

/**
 * Returns whether a connection to an engine was refused, which means that no
 * process listens at its address.
 *
 * @example
 * ```ts
 * isConnectionRefused(error); // true for a connect error with the code ECONNREFUSED
 * ```
 *
 * @param error The error thrown by a call
 * @returns True if the connection was refused
 */
export function isConnectionRefused(error: unknown): boolean {
	return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/**
 * Creates a client for an engine.
 *
 * @example
 * ```ts
 * const engine = createEngineClient({url: 'http://127.0.0.1:8000', idleTimeoutMs: 5000});
 * ```
 *
 * @param options URL and timeout
 * @returns The client
 */
export function createEngineClient(options: CreateEngineClientOptions): EngineClient {
	const dispatcher = new Agent({
		connections: 256, bodyTimeout: options.idleTimeoutMs, headersTimeout: options.idleTimeoutMs, connect: {timeout: requestTimeoutMs},
	});

	async function post(path: string, body: string): Promise<Dispatcher.ResponseData> {
		return request(`${options.url}${path}`, {
			method: 'POST', dispatcher, body, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(requestTimeoutMs),
		});
	}

	async function readRefusal(response: Dispatcher.ResponseData): Promise<Failure> {
		const text = await response.body.text();
		const isNotFound = response.statusCode === notFoundStatus;
		return createFailure(isNotFound ? 'answer-cut' : 'upstream-refused', `The engine responded with status ${response.statusCode}: ${text.slice(0, 200)}`, {ran: isNotFound ? 'unknown' : 'no'});
	}

	return {
		async * stream(call, fromSequence) {
			const response = await request(`${options.url}/v1/chat/completions`, {
				method: 'POST', dispatcher, body: call.body, signal: call.signal,
				headers: {
					'content-type': 'application/json',
					'x-request-id': call.requestId,
					'x-priority': String(call.priority),
					...fromSequence > 0 && {'last-event-id': String(fromSequence - 1)},
				},
			});
			if (response.statusCode !== okStatus) {
				return Err(await readRefusal(response));
			}

			for await (const event of parseEvents(response.body)) {
				if (event.data === doneMarker) {
					return Ok(undefined);
				}

				yield event;
			}

			throw new Error('The engine closed its stream before the [DONE] event');
		},

		async cancel(requestId) {
			try {
				const response = await post(`/v1/requests/${requestId}/cancel`, '');
				await response.body.dump();
			} catch {
				// The engine cannot be reached; if its process has exited, the request ended with it.
			}
		},

		async fetchLoad() {
			try {
				const response = await request(`${options.url}/v1/load`, {dispatcher, signal: AbortSignal.timeout(requestTimeoutMs)});
				return loadSchema.parse(await response.body.json());
			} catch {
				return undefined;
			}
		},

		async sendOrder(order) {
			try {
				const response = await post('/v1/orders', JSON.stringify(order));
				await response.body.dump();
				return response.statusCode === okStatus;
			} catch {
				return false;
			}
		},

		async close() {
			await dispatcher.destroy();
		},
	};
}
