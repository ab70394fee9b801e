/**
 * A caller of the fleet, as a proof or measurement needs it.
 *
 * @module
 */
import type {Problem} from '../../src/protocol/mod.js';

/** What a caller got. */
export type CallerAnswer = {
	readonly status: number;
	/** Text of a whole answer. */
	readonly text: string;
	readonly problem?: Problem;
	readonly retryAfter?: string;
	readonly tokens: number;
	readonly firstMs: number;
	readonly totalMs: number;
	/** True when the stream ended with `[DONE]`. */
	readonly isWhole: boolean;
};

/** Options of a call. */
export type CallOptions = {
	readonly key: string;
	readonly idempotencyKey?: string;
	/** A span with its unit, such as `10s`. */
	readonly deadline?: string;
	readonly signal?: AbortSignal;
	/** Called at the first chunk of a stream. */
	readonly onFirst?: () => void;
};

/** Options of {@linkcode askChat}. */
export type AskChatOptions = CallOptions & {
	readonly content: string;
	readonly maxTokens?: number;
	readonly stream?: boolean;
};

/** Longest wait of a caller without a signal of its own, in milliseconds. */
const callBound = 40_000;

/** @internal */
function buildHeaders(options: CallOptions): Record<string, string> {
	return {
		'content-type': 'application/json',
		authorization: `Bearer ${options.key}`,
		...options.idempotencyKey !== undefined && {'idempotency-key': options.idempotencyKey},
		...options.deadline !== undefined && {'x-deadline': options.deadline},
	};
}

type StreamOutcome = Pick<CallerAnswer, 'text' | 'problem' | 'tokens' | 'firstMs' | 'isWhole'>;

/** @internal */
async function readStream(answer: Response, startedAt: number, onFirst?: () => void): Promise<StreamOutcome> {
	let text = '';
	let problem: Problem | undefined;
	let tokens = 0;
	let firstMs = 0;
	let isWhole = false;
	let rest = '';
	const decoder = new TextDecoder();
	for await (const bytes of answer.body!) {
		if (firstMs === 0) {
			firstMs = performance.now() - startedAt;
			onFirst?.();
		}

		const blocks = (rest + decoder.decode(bytes as Uint8Array, {stream: true})).split('\n\n');
		rest = blocks.pop() ?? '';
		for (const line of blocks.flatMap(block => block.split('\n')).filter(item => item.startsWith('data: '))) {
			const data = line.slice('data: '.length);
			if (data === '[DONE]') {
				isWhole = true;
				continue;
			}

			const event = JSON.parse(data) as {error?: Problem; choices: Array<{delta?: {content?: string}}>};
			problem = event.error ?? problem;
			text += event.choices?.[0]?.delta?.content ?? '';
			tokens += event.choices?.[0]?.delta?.content ? 1 : 0;
		}
	}

	return {
		text, problem, tokens, firstMs, isWhole,
	};
}

/**
 * Asks for a chat completion.
 *
 * @example
 * ```ts
 * await askChat(entry.ready.callers, {key: 'k', content: 'answer 20'});
 * ```
 *
 * @param url An entry's address for callers
 * @param options Key, prompt and headers
 * @returns What the caller got
 * @throws When the connection breaks
 */
export async function askChat(url: string, options: AskChatOptions): Promise<CallerAnswer> {
	const startedAt = performance.now();
	const answer = await fetch(`${url}/v1/chat/completions`, {
		method: 'POST', headers: buildHeaders(options), signal: options.signal ?? AbortSignal.timeout(callBound),

		body: JSON.stringify({
			model: 'assistant',
			messages: [{role: 'user', content: options.content}],
			max_tokens: options.maxTokens ?? 40, // eslint-disable-line @typescript-eslint/naming-convention
			stream: options.stream ?? false,
		}),
	});
	const head = {status: answer.status, retryAfter: answer.headers.get('retry-after') ?? undefined};
	if (answer.ok && options.stream) {
		const outcome = await readStream(answer, startedAt, options.onFirst);
		return {...head, ...outcome, totalMs: performance.now() - startedAt};
	}

	const body = await answer.json() as {choices?: Array<{message: {content: string}}>; usage?: {total_tokens: number}};
	const totalMs = performance.now() - startedAt;
	return {
		...head, text: body.choices?.[0]?.message.content ?? '', problem: answer.ok ? undefined : body as unknown as Problem,
		tokens: body.usage?.total_tokens ?? 0, firstMs: totalMs, totalMs, isWhole: answer.ok,
	};
}

/** Options of {@linkcode bookSlot}. */
export type BookSlotOptions = CallOptions & {readonly booking: string};

/**
 * Books a slot.
 *
 * @example
 * ```ts
 * await bookSlot(entry.ready.callers, {key: 'k', booking: 'slot-1', idempotencyKey: 'slot-1'});
 * ```
 *
 * @param url An entry's address for callers
 * @param options Key, booking and headers
 * @returns What the caller got
 * @throws When the connection breaks
 */
export async function bookSlot(url: string, options: BookSlotOptions): Promise<CallerAnswer> {
	const startedAt = performance.now();
	const answer = await fetch(`${url}/v1/services/bookings`, {
		method: 'POST', headers: buildHeaders(options), signal: options.signal ?? AbortSignal.timeout(callBound), body: JSON.stringify({booking: options.booking}),
	});
	const text = await answer.text();
	const totalMs = performance.now() - startedAt;
	return {
		status: answer.status, text, problem: answer.ok ? undefined : JSON.parse(text) as Problem, retryAfter: answer.headers.get('retry-after') ?? undefined,
		tokens: 0, firstMs: totalMs, totalMs, isWhole: answer.ok,
	};
}
