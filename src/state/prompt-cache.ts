/**
 * Which parts of prompts each upstream is believed to keep in its cache.
 *
 * Engines keep what they have read until memory runs short, the least recently
 * used first. What gateways have sent tells most of it; what an engine dropped
 * does not show, so an entry is a guess.
 *
 * @module
 */
import type {PromptPart} from '../protocol/mod.js';

/** Share of an engine's memory that cached parts are taken to fill; running requests need the rest. */
const cachedShare = 0.7;

/** A prompt that an upstream reads and then keeps. */
export type PlacedPrompt = {
	readonly upstream: string;
	/** Tokens that the upstream's memory holds. */
	readonly memory: number;
	readonly parts: PromptPart[];
};

/** What upstreams are believed to keep. */
export type PromptCache = ReturnType<typeof createPromptCache>;

type Held = {readonly parts: Map<string, number>; tokens: number; memory: number};

/**
 * Creates an empty view of the caches.
 *
 * @example
 * ```ts
 * const cache = createPromptCache();
 * cache.note('i-7', [{id: 'a', tokens: 900}, {id: 'b', tokens: 100}], 300_000);
 * cache.countCached('i-7', [{id: 'a', tokens: 900}, {id: 'c', tokens: 50}]); // 900
 * ```
 *
 * @returns The view
 */
export function createPromptCache() {
	const caches = new Map<string, Held>();

	function ensureHeld(upstream: string): Held {
		const known = caches.get(upstream) ?? {parts: new Map<string, number>(), tokens: 0, memory: 0};
		caches.set(upstream, known);
		return known;
	}

	function dropOldest(held: Held, limit: number): void {
		for (const [id, tokens] of held.parts) {
			if (held.tokens <= limit) {
				return;
			}

			held.parts.delete(id);
			held.tokens -= tokens;
		}
	}

	return {
		/** Notes that an upstream reads a prompt; `memory` is its size in tokens. */
		note(upstream: string, parts: readonly PromptPart[], memory: number): void {
			const held = ensureHeld(upstream);
			held.memory = memory;
			for (const {id, tokens} of parts) {
				held.tokens += tokens - (held.parts.get(id) ?? 0);
				// Taken out first, so that the order of the map is that of the last use.
				held.parts.delete(id);
				held.parts.set(id, tokens);
			}

			dropOldest(held, memory * cachedShare);
		},

		/** Tokens of a prompt that an upstream need not read: its parts up to the first that it does not keep. */
		countCached(upstream: string, parts: readonly PromptPart[]): number {
			const held = caches.get(upstream);
			let cached = 0;
			for (const {id, tokens} of parts) {
				if (!held?.parts.has(id)) {
					return cached;
				}

				cached += tokens;
			}

			return cached;
		},

		/** All parts that upstreams are believed to keep, the least recently used first. */
		list: () => [...caches].map(([upstream, {parts, memory}]) => ({upstream, memory, parts: [...parts].map(([id, tokens]): PromptPart => ({id, tokens}))})),

		drop(upstream: string): void {
			caches.delete(upstream);
		},
	};
}
