/**
 * Rendezvous hashing: every daemon computes the same order of candidates for
 * a key, and a candidate that comes or goes moves only its own keys (Thaler
 * and Ravishankar, 1998).
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
 * @param key What is to be placed
 * @param candidates Names of the candidates
 * @returns The candidates, the best first
 */
export function rankByRendezvous(key: string, candidates: Iterable<string>): string[] {
	const scored = [...candidates].map(candidate => ({candidate, score: computeScore(key, candidate)}));
	scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1));
	return scored.map(({candidate}) => candidate);
}
