/**
 * Trials of parts of prompts that are held back: when a request with such a part
 * may be sent after all, to find out whether the part is still at fault.
 *
 * A failed trial ends an upstream, so few are allowed over all gateways: each is
 * claimed in the log, where only one gateway gets it.
 *
 * @module
 */
import type {PartCrashRegistry} from '../../state/mod.js';
import {waitWithTimeout, type Clock} from '../../transport/mod.js';

/** Options of {@linkcode createPartTrials}. */
export type CreatePartTrialsOptions = {
	readonly registry: Pick<PartCrashRegistry, 'get'>;
	readonly clock: Clock;
	/** Claims the next trial of a part for this gateway; false if another one has it or the log does not answer. */
	readonly claim: (digest: string) => Promise<boolean>;
	/** Called when this gateway has claimed the trial of a part. */
	readonly onClaimed: (digest: string) => void;
};

/** Trials of parts of prompts. */
export type PartTrials = ReturnType<typeof createPartTrials>;

/** Delays of the first trials after the last crash or trial. The last one keeps trials to two on the first day and one on later days. */
const trialDelaysMs = [30_000, 600_000, 86_400_000] as const;
/** A request with several held parts shows less if its trial fails, so it waits longer than one with a single held part. */
const severalPartsDelayFactor = 2;
/** Consecutive refusals of prompts after which the parts held back may well be those that most requests have. */
const refusalsToDoubt = 20;
/** Delay of the first trial in this case: all requests that could show the parts to be sound are refused. */
const doubtedTrialDelayMs = 3000;
/** Time that a request waits for the log to answer a claim. */
const claimTimeoutMs = 300;

/** @internal */
function findTrialDelayMs(trials: number): number {
	return trialDelaysMs[Math.min(trials, trialDelaysMs.length - 1)]!;
}

/**
 * Creates the trials; none is claimed.
 *
 * @example
 * ```ts
 * if (await trials.claimAll(['9c41d07b'])) {
 * 	trials.begin(['9c41d07b']);
 * }
 * ```
 *
 * @param options The registry of crashes and the claim in the log
 * @returns The trials
 */
export function createPartTrials({registry, clock, claim, onClaimed}: CreatePartTrialsOptions) {
	/** Parts whose trial this gateway has claimed and not begun. */
	const permits = new Set<string>();
	const pendingClaims = new Set<string>();
	/** Prompts that were refused since the last one that was admitted. */
	let refusalsInRow = 0;

	function computeDelayMs(trials: number, heldCount: number): number {
		const isDoubted = trials === 0 && refusalsInRow >= refusalsToDoubt;
		return isDoubted ? doubtedTrialDelayMs : findTrialDelayMs(trials) * (heldCount > 1 ? severalPartsDelayFactor : 1);
	}

	/** Returns the milliseconds until the next trial of a part may begin with a prompt that has `heldCount` held parts. */
	function computeWaitMs(digest: string, heldCount = 1): number {
		const record = registry.get(digest);
		return record ? Math.max(0, record.changedAt + computeDelayMs(record.trials, heldCount) - clock.now()) : 0;
	}

	async function claimOne(digest: string): Promise<boolean> {
		pendingClaims.add(digest);
		try {
			return await claim(digest);
		} finally {
			pendingClaims.delete(digest);
		}
	}

	// Goes on if the request no longer waits for it: the next request may begin the trial.
	async function claimEach(digests: readonly string[]): Promise<boolean> {
		for (const digest of digests) {
			if (!await claimOne(digest)) {
				return false;
			}

			permits.add(digest);
			onClaimed(digest);
		}

		return true;
	}

	return {
		computeWaitMs,

		/** Records whether a prompt was admitted. */
		recordAdmission(wasAdmitted: boolean): void {
			refusalsInRow = wasAdmitted ? 0 : refusalsInRow + 1;
		},

		/** Returns true if this gateway may begin a trial of each part. */
		mayBegin: (digests: readonly string[]): boolean => digests.every(digest => permits.has(digest)),

		/** Claims the trials of all parts of a prompt that are due; resolves with true if this gateway may begin them. */
		async claimAll(digests: readonly string[]): Promise<boolean> {
			const unclaimed = digests.filter(digest => !permits.has(digest));
			if (unclaimed.some(digest => pendingClaims.has(digest) || computeWaitMs(digest, digests.length) > 0)) {
				return false;
			}

			return await waitWithTimeout(claimEach(unclaimed), {clock, timeoutMs: claimTimeoutMs}) ?? false;
		},

		/** Begins the trials of parts, which uses up their claims. */
		begin(digests: readonly string[]): void {
			for (const digest of digests) {
				permits.delete(digest);
			}
		},

		/** Drops claimed trials of parts that are no longer held back. */
		dropExcept(isHeld: (digest: string) => boolean): void {
			for (const digest of permits) {
				if (!isHeld(digest)) {
					permits.delete(digest);
				}
			}
		},
	};
}
