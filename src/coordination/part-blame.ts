/**
 * Decides which parts of prompts are to blame for crashes of upstreams.
 *
 * A crash hits every request that runs at the upstream, and a prompt has several
 * parts, so that most parts with crashes are not their cause. The cause explains
 * them: it was present at each crash and never had an answer since. Parts are
 * blamed one after the other, the one that explains the most crashes first, and a
 * crash that is explained counts against no other part (a greedy set cover).
 *
 * @module
 */
import type {PartRecord, UpstreamCrash} from '../state/mod.js';

/** How certain it is that a part crashes upstreams. */
export type BlameLevel = 'suspected' | 'held';

/** Options of {@linkcode decideBlame}. */
export type DecideBlameOptions = {
	/** Returns true if a prompt with the part was answered before. */
	readonly wasAnswered: (digest: string) => boolean;
};

/** A part with the crashes that no other part explains. */
type Suspect = {readonly digest: string; readonly crashes: readonly UpstreamCrash[]; readonly wasAnswered: boolean; readonly score: number};

/** Crashes after which requests with a part are not retried, and run where few others do. */
const crashesToSuspect = 2;
/** Crashes after which requests with a part are refused. */
const crashesToHold = 3;
/** Crashes that do not count against a part that was answered before: it is unlikely to be the cause. */
const answeredAllowance = 2;
/** Crashes within this time count once: upstreams that crash together, for example with their failure domain, have a cause of their own. */
const simultaneousMs = 150;

/**
 * Counts crashes, those that happen together once.
 *
 * @example
 * ```ts
 * countSeparateCrashes([{upstream: 1, at: 0}, {upstream: 2, at: 10}, {upstream: 3, at: 900}]); // 2
 * ```
 *
 * @param crashes The crashes, in order of time
 * @returns The number of crashes that are separate in time
 */
export function countSeparateCrashes(crashes: readonly UpstreamCrash[]): number {
	let count = 0;
	let lastCountedAt = Number.NEGATIVE_INFINITY;
	for (const {at} of crashes) {
		if (at - lastCountedAt >= simultaneousMs) {
			count += 1;
			lastCountedAt = at;
		}
	}

	return count;
}

/** @internal */
function buildSuspect({digest, crashes, wasAnswered}: Omit<Suspect, 'score'>): Suspect {
	return {
		digest, crashes, wasAnswered, score: countSeparateCrashes(crashes) - (wasAnswered ? answeredAllowance : 0),
	};
}

/** @internal */
function compareSuspects(left: Suspect, right: Suspect): number {
	return right.score - left.score || right.crashes.length - left.crashes.length || Number(left.wasAnswered) - Number(right.wasAnswered);
}

/** @internal Two suspects with as many crashes explain the same ones if none is missing. */
function explainsSame(left: Suspect, right: Suspect): boolean {
	const upstreams = new Set(left.crashes.map(({upstream}) => upstream));
	return left.wasAnswered === right.wasAnswered && left.crashes.length === right.crashes.length && right.crashes.every(({upstream}) => upstreams.has(upstream));
}

/**
 * Decides which parts are suspected or held back.
 *
 * @example
 * ```ts
 * decideBlame(registry.list(), {wasAnswered: registry.wasAnswered}).get('9c41d07b'); // 'held'
 * ```
 *
 * @param records The crash records of all parts
 * @param options Which parts were answered before
 * @returns The level of each part that is to blame
 */
export function decideBlame(records: readonly PartRecord[], {wasAnswered}: DecideBlameOptions): Map<string, BlameLevel> {
	const levels = new Map<string, BlameLevel>();
	let suspects = records.filter(({crashes}) => crashes.length >= crashesToSuspect)
		.map(({digest, crashes}) => buildSuspect({digest, crashes, wasAnswered: wasAnswered(digest)}));
	for (;;) {
		const [first] = suspects.sort(compareSuspects);
		if (!first || first.score < crashesToSuspect) {
			return levels;
		}

		for (const {digest} of suspects.filter(suspect => explainsSame(first, suspect))) {
			levels.set(digest, first.score >= crashesToHold ? 'held' : 'suspected');
		}

		const explained = new Set(first.crashes.map(({upstream}) => upstream));
		suspects = suspects.filter(({digest}) => !levels.has(digest))
			.map(suspect => buildSuspect({...suspect, crashes: suspect.crashes.filter(({upstream}) => !explained.has(upstream))}));
	}
}
