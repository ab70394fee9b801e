/**
 * Estimate of the prompt parts that each upstream has in its cache.
 *
 * Engines keep prompts that they have read until memory is exhausted, and then
 * evict the least recently used parts. The estimate follows the prompts that
 * gateways have sent. Evictions by the engine are not visible, so it may be wrong.
 *
 * @module
 */
import type {PromptPart} from '../protocol/mod.js';

/** Fraction of an engine's memory assumed to hold cached parts; running requests need the remainder. */
const cacheFraction = 0.7;

/** A prompt that an upstream reads and then caches. */
export type PlacedPrompt = {
	readonly upstream: string;
	/** Capacity of the upstream's memory, in tokens. */
	readonly memory: number;
	readonly parts: PromptPart[];
};

/** Estimated contents of the prompt caches of all upstreams. */
export type PromptCache = ReturnType<typeof createPromptCache>;

type UpstreamCache = {readonly parts: Map<string, number>; tokens: number; memory: number};

/**
 * Creates an empty estimate.
 *
 * @example
 * ```ts
 * const cache = createPromptCache();
 * cache.recordPrompt('i-7', [{id: 'a', tokens: 900}, {id: 'b', tokens: 100}], 300_000);
 * cache.countCachedTokens('i-7', [{id: 'a', tokens: 900}, {id: 'c', tokens: 50}]); // 900
 * ```
 *
 * @returns The estimate
 */
export function createPromptCache() {
	const caches = new Map<string, UpstreamCache>();

	function ensureCache(upstream: string): UpstreamCache {
		const cache = caches.get(upstream) ?? {parts: new Map<string, number>(), tokens: 0, memory: 0};
		caches.set(upstream, cache);
		return cache;
	}

	function evictLeastRecentlyUsed(cache: UpstreamCache, limit: number): void {
		for (const [id, tokens] of cache.parts) {
			if (cache.tokens <= limit) {
				return;
			}

			cache.parts.delete(id);
			cache.tokens -= tokens;
		}
	}

	return {
		/** Records that an upstream reads a prompt; `memoryTokens` is the capacity of the upstream's memory. */
		recordPrompt(upstream: string, parts: readonly PromptPart[], memoryTokens: number): void {
			const cache = ensureCache(upstream);
			cache.memory = memoryTokens;
			for (const {id, tokens} of parts) {
				cache.tokens += tokens - (cache.parts.get(id) ?? 0);
				// Deleted before it is set again, so that the map is in order of last use.
				cache.parts.delete(id);
				cache.parts.set(id, tokens);
			}

			evictLeastRecentlyUsed(cache, memoryTokens * cacheFraction);
		},

		/** Returns the tokens of a prompt that an upstream need not read: those of its parts before the first uncached one. */
		countCachedTokens(upstream: string, parts: readonly PromptPart[]): number {
			const cache = caches.get(upstream);
			let cachedTokens = 0;
			for (const {id, tokens} of parts) {
				if (!cache?.parts.has(id)) {
					return cachedTokens;
				}

				cachedTokens += tokens;
			}

			return cachedTokens;
		},

		/** Returns all parts assumed to be cached, by upstream, the least recently used first. */
		list: () => [...caches].map(([upstream, {parts, memory}]) => ({upstream, memory, parts: [...parts].map(([id, tokens]): PromptPart => ({id, tokens}))})),

		drop(upstream: string): void {
			caches.delete(upstream);
		},
	};
}
