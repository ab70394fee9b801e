/**
 * Parses the bodies of callers' requests.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	Err, Ok, chatRequestSchema, createFailure, type ChatRequest, type Failure, type Result,
} from '../protocol/mod.js';

/**
 * Parses a JSON document.
 *
 * @example
 * ```ts
 * parseJson(Buffer.from('{"booking": 1}'));
 * ```
 *
 * @param body The body of the request
 * @returns The document, or `malformed-json`
 */
export function parseJson(body: Uint8Array): Result<unknown, Failure> {
	try {
		return Ok(JSON.parse(Buffer.from(body).toString()) as unknown);
	} catch (error) {
		return Err(createFailure('malformed-json', `The body is not valid JSON: ${(error as Error).message}`));
	}
}

/**
 * Parses a chat-completions request.
 *
 * @example
 * ```ts
 * parseChat({model: 'assistant', messages: [{role: 'user', content: 'Hi'}]});
 * ```
 *
 * @param body The JSON document
 * @returns The request, or `invalid-request` with the first invalid member
 */
export function parseChat(body: unknown): Result<ChatRequest, Failure> {
	const parsed = chatRequestSchema.safeParse(body);
	if (parsed.success) {
		return Ok(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return Err(createFailure('invalid-request', `Member "${issue?.path.join('.') ?? ''}" is invalid: ${issue?.message ?? ''}`));
}
