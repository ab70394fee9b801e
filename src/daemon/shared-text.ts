/**
 * Computes a text once for callers who ask at the same time.
 *
 * @module
 */

/**
 * Creates a function that computes a text once in each iteration of the event
 * loop, so that many callers at once cost as much as one, and a caller who asks
 * again gets a new text.
 *
 * @example
 * ```ts
 * const getMetrics = createSharedText(formatMetrics);
 * getMetrics();
 * ```
 *
 * @param compute Computes the text
 * @returns Returns the text of this iteration
 */
export function createSharedText(compute: () => string): () => string {
	let text: string | undefined;
	return () => {
		if (text === undefined) {
			text = compute();
			setImmediate(() => {
				text = undefined;
			});
		}

		return text;
	};
}
