/**
 * Keeps a text that is expensive to compute for a short time.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createCachedText}. */
export type CreateCachedTextOptions = {
	readonly compute: () => string;
	/** Time for which a computed text is returned again, in milliseconds. */
	readonly maxAgeMs: number;
	readonly clock: Pick<Clock, 'now'>;
};

/**
 * Creates a cache of one text.
 *
 * @example
 * ```ts
 * const metrics = createCachedText({compute: formatMetrics, maxAgeMs: 100, clock});
 * metrics.get();
 * ```
 *
 * @param options The computation, and how long its result is kept
 * @returns The cache
 */
export function createCachedText({compute, maxAgeMs, clock}: CreateCachedTextOptions) {
	let text = '';
	let expiresAt = Number.NEGATIVE_INFINITY;
	return {
		/** Returns the text, which is as old as the maximum age at most. */
		get(): string {
			if (clock.now() >= expiresAt) {
				text = compute();
				expiresAt = clock.now() + maxAgeMs;
			}

			return text;
		},
	};
}
