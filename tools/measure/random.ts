/**
 * Random numbers that are the same in every run.
 *
 * @module
 */

/**
 * Creates a source of random numbers in [0, 1) (the mulberry32 generator).
 *
 * @example
 * ```ts
 * const random = createRandom(1);
 * ```
 *
 * @param seed A whole number
 * @returns The source
 */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = Math.trunc(state + 0x6D_2B_79_F5);
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
	};
}
