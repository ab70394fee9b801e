/**
 * Policies that decide how far ahead an entry daemon claims tokens of a budget.
 *
 * No policy can overspend, because a claim grants at most what remains at its
 * log offset. Policies differ in the number of requests refused while the log
 * is unavailable, and of tokens locked when a holder fails or is partitioned
 * (docs/DECISIONS.md).
 *
 * @module
 */

/** State of a budget as known to one entry daemon; amounts in tokens. */
export type BudgetView = {
	/** Not part of any grant. */
	readonly remaining: number;
	/** Not part of any grant, or granted to any daemon and not known to be spent. */
	readonly unspent: number;
	/** Free in this entry daemon's grants. */
	readonly free: number;
	/** Reserved by this entry daemon's running requests. */
	readonly reserved: number;
	/** Needed by requests that wait at this entry daemon. */
	readonly wanted: number;
	/** Tokens that this entry daemon recently spent per millisecond. */
	readonly rate: number;
	/** Number of entry daemons that respond, including this one. */
	readonly entries: number;
	/** True if this entry daemon has claimed from the budget before. */
	readonly hasClaimed: boolean;
	/** Whether avoiding refusals or locked tokens matters more for the budget. */
	readonly weighs: 'refusals' | 'overspend';
};

/** Tokens to claim or release now. */
export type GrantDecision = {
	/** Tokens to claim; 0 for none. */
	readonly claim: number;
	/** Free tokens to release; 0 for none. */
	readonly release: number;
};

/** A policy that decides how far ahead to claim. */
export abstract class GrantPolicy {
	/** Name in measurements and settings. */
	abstract readonly name: string;

	/** Decides how many tokens of one budget to claim or release. */
	abstract decide(view: BudgetView): GrantDecision;
}

/** Options of {@linkcode AheadGrantPolicy}. */
export type AheadGrantPolicyOptions = {
	/** Duration of demand, in milliseconds, to cover for budgets that weigh refusals; default one hour. */
	readonly horizonMs?: number;
	/** The same for budgets that weigh overspend; default five minutes. */
	readonly shortHorizonMs?: number;
};

const defaultHorizonMs = 3_600_000;
const defaultShortHorizonMs = 300_000;
/** Part of the fair share that is held without demand, for budgets that weigh refusals. */
const idleShareRefusals = 1;
/** The same for budgets that weigh overspend. */
const idleShareOverspend = 0.1;
/** Tokens are claimed when those that are free fall below this share of the target. */
const claimBelowShare = 0.5;
/** Tokens are released when those that are free exceed this multiple of the target. */
const releaseAboveFactor = 2;

/** Claims the expected demand within the horizon, up to a fair share of the unspent tokens. */
export class AheadGrantPolicy extends GrantPolicy {
	get name() {
		return 'chosen';
	}

	readonly #horizonMs: number;
	readonly #shortHorizonMs: number;

	constructor(options: AheadGrantPolicyOptions = {}) {
		super();
		this.#horizonMs = options.horizonMs ?? defaultHorizonMs;
		this.#shortHorizonMs = options.shortHorizonMs ?? defaultShortHorizonMs;
	}

	decide(view: BudgetView): GrantDecision {
		const target = this.#computeTarget(view);
		const missing = view.wanted - view.free;
		if (missing > 0 || view.free < target * claimBelowShare) {
			const claim = Math.min(view.remaining, Math.max(missing, Math.floor(target - view.free)));
			return {claim: Math.max(0, claim), release: 0};
		}

		const spare = view.free - Math.ceil(target);
		return {claim: 0, release: view.free > target * releaseAboveFactor ? spare : 0};
	}

	// The fair share, and with it each claim, shrinks with the unspent part of the budget.
	#computeTarget(view: BudgetView): number {
		const fairShare = view.unspent / view.entries;
		const weighsRefusals = view.weighs === 'refusals';
		const idle = fairShare * (weighsRefusals ? idleShareRefusals : idleShareOverspend);
		const demand = view.rate * (weighsRefusals ? this.#horizonMs : this.#shortHorizonMs);
		return Math.min(fairShare, Math.max(idle, demand));
	}
}

/** Baseline: claims in the log for every request and never ahead. */
export class LogFirstGrantPolicy extends GrantPolicy {
	get name() {
		return 'log-first';
	}

	decide(view: BudgetView): GrantDecision {
		const missing = view.wanted - view.free;
		return missing > 0
			? {claim: Math.min(view.remaining, missing), release: 0}
			: {claim: 0, release: view.wanted === 0 ? view.free : 0};
	}
}

/** Baseline: splits the budget evenly once. */
export class SplitOnceGrantPolicy extends GrantPolicy {
	get name() {
		return 'split-once';
	}

	decide(view: BudgetView): GrantDecision {
		return {claim: view.hasClaimed ? 0 : Math.floor(view.unspent / view.entries), release: 0};
	}
}
