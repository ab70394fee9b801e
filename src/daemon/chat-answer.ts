/**
 * Turns an engine's events into what a caller of the chat-completions
 * interface expects.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {chatChunkSchema, type Usage} from '../protocol/mod.js';
import type {AnswerEnd} from '../state/mod.js';

/** One streamed event, parsed. */
export type ChatChunk = ReturnType<typeof parseChunk>;

/** Options of {@linkcode formatStreamEvent}. */
export type FormatStreamEventOptions = {
	/** True when the caller asked for usage in its stream. */
	readonly wantsUsage: boolean;
};

/**
 * Parses one chunk of an answer.
 *
 * @example
 * ```ts
 * parseChunk(Buffer.from('{"choices": []}')).choices.length; // 0
 * ```
 *
 * @param chunk Bytes of one engine event
 * @returns The event
 */
export function parseChunk(chunk: Uint8Array) {
	return chatChunkSchema.parse(JSON.parse(Buffer.from(chunk).toString()));
}

/**
 * Formats one event for a streaming caller.
 *
 * @example
 * ```ts
 * formatStreamEvent(chunk, {wantsUsage: false}); // 'data: {…}\n\n'
 * ```
 *
 * @param chunk The engine's event
 * @param options Whether usage is wanted
 * @returns Server-sent event text, or undefined when the event is not for the caller
 */
export function formatStreamEvent(chunk: ChatChunk, options: FormatStreamEventOptions): string | undefined {
	const isUsageOnly = chunk.choices.length === 0;
	if (isUsageOnly && !options.wantsUsage) {
		return undefined;
	}

	// The engine is asked for usage on each event, to bill a cut stream; callers expect it on the last one only.
	const event = isUsageOnly ? chunk : {...chunk, usage: undefined};
	return `data: ${JSON.stringify(event)}\n\n`;
}

/**
 * Counts the tokens of an answer.
 *
 * @example
 * ```ts
 * countUsage(end).total_tokens;
 * ```
 *
 * @param end The answer's end
 * @returns Usage as callers receive it
 */
export function countUsage(end: AnswerEnd): Usage {
	return {
		/* eslint-disable @typescript-eslint/naming-convention */
		prompt_tokens: end.promptTokens,
		completion_tokens: end.completionTokens,
		total_tokens: end.promptTokens + end.completionTokens,
		/* eslint-enable @typescript-eslint/naming-convention */
	};
}

/** What identifies an answer. */
export type AnswerHead = {readonly id: string; readonly model: string};

/**
 * Formats a whole answer for a caller that does not stream.
 *
 * @example
 * ```ts
 * formatCompletion({id, model}, chunks, end);
 * ```
 *
 * @param head The answer's identity and model
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
		usage: countUsage(end),
	};
}
