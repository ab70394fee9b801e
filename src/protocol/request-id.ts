/**
 * Identities and digests.
 *
 * @module
 */
import {createHash, randomUUID, timingSafeEqual} from 'node:crypto';

const idLength = 22;

/** Options of {@linkcode computeRequestId}. */
export type ComputeRequestIdOptions = {
	/** The service or model, so that one key may serve two of them. */
	readonly target: string;
};

/**
 * Computes the identity of a caller request.
 *
 * The customer comes from the authenticated key and is part of the digest, so
 * that guessing another customer's idempotency key names a different request.
 *
 * @example
 * ```ts
 * computeRequestId('school-7', 'booking-19', {target: 'slots'});
 * ```
 *
 * @param customer The authenticated customer
 * @param key The caller's idempotency key
 * @param options The service or model called
 * @returns 22 characters of URL-safe base64, 132 bits
 */
export function computeRequestId(customer: string, key: string, options: ComputeRequestIdOptions): string {
	const hash = createHash('sha256').update(JSON.stringify([customer, options.target, key]));
	return hash.digest('base64url').slice(0, idLength);
}

/**
 * Computes the hex SHA-256 digest of a text or of bytes.
 *
 * @example
 * ```ts
 * computeDigest('a'); // 'ca978112…'
 * ```
 *
 * @param data What to digest
 * @returns 64 hex characters
 */
export function computeDigest(data: string | Uint8Array): string {
	return createHash('sha256').update(data).digest('hex');
}

/**
 * Creates a unique identity with a readable prefix.
 *
 * @example
 * ```ts
 * createId('g'); // 'g-0b9c…'
 * ```
 *
 * @param prefix What the identity is of
 * @returns The prefix, a dash and 128 random bits
 */
export function createId(prefix: string): string {
	return `${prefix}-${randomUUID().replaceAll('-', '')}`;
}

/**
 * Compares two secrets in constant time.
 *
 * @example
 * ```ts
 * isSameSecret('a', 'b'); // false
 * ```
 *
 * @param given The secret that came with a request
 * @param expected The secret from the settings
 * @returns True when both are equal
 */
export function isSameSecret(given: string, expected: string): boolean {
	const left = createHash('sha256').update(given).digest();
	const right = createHash('sha256').update(expected).digest();
	return timingSafeEqual(left, right);
}
