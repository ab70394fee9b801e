/**
 * Decides which parts of prompts are to blame for crashes of upstreams.
 *
 * A crash hits every request that runs at the upstream, and a prompt has several
 * parts, so that most parts with crashes are not their cause. The cause explains
 * them: it was present at each crash and never had an answer since. Parts are
 * blamed one after the other, the one that explains the most crashes first, and a
 * crash that is explained counts against no other part (a greedy set cover).
 *
 * Parts that explain the same crashes cannot be distinguished. Only prompts that
 * contain all of them are held back: any other prompt shows by its answer or crash
 * which of them is to blame.
 *
 * @module
 */
import type {PartRecord, UpstreamCrash} from '../../state/mod.js';

/** How certain it is that a group of parts crashes upstreams. */
export type BlameLevel = 'suspected' | 'held';

/** Parts of which one is to blame. */
export type BlamedGroup = {
	readonly level: BlameLevel;
	/** Digests of the parts. */
	readonly digests: readonly string[];
};

/**
 * When an upstream was last seen to read a part without a crash; `unknown` at a
 * gateway that has seen too few answers to tell.
 */
export type LastRead = 'never' | 'unknown' | 'earlier' | 'recently';

/** Options of {@linkcode decideBlame}. */
export type DecideBlameOptions = {
	/** Returns when an upstream was last seen to read the part without a crash. */
	readonly findLastRead: (digest: string) => LastRead;
};

/** A part with the crashes that no other part explains. */
type Suspect = {readonly digest: string; readonly crashes: readonly UpstreamCrash[]; readonly allowance: number; readonly score: number};

/** Crashes after which requests with a part are not retried, and run where few others do. */
const crashesToSuspect = 2;
/** Crashes after which requests with a part are refused. */
const crashesToHold = 3;
/**
 * Crashes that do not count against a part, because upstreams were seen to read
 * it, or may have been. One that they read a moment ago is part of most requests,
 * and is present at the crashes that others cause.
 */
const allowances: Readonly<Record<LastRead, number>> = {
	never: 0, unknown: 2, earlier: 2, recently: 5,
};
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
function buildSuspect({digest, crashes, allowance}: Omit<Suspect, 'score'>): Suspect {
	return {
		digest, crashes, allowance, score: countSeparateCrashes(crashes) - allowance,
	};
}

/** @internal */
function compareSuspects(left: Suspect, right: Suspect): number {
	return right.score - left.score || right.crashes.length - left.crashes.length || left.allowance - right.allowance;
}

/** @internal Two suspects with as many crashes explain the same ones if none is missing. */
function explainsSame(left: Suspect, right: Suspect): boolean {
	const upstreams = new Set(left.crashes.map(({upstream}) => upstream));
	return left.allowance === right.allowance && left.crashes.length === right.crashes.length && right.crashes.every(({upstream}) => upstreams.has(upstream));
}

/**
 * Decides which groups of parts are suspected or held back.
 *
 * @example
 * ```ts
 * decideBlame(registry.list(), {findLastRead: () => 'never'}); // [{level: 'held', digests: ['9c41d07b']}]
 * ```
 *
 * @param records The crash records of all parts
 * @param options When parts were last read without a crash
 * @returns The groups; each part is in one at most
 */
export function decideBlame(records: readonly PartRecord[], {findLastRead}: DecideBlameOptions): BlamedGroup[] {
	const groups: BlamedGroup[] = [];
	let suspects = records.filter(({crashes}) => crashes.length >= crashesToSuspect)
		.map(({digest, crashes}) => buildSuspect({digest, crashes, allowance: allowances[findLastRead(digest)]}));
	for (;;) {
		const [first] = suspects.sort(compareSuspects);
		if (!first || first.score < crashesToSuspect) {
			return groups;
		}

		const digests = suspects.filter(suspect => explainsSame(first, suspect)).map(({digest}) => digest);
		groups.push({level: first.score >= crashesToHold ? 'held' : 'suspected', digests});
		const explained = new Set(first.crashes.map(({upstream}) => upstream));
		suspects = suspects.filter(({digest}) => !digests.includes(digest))
			.map(suspect => buildSuspect({...suspect, crashes: suspect.crashes.filter(({upstream}) => !explained.has(upstream))}));
	}
}
