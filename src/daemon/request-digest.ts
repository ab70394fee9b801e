/**
 * What makes a request the same as an earlier one.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** The parts of a request that decide what an upstream runs. */
export type DigestedRequest = {
	readonly host: string | undefined;
	readonly method: string | undefined;
	/** Path with query. */
	readonly path: string | undefined;
	readonly customer: string | undefined;
	readonly body: Uint8Array;
};

/** Characters of a digest: 128 bits. */
const digestLength = 22;

/**
 * Computes a digest that a request shares with its repeats, whoever receives
 * them: ids, time limits and other headers differ from one to the next.
 *
 * @example
 * ```ts
 * computeRequestDigest({host: 'callers.example', method: 'POST', path: '/holds/1', customer: 'city-1', body});
 * ```
 *
 * @param request Its parts
 * @returns The digest
 */
export function computeRequestDigest({host, method, path, customer, body}: DigestedRequest): string {
	// As JSON, so that no two different requests are joined to the same text.
	const head = JSON.stringify([host, method, path, customer]);
	return createHash('sha256').update(head).update(body).digest('base64url').slice(0, digestLength);
}
