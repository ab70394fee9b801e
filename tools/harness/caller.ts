/**
 * Client for the fleet's caller API, for the proofs, the measurements and the demo.
 *
 * @module
 */
import type {Problem} from '../../src/protocol/mod.js';

/** A response as a caller received it. */
export type CallerResponse = {
	readonly status: number;
	/** Generated text of a chat completion, or the response body of a booking. */
	readonly text: string;
	readonly problem?: Problem;
	readonly retryAfter?: string;
	readonly tokens: number;
	readonly firstMs: number;
	readonly totalMs: number;
	/** True if the response succeeded and, for a stream, ended with `[DONE]`. */
	readonly isWhole: boolean;
};

/** Options that all calls have in common. */
export type CallOptions = {
	readonly key: string;
	readonly idempotencyKey?: string;
	/** A duration with its unit, such as `10s`. */
	readonly deadline?: string;
	readonly signal?: AbortSignal;
	/** Called when the first chunk of a stream arrives. */
	readonly onFirstChunk?: () => void;
};

/** Options of {@linkcode requestChat}. */
export type RequestChatOptions = CallOptions & {
	readonly content: string;
	readonly maxTokens?: number;
	readonly stream?: boolean;
};

/** Timeout of calls without a signal. */
const callTimeoutMs = 40_000;

/** @internal */
function buildHeaders(options: CallOptions): Record<string, string> {
	return {
		'content-type': 'application/json',
		authorization: `Bearer ${options.key}`,
		...options.idempotencyKey !== undefined && {'idempotency-key': options.idempotencyKey},
		...options.deadline !== undefined && {'x-deadline': options.deadline},
	};
}

type StreamOutcome = Pick<CallerResponse, 'text' | 'problem' | 'tokens' | 'firstMs' | 'isWhole'>;

/** @internal */
async function readStream(response: Response, startedAt: number, onFirstChunk?: () => void): Promise<StreamOutcome> {
	let text = '';
	let problem: Problem | undefined;
	let tokens = 0;
	let firstMs = 0;
	let isComplete = false;
	let remaining = '';
	const decoder = new TextDecoder();
	for await (const bytes of response.body!) {
		if (firstMs === 0) {
			firstMs = performance.now() - startedAt;
			onFirstChunk?.();
		}

		const blocks = (remaining + decoder.decode(bytes as Uint8Array, {stream: true})).split('\n\n');
		remaining = blocks.pop() ?? '';
		for (const line of blocks.flatMap(block => block.split('\n')).filter(item => item.startsWith('data: '))) {
			const data = line.slice('data: '.length);
			if (data === '[DONE]') {
				isComplete = true;
				continue;
			}

			const event = JSON.parse(data) as {error?: Problem; choices: Array<{delta?: {content?: string}}>};
			problem = event.error ?? problem;
			text += event.choices?.[0]?.delta?.content ?? '';
			tokens += event.choices?.[0]?.delta?.content ? 1 : 0;
		}
	}

	return {
		text, problem, tokens, firstMs, isWhole: isComplete,
	};
}

/**
 * Requests a chat completion.
 *
 * @example
 * ```ts
 * await requestChat(entry.ready.callers, {key: 'k', content: 'answer 20'});
 * ```
 *
 * @param url The caller URL of an entry daemon
 * @param options Key, prompt and headers
 * @returns The response
 * @throws If the connection fails or the call times out
 */
export async function requestChat(url: string, options: RequestChatOptions): Promise<CallerResponse> {
	const startedAt = performance.now();
	const response = await fetch(`${url}/v1/chat/completions`, {
		method: 'POST', headers: buildHeaders(options), signal: options.signal ?? AbortSignal.timeout(callTimeoutMs),

		body: JSON.stringify({
			model: 'assistant',
			messages: [{role: 'user', content: options.content}],
			max_tokens: options.maxTokens ?? 40, // eslint-disable-line @typescript-eslint/naming-convention
			stream: options.stream ?? false,
		}),
	});
	const head = {status: response.status, retryAfter: response.headers.get('retry-after') ?? undefined};
	if (response.ok && options.stream) {
		const outcome = await readStream(response, startedAt, options.onFirstChunk);
		return {...head, ...outcome, totalMs: performance.now() - startedAt};
	}

	const body = await response.json() as {choices?: Array<{message: {content: string}}>; usage?: {total_tokens: number}};
	const totalMs = performance.now() - startedAt;
	return {
		...head, text: body.choices?.[0]?.message.content ?? '', problem: response.ok ? undefined : body as unknown as Problem,
		tokens: body.usage?.total_tokens ?? 0, firstMs: totalMs, totalMs, isWhole: response.ok,
	};
}

/** Options of {@linkcode bookSlot}. */
export type BookSlotOptions = CallOptions & {readonly booking: string};

/**
 * Books a slot at the service `bookings`.
 *
 * @example
 * ```ts
 * await bookSlot(entry.ready.callers, {key: 'k', booking: 'slot-1', idempotencyKey: 'slot-1'});
 * ```
 *
 * @param url The caller URL of an entry daemon
 * @param options Key, booking and headers
 * @returns The response
 * @throws If the connection fails or the call times out
 */
export async function bookSlot(url: string, options: BookSlotOptions): Promise<CallerResponse> {
	const startedAt = performance.now();
	const response = await fetch(`${url}/v1/services/bookings`, {
		method: 'POST', headers: buildHeaders(options), signal: options.signal ?? AbortSignal.timeout(callTimeoutMs), body: JSON.stringify({booking: options.booking}),
	});
	const text = await response.text();
	const totalMs = performance.now() - startedAt;
	return {
		status: response.status, text, problem: response.ok ? undefined : JSON.parse(text) as Problem, retryAfter: response.headers.get('retry-after') ?? undefined,
		tokens: 0, firstMs: totalMs, totalMs, isWhole: response.ok,
	};
}
