/**
 * The token limit of a model request.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const limitFields = ['max_tokens', 'max_completion_tokens'] as const;

/**
 * Reads the largest number of completion tokens that a request allows.
 *
 * An engine that generates more would cost more than was reserved, so the model
 * runner stops at this number even if the engine does not.
 *
 * @example
 * ```ts
 * readMaxTokens(Buffer.from('{"max_tokens": 40}')); // 40
 * ```
 *
 * @param payload The request body as JSON
 * @returns The limit in tokens; `Number.MAX_SAFE_INTEGER` if the request has none
 */
export function readMaxTokens(payload: Uint8Array): number {
	const body = JSON.parse(Buffer.from(payload).toString()) as Record<string, unknown>;
	const limit = limitFields.map(member => body[member]).find(value => typeof value === 'number');
	return limit ?? Number.MAX_SAFE_INTEGER;
}
