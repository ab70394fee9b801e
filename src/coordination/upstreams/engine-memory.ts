/**
 * How much of an engine's memory requests hold.
 *
 * Answers engines that crash if the requests that they hold, running and
 * waiting, exceed their memory: a few dozen long prompts fill an engine long
 * before its slots are used up.
 *
 * @module
 */
import type {GenerationParameters} from '../../protocol/mod.js';

/**
 * Share of the memory above which an engine gets a request only if no other can
 * take it. What remains covers the two or three long prompts that other gateways
 * place before this one hears of them, in an engine for 462,000 tokens.
 */
export const maxHeldShare = 0.9;
/** Requests of the same size that other gateways may place before this one hears of them; in a small engine they need more than a tenth of the memory. */
const unseenRequests = 2;
/** Share of the memory from which running requests displace cached parts, each of which is then read again. */
const cacheDisplacementShare = 0.6;
/** Cost of memory that is held in full: reading a long shared part again, with the weight that such reading has for the fleet. */
const displacementCostMs = 2000;

/**
 * Computes the tokens that a request holds at most. A part that two running
 * requests share counts twice, because an engine that counts so would crash
 * otherwise.
 *
 * @example
 * ```ts
 * computeRequestTokens({promptTokens: 17_000, maxOutputTokens: 400}); // 17_400
 * ```
 *
 * @param generation Parameters of the request
 * @returns The tokens
 */
export function computeRequestTokens({promptTokens, maxOutputTokens}: Pick<GenerationParameters, 'promptTokens' | 'maxOutputTokens'>): number {
	return promptTokens + maxOutputTokens;
}

/** What is known of the requests at an engine. */
export type HeldRequests = {
	/** Tokens that the requests of known size hold. */
	readonly knownTokens: number;
	/** Number of requests of known size. */
	readonly knownRequests: number;
	/** Number of all requests, also those of gateways that do not state what they hold. */
	readonly allRequests: number;
	/** Mean size of requests to this service. */
	readonly meanRequestTokens: number;
};

/**
 * Estimates the tokens that all requests at an engine hold.
 *
 * @example
 * ```ts
 * estimateHeldTokens({knownTokens: 34_000, knownRequests: 2, allRequests: 3, meanRequestTokens: 9000}); // 43_000
 * ```
 *
 * @param requests The requests
 * @returns The tokens; requests of unknown size count as the mean
 */
export function estimateHeldTokens({knownTokens, knownRequests, allRequests, meanRequestTokens}: HeldRequests): number {
	return knownTokens + (Math.max(0, allRequests - knownRequests) * meanRequestTokens);
}

/**
 * Returns whether a request would leave too little of an engine's memory.
 *
 * @example
 * ```ts
 * wouldFillMemory({heldTokens: 400_000, requestTokens: 17_000, memoryTokens: 462_000}); // true
 * ```
 *
 * @param memory The memory, what requests hold of it, and the size of the request
 * @returns True if the engine should get the request only if no other can take it
 */
export function wouldFillMemory({heldTokens, requestTokens, memoryTokens}: {readonly heldTokens: number; readonly requestTokens: number; readonly memoryTokens: number}): boolean {
	return heldTokens + requestTokens > memoryTokens * maxHeldShare || heldTokens + (requestTokens * (1 + unseenRequests)) > memoryTokens;
}

/**
 * Estimates what placing a request costs others because of the memory that it
 * takes.
 *
 * @example
 * ```ts
 * estimateMemoryCostMs(0.5); // 0
 * ```
 *
 * @param heldShare Share of the memory that is held, including the request
 * @returns The cost in milliseconds
 */
export function estimateMemoryCostMs(heldShare: number): number {
	return Math.max(0, heldShare - cacheDisplacementShare) / (1 - cacheDisplacementShare) * displacementCostMs;
}
