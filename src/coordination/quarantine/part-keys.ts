/**
 * Identifies the parts of prompts that several requests may share.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import type {GenerationParameters, UpstreamRegistration} from '../../protocol/mod.js';

/** A part of a prompt, as one model of a service reads it. */
export type PartKey = {
	/** Digest of the part, the model and the service. */
	readonly digest: string;
	/** The part's ID as sent by the caller. */
	readonly id: string;
};

/** Length of a digest in base64url characters; 22 of them hold 128 bits. */
const digestLength = 22;
/** Maximum number of parts in one log line. */
const maxLoggedParts = 8;

/**
 * Lists the parts of a prompt that other requests may contain too: all but the
 * last, which belongs to the request or its session.
 *
 * @example
 * ```ts
 * listPartKeys('assistant', {model: 'm', promptTokens: 30, maxOutputTokens: 8, parts: [{id: 'a', tokens: 20}, {id: 'b', tokens: 10}]}).map(({id}) => id); // ['a']
 * ```
 *
 * @param service ID of the service
 * @param generation Parameters of the request; undefined if it has no prompt
 * @returns The parts, each once
 */
export function listPartKeys(service: string, generation: GenerationParameters | undefined): PartKey[] {
	const ids = new Set(generation?.parts.slice(0, -1).map(({id}) => id));
	return [...ids].map(id => ({
		id, digest: createHash('sha256').update(JSON.stringify([service, generation?.model, id])).digest('base64url').slice(0, digestLength),
	}));
}

/**
 * Formats the IDs of parts for log events.
 *
 * @example
 * ```ts
 * formatPartIds([{id: 'a', digest: '9c41d07b'}, {id: 'b', digest: '1f3a77c2'}]); // 'a b'
 * ```
 *
 * @param parts The parts
 * @returns The IDs of the first ones; undefined if there are none
 */
export function formatPartIds(parts: readonly PartKey[]): string | undefined {
	return parts.length > 0 ? parts.slice(0, maxLoggedParts).map(({id}) => id).join(' ') : undefined;
}

/**
 * Computes a number that identifies one start of an upstream, the same at all
 * gateways.
 *
 * @example
 * ```ts
 * computeStartKey({id: 'i-7', startedAt: 1_700_000_000_000});
 * ```
 *
 * @param upstream ID of the upstream and, if it says so, the time of its start
 * @returns An unsigned number of 32 bits
 */
export function computeStartKey({id, startedAt}: Pick<UpstreamRegistration, 'id' | 'startedAt'>): number {
	return createHash('sha256').update(JSON.stringify([id, startedAt])).digest().readUInt32BE(0);
}
