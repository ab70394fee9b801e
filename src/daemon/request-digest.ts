/**
 * Computes digests by which repeats of a request are recognised.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** The parts of a request that decide what an upstream runs. */
export type DigestInput = {
	readonly host: string | undefined;
	readonly method: string | undefined;
	/** Path including the query. */
	readonly path: string | undefined;
	readonly customer: string | undefined;
	readonly body: Uint8Array;
};

/** Length of a digest in base64url characters; 22 of them hold 128 bits. */
const digestLength = 22;

/**
 * Computes a digest that is the same for all repeats of a request, at every
 * gateway. IDs, timeouts and other headers are excluded, because they differ
 * between repeats.
 *
 * @example
 * ```ts
 * computeRequestDigest({host: 'callers.example', method: 'POST', path: '/holds/1', customer: 'city-1', body});
 * ```
 *
 * @param request The parts of the request
 * @returns The digest
 */
export function computeRequestDigest({host, method, path, customer, body}: DigestInput): string {
	// JSON keeps the fields apart, so that different requests cannot be concatenated to the same text.
	const header = JSON.stringify([host, method, path, customer]);
	return createHash('sha256').update(header).update(body).digest('base64url').slice(0, digestLength);
}
