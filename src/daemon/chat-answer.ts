/**
 * Converts an engine's events to responses of the chat-completions interface.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {chatChunkSchema, type Usage} from '../protocol/mod.js';
import type {AnswerEnd} from '../state/mod.js';

/** A parsed event of an engine's stream. */
export type ChatChunk = ReturnType<typeof parseChunk>;

/** Options of {@linkcode formatStreamEvent}. */
export type FormatStreamEventOptions = {
	/** True if the caller requested usage in its stream. */
	readonly shouldIncludeUsage: boolean;
};

/**
 * Parses one chunk of an answer.
 *
 * @example
 * ```ts
 * parseChunk(Buffer.from('{"choices": []}')).choices.length; // 0
 * ```
 *
 * @param chunk Bytes of one event
 * @returns The event
 */
export function parseChunk(chunk: Uint8Array) {
	return chatChunkSchema.parse(JSON.parse(Buffer.from(chunk).toString()));
}

/**
 * Formats one event for a caller that streams.
 *
 * @example
 * ```ts
 * formatStreamEvent(chunk, {shouldIncludeUsage: false}); // 'data: {…}\n\n'
 * ```
 *
 * @param chunk The engine's event
 * @param options Whether usage is included
 * @returns Text of a server-sent event, or undefined if the event is not sent to the caller
 */
export function formatStreamEvent(chunk: ChatChunk, options: FormatStreamEventOptions): string | undefined {
	const isUsageOnly = chunk.choices.length === 0;
	if (isUsageOnly && !options.shouldIncludeUsage) {
		return undefined;
	}

	// The engine sends usage with each event, so that a truncated stream can be billed. Callers expect it only in the last event.
	const event = isUsageOnly ? chunk : {...chunk, usage: undefined};
	return `data: ${JSON.stringify(event)}\n\n`;
}

/**
 * Formats the token counts of an answer.
 *
 * @example
 * ```ts
 * formatUsage(end).total_tokens;
 * ```
 *
 * @param end The answer's end
 * @returns Usage in the format of the chat-completions interface
 */
export function formatUsage(end: AnswerEnd): Usage {
	return {
		/* eslint-disable @typescript-eslint/naming-convention */
		prompt_tokens: end.promptTokens,
		completion_tokens: end.completionTokens,
		total_tokens: end.promptTokens + end.completionTokens,
		/* eslint-enable @typescript-eslint/naming-convention */
	};
}

/** ID and model of an answer. */
export type AnswerHead = {readonly id: string; readonly model: string};

/**
 * Formats a complete answer for a caller that does not stream.
 *
 * @example
 * ```ts
 * formatCompletion({id, model}, {chunks, end});
 * ```
 *
 * @param head The answer's ID and model
 * @param chunks All events of the engine
 * @param end The answer's end
 * @returns The chat completion
 */
export function formatCompletion(head: AnswerHead, {chunks, end}: {readonly chunks: readonly ChatChunk[]; readonly end: AnswerEnd}): unknown {
	const content = chunks.map(chunk => chunk.choices[0]?.delta?.content ?? '').join('');
	return {
		id: `chatcmpl-${head.id}`,
		object: 'chat.completion',
		created: Math.floor(Date.now() / 1000),
		model: head.model,
		choices: [{
			index: 0,
			message: {role: 'assistant', content},
			// eslint-disable-next-line @typescript-eslint/naming-convention
			finish_reason: end.finishReason,
		}],
		usage: formatUsage(end),
	};
}
