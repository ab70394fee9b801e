/**
 * The chat-completions interface, as far as it is served.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';

/** The largest `max_tokens` that is taken seriously. */
export const absurdMaxTokens = 1_000_000;

const contentSchema = z.union([z.string(), z.array(z.looseObject({type: z.string()}))]);

/** Schema of a chat-completions request; unknown members go through to the engine. */
export const chatRequestSchema = z.looseObject({
	/* eslint-disable @typescript-eslint/naming-convention */
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema.nullish()})).min(1),
	max_tokens: z.number().int().positive().max(absurdMaxTokens).nullish(),
	max_completion_tokens: z.number().int().positive().max(absurdMaxTokens).nullish(),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
	n: z.literal(1).nullish(),
	/* eslint-enable @typescript-eslint/naming-convention */
});

/** A chat-completions request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** Schema of the count of tokens in an answer. */
export const usageSchema = z.object({
	/* eslint-disable @typescript-eslint/naming-convention */
	prompt_tokens: z.number(),
	completion_tokens: z.number(),
	total_tokens: z.number(),
	/* eslint-enable @typescript-eslint/naming-convention */
});

/** The count of tokens in an answer. */
export type Usage = z.infer<typeof usageSchema>;

/** Schema of one streamed event of an engine. */
export const chatChunkSchema = z.looseObject({
	/* eslint-disable @typescript-eslint/naming-convention */
	choices: z.array(z.looseObject({
		delta: z.looseObject({content: z.string().nullish()}).optional(),
		finish_reason: z.string().nullish(),
	})),
	usage: usageSchema.nullish(),
	/* eslint-enable @typescript-eslint/naming-convention */
});

const messageFrameTokens = 8;
const requestFrameTokens = 16;

/**
 * Computes an upper bound of a prompt's tokens.
 *
 * A token of a byte-level vocabulary covers at least one byte, so the bytes of
 * all messages, with an allowance for each message's frame, cannot be passed.
 *
 * @example
 * ```ts
 * boundPromptTokens({model: 'm', messages: [{role: 'user', content: 'Hi'}]}); // 36
 * ```
 *
 * @param request The request
 * @returns Tokens that the prompt cannot exceed
 */
export function boundPromptTokens(request: ChatRequest): number {
	let bound = requestFrameTokens;
	for (const message of request.messages) {
		const text = typeof message.content === 'string' ? message.content : JSON.stringify(message.content ?? '');
		bound += Buffer.byteLength(text) + Buffer.byteLength(message.role) + messageFrameTokens;
	}

	return bound;
}
