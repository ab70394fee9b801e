/**
 * The limit that an engine was given.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

const limitMembers = ['max_tokens', 'max_completion_tokens'] as const;

/**
 * Reads the longest answer that a request allows.
 *
 * An engine that generates past it would spend more than was reserved; the
 * runner stops at this number whatever the engine does.
 *
 * @example
 * ```ts
 * readLimit(Buffer.from('{"max_tokens": 40}')); // 40
 * ```
 *
 * @param payload The request's JSON
 * @returns Tokens; unlimited when the request names no limit
 */
export function readLimit(payload: Uint8Array): number {
	const body = JSON.parse(Buffer.from(payload).toString()) as Record<string, unknown>;
	const limit = limitMembers.map(member => body[member]).find(value => typeof value === 'number');
	return limit ?? Number.MAX_SAFE_INTEGER;
}
