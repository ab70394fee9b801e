/**
 * Request IDs, unique IDs, digests and secret comparison.
 *
 * @module
 */
import {createHash, randomUUID, timingSafeEqual} from 'node:crypto';

/** Characters of base64 with 6 bits each: 132 bits. */
const requestIdLength = 22;

/** Options of {@linkcode computeRequestId}. */
export type ComputeRequestIdOptions = {
	/** The service or model. The same idempotency key may be used for different targets. */
	readonly target: string;
};

/**
 * Computes the ID of a caller request.
 *
 * The digest includes the customer, which comes from the authenticated key. A
 * caller that guesses an idempotency key of another customer therefore gets the
 * ID of a different request.
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
	return hash.digest('base64url').slice(0, requestIdLength);
}

/**
 * Computes the hex SHA-256 digest of a string or bytes.
 *
 * @example
 * ```ts
 * computeDigest('a'); // 'ca978112…'
 * ```
 *
 * @param data The input
 * @returns 64 hex characters
 */
export function computeDigest(data: string | Uint8Array): string {
	return createHash('sha256').update(data).digest('hex');
}

/**
 * Creates a unique ID with a readable prefix.
 *
 * @example
 * ```ts
 * createId('g'); // 'g-0b9c…'
 * ```
 *
 * @param prefix Abbreviation of the kind of object
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
 * @param given The secret received with a request
 * @param expected The secret from the settings
 * @returns True if both are equal
 */
export function isSameSecret(given: string, expected: string): boolean {
	const left = createHash('sha256').update(given).digest();
	const right = createHash('sha256').update(expected).digest();
	return timingSafeEqual(left, right);
}
