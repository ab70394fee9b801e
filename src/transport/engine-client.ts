/**
 * Client of a model engine: streams that can be resumed and cancelled, load
 * reports and orders.
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
	/** Silence after which a stream counts as lost, in milliseconds. */
	readonly silence: number;
};

/** A chat request to the engine. */
export type EngineCall = {
	readonly requestId: string;
	/** JSON body. */
	readonly body: string;
	readonly priority: number;
	readonly signal: AbortSignal;
};

/** One server-sent event of the engine. */
export type EngineEvent = {readonly sequence: number; readonly data: string};

const loadSchema = z.object({running: z.number(), queued: z.number(), ageMs: z.number()});

/** An engine's own load report, which lags. */
export type EngineLoad = z.infer<typeof loadSchema>;

/** Client of one engine. */
export type EngineClient = {
	/** Streams events from a sequence on; ends after `[DONE]`, throws when the stream breaks. */
	readonly stream: (call: EngineCall, fromSequence: number) => AsyncGenerator<EngineEvent, Result<undefined, Failure>>;
	readonly cancel: (requestId: string) => Promise<void>;
	readonly fetchLoad: () => Promise<EngineLoad | undefined>;
	/** Gives the engine an order; `fence` is its fencing number. */
	readonly order: (order: {action: string; value: string; fence: number}) => Promise<boolean>;
	readonly close: () => Promise<void>;
};

const okStatus = 200;
const notFoundStatus = 404;
const shortTimeout = 2000;
const doneMark = '[DONE]';

/** @internal */
async function * splitEvents(body: Readable): AsyncGenerator<EngineEvent> {
	body.setEncoding('utf8');
	let rest = '';
	let sequence = -1;
	for await (const text of body as AsyncIterable<string>) {
		rest += text;
		let end = rest.indexOf('\n\n');
		while (end >= 0) {
			const block = rest.slice(0, end);
			rest = rest.slice(end + 2);
			end = rest.indexOf('\n\n');
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
 * Tells whether an engine refused a connection: no process listens there.
 *
 * @example
 * ```ts
 * isConnectionRefused(error); // true for a connect error with the code ECONNREFUSED
 * ```
 *
 * @param error What a call threw
 * @returns True if it did
 */
export function isConnectionRefused(error: unknown): boolean {
	return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/**
 * Creates a client of an engine.
 *
 * @example
 * ```ts
 * const engine = createEngineClient({url: 'http://127.0.0.1:8000', silence: 5000});
 * ```
 *
 * @param options Address and time bound
 * @returns The client
 */
export function createEngineClient(options: CreateEngineClientOptions): EngineClient {
	const dispatcher = new Agent({
		connections: 256, bodyTimeout: options.silence, headersTimeout: options.silence, connect: {timeout: shortTimeout},
	});

	async function post(path: string, body: string): Promise<Dispatcher.ResponseData> {
		return request(`${options.url}${path}`, {
			method: 'POST', dispatcher, body, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(shortTimeout),
		});
	}

	async function explainRefusal(answer: Dispatcher.ResponseData): Promise<Failure> {
		const text = await answer.body.text();
		const lost = answer.statusCode === notFoundStatus;
		return createFailure(lost ? 'answer-cut' : 'upstream-refused', `The engine answered ${answer.statusCode}: ${text.slice(0, 200)}`, {ran: lost ? 'unknown' : 'no'});
	}

	return {
		async * stream(call, fromSequence) {
			const answer = await request(`${options.url}/v1/chat/completions`, {
				method: 'POST', dispatcher, body: call.body, signal: call.signal,
				headers: {
					'content-type': 'application/json',
					'x-request-id': call.requestId,
					'x-priority': String(call.priority),
					...fromSequence > 0 && {'last-event-id': String(fromSequence - 1)},
				},
			});
			if (answer.statusCode !== okStatus) {
				return Err(await explainRefusal(answer));
			}

			for await (const event of splitEvents(answer.body)) {
				if (event.data === doneMark) {
					return Ok(undefined);
				}

				yield event;
			}

			throw new Error('The engine ended its stream without its last event');
		},

		async cancel(requestId) {
			try {
				const answer = await post(`/v1/requests/${requestId}/cancel`, '');
				await answer.body.dump();
			} catch {
				// The engine is gone, and the request with it.
			}
		},

		async fetchLoad() {
			try {
				const answer = await request(`${options.url}/v1/load`, {dispatcher, signal: AbortSignal.timeout(shortTimeout)});
				return loadSchema.parse(await answer.body.json());
			} catch {
				return undefined;
			}
		},

		async order(order) {
			try {
				const answer = await post('/v1/orders', JSON.stringify(order));
				await answer.body.dump();
				return answer.statusCode === okStatus;
			} catch {
				return false;
			}
		},

		async close() {
			await dispatcher.destroy();
		},
	};
}
