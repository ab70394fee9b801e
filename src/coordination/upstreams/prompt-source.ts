/**
 * Policies that choose an upstream from whose cache another one fetches the part
 * of a prompt that it lacks.
 *
 * Answers loads of long shared parts on upstreams that can copy memory between
 * each other: copying a part takes a hundredth of the time of processing it, so
 * a prompt that is placed away from its part does not process the part again.
 *
 * @module
 */
import {
	PromptPlacementPolicy, listSharedParts, type PlacementCandidate, type PlacementPolicy, type PlacementQuery,
} from './placement-policy.js';

/** Upstreams from which a source is chosen. */
export type PromptSourceOptions = {
	/** The upstream that processes the prompt. */
	readonly chosen: PlacementCandidate;
	readonly candidates: readonly PlacementCandidate[];
	/** Policy by which prompts are placed, and which therefore knows where others send the same part; default: {@linkcode PromptPlacementPolicy}. */
	readonly placementPolicy?: Pick<PlacementPolicy, 'findFirst'>;
};

/** Chooses the source of a prompt. */
export abstract class PromptSourcePolicy {
	/** Returns the upstream to fetch from; undefined to process the whole prompt. */
	abstract pick(query: PlacementQuery, options: PromptSourceOptions): PlacementCandidate | undefined;
}

/** Processes each prompt where it is placed. */
export class NoPromptSource extends PromptSourcePolicy {
	pick(): PlacementCandidate | undefined {
		return undefined;
	}
}

/** A copy takes 5 ms to set up, in which an upstream processes a few hundred tokens. */
const minFetchedTokens = 500;

const defaultPlacementPolicy = new PromptPlacementPolicy();

/** @internal Memory that one software version wrote does not fit another one. */
function isMemoryReadable(source: PlacementCandidate, chosen: PlacementCandidate): boolean {
	return chosen.softwareVersion !== undefined && source.softwareVersion === chosen.softwareVersion;
}

/**
 * Fetches from the upstream of the same software version that is known to have cached most of the prompt or,
 * if none is known to have more than the chosen one, from the first one by
 * rendezvous hashing, to which other gateways send the same part.
 */
export class CachedPromptSource extends PromptSourcePolicy {
	pick(query: PlacementQuery, {chosen, candidates, placementPolicy = defaultPlacementPolicy}: PromptSourceOptions): PlacementCandidate | undefined {
		const sharedTokens = listSharedParts(query.generation?.parts ?? []).reduce((sum, {tokens}) => sum + tokens, 0);
		if (sharedTokens - chosen.cachedTokens < minFetchedTokens) {
			return undefined;
		}

		const sources = candidates.filter(source => source.id !== chosen.id && !source.isOnGrace && isMemoryReadable(source, chosen));
		const [best] = sources.filter(({cachedTokens}) => cachedTokens > chosen.cachedTokens).sort((left, right) => right.cachedTokens - left.cachedTokens);
		if (best) {
			return best;
		}

		return placementPolicy.findFirst(query, sources);
	}
}
