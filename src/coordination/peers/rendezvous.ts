/**
 * Rendezvous hashing: every daemon computes the same ranking of candidates for
 * a key, and adding or removing a candidate moves only its own keys (Thaler and
 * Ravishankar, 1998).
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** @internal */
function computeScore(key: string, candidate: string): number {
	return createHash('sha1').update(key).update('\0').update(candidate).digest().readUInt32BE(0);
}

/**
 * Ranks candidates for a key.
 *
 * @example
 * ```ts
 * rankByRendezvous('request-1', ['up-1', 'up-2']);
 * ```
 *
 * @param key Key to place
 * @param candidates Ids of the candidates
 * @returns The ids, best candidate first
 */
export function rankByRendezvous(key: string, candidates: Iterable<string>): string[] {
	const scored = [...candidates].map(candidate => ({candidate, score: computeScore(key, candidate)}));
	scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
	return scored.map(({candidate}) => candidate);
}
