/**
 * Amounts of tokens by customer, as records of the log hold them.
 *
 * A customer may be named as a property that all objects inherit, such as
 * `constructor`, or as their prototype, `__proto__`. Only own properties are
 * amounts, and an object is built from entries, because an assignment to
 * `__proto__` adds no property.
 *
 * @module
 */
import * as z from 'zod';

/** Amounts of tokens by customer. */
export type CustomerTokens = Readonly<Record<string, number>>;

/** @internal */
function isCustomerTokens(value: unknown): value is CustomerTokens {
	return typeof value === 'object' && value !== null && !Array.isArray(value) && Object.values(value).every(tokens => Number.isFinite(tokens) && tokens >= 0);
}

/** Schema of amounts by customer; that of a record would drop the amount of a customer named `__proto__`. */
export const customerTokensSchema = z.custom<CustomerTokens>(isCustomerTokens, 'Expected amounts of tokens by customer');

/**
 * Returns the tokens of a customer.
 *
 * @example
 * ```ts
 * getTokens({'city-1': 300}, 'city-1'); // 300
 * getTokens({'city-1': 300}, 'constructor'); // 0
 * ```
 *
 * @param amounts Amounts by customer; undefined if there are none
 * @param customer The customer
 * @returns The tokens; 0 if no amount is stated
 */
export function getTokens(amounts: CustomerTokens | undefined, customer: string): number {
	return amounts && Object.hasOwn(amounts, customer) ? amounts[customer]! : 0;
}
