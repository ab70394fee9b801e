/**
 * The supported part of the chat-completions interface.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';

/** The largest `max_tokens` that a request may specify. */
export const maxTokensLimit = 1_000_000;

const contentSchema = z.union([z.string(), z.array(z.looseObject({type: z.string()}))]);

/** Schema of a chat-completions request. Unknown fields are passed on to the engine. */
export const chatRequestSchema = z.looseObject({
	/* eslint-disable @typescript-eslint/naming-convention */
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: contentSchema.nullish()})).min(1),
	max_tokens: z.number().int().positive().max(maxTokensLimit).nullish(),
	max_completion_tokens: z.number().int().positive().max(maxTokensLimit).nullish(),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
	n: z.literal(1).nullish(),
	/* eslint-enable @typescript-eslint/naming-convention */
});

/** A chat-completions request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** Schema of the token usage reported with an answer. */
export const usageSchema = z.object({
	/* eslint-disable @typescript-eslint/naming-convention */
	prompt_tokens: z.number(),
	completion_tokens: z.number(),
	total_tokens: z.number(),
	/* eslint-enable @typescript-eslint/naming-convention */
});

/** The token usage reported with an answer. */
export type Usage = z.infer<typeof usageSchema>;

/** Schema of one event of a streamed answer. */
export const chatChunkSchema = z.looseObject({
	/* eslint-disable @typescript-eslint/naming-convention */
	choices: z.array(z.looseObject({
		delta: z.looseObject({content: z.string().nullish()}).optional(),
		finish_reason: z.string().nullish(),
	})),
	usage: usageSchema.nullish(),
	/* eslint-enable @typescript-eslint/naming-convention */
});

/** Allowance for the markup that a chat template adds to each message. */
const messageOverheadTokens = 8;
/** Allowance for the markup that a chat template adds to the whole prompt. */
const requestOverheadTokens = 16;

/**
 * Computes an upper bound on the number of tokens in a prompt.
 *
 * A token of a byte-level vocabulary covers at least one byte, so the number of
 * tokens cannot exceed the total bytes of all messages plus an allowance for the
 * markup around each message.
 *
 * @example
 * ```ts
 * computeMaxPromptTokens({model: 'm', messages: [{role: 'user', content: 'Hi'}]}); // 36
 * ```
 *
 * @param request The request
 * @returns The upper bound, in tokens
 */
export function computeMaxPromptTokens(request: ChatRequest): number {
	let bound = requestOverheadTokens;
	for (const message of request.messages) {
		const text = typeof message.content === 'string' ? message.content : JSON.stringify(message.content ?? '');
		bound += Buffer.byteLength(text) + Buffer.byteLength(message.role) + messageOverheadTokens;
	}

	return bound;
}
