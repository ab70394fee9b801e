/**
 * Reproducible pseudo-random numbers.
 *
 * @module
 */

const multiplier = 48_271;
const modulus = 2_147_483_647;

/**
 * Creates a generator of pseudo-random numbers in [0, 1): the minimal standard
 * generator of Park and Miller (1988).
 *
 * @example
 * ```ts
 * const random = createRandom(1);
 * ```
 *
 * @param seed A whole number above 0
 * @returns A function that returns the next number
 */
export function createRandom(seed: number): () => number {
	let state = seed % modulus;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
