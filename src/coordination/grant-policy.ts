/**
 * How far ahead an entry daemon claims tokens of a budget.
 *
 * No policy can overspend: a claim is worth what remains at its offset. What
 * differs is how many requests are refused while the log is away, and how many
 * tokens are locked when a holder dies or is cut off (docs/DECISIONS.md).
 *
 * @module
 */

/** What one entry knows of a budget; amounts in tokens. */
export type BudgetView = {
	/** Not held by any grant. */
	readonly remaining: number;
	/** Not held by any grant, or held and not known as spent, by anyone. */
	readonly unspent: number;
	/** Free in this entry's grants. */
	readonly free: number;
	/** Reserved by this entry's running requests. */
	readonly reserved: number;
	/** Asked for by requests that wait here. */
	readonly wanted: number;
	/** Tokens a millisecond that this entry spent of late. */
	readonly rate: number;
	/** Entries that answer, with this one. */
	readonly entries: number;
	/** Whether this entry has claimed of the budget before. */
	readonly hasClaimed: boolean;
	readonly weighs: 'refusals' | 'overspend';
};

/** What to do about a budget now. */
export type GrantDecision = {
	/** Tokens to claim; 0 for none. */
	readonly claim: number;
	/** Free tokens to release; 0 for none. */
	readonly release: number;
};

/** Decides how far ahead to claim. */
export abstract class GrantPolicy {
	/** Name in measurements and settings. */
	abstract readonly name: string;

	/** Decides what to do about one budget. */
	abstract decide(view: BudgetView): GrantDecision;
}

/** Options of {@linkcode AheadGrantPolicy}. */
export type AheadGrantPolicyOptions = {
	/** Demand to cover for budgets that weigh refusals, in milliseconds; default one hour. */
	readonly horizon?: number;
	/** The same for budgets that weigh overspend; default five minutes. */
	readonly shortHorizon?: number;
};

const defaultHorizon = 3_600_000;
const defaultShortHorizon = 300_000;
const idleShareRefusals = 1;
const idleShareOverspend = 0.1;
const lowWater = 0.5;
const highWater = 2;

/** Claims a fair share of what is unspent, as far as the horizon's demand asks for. */
export class AheadGrantPolicy extends GrantPolicy {
	get name() {
		return 'chosen';
	}

	readonly #horizon: number;
	readonly #shortHorizon: number;

	constructor(options: AheadGrantPolicyOptions = {}) {
		super();
		this.#horizon = options.horizon ?? defaultHorizon;
		this.#shortHorizon = options.shortHorizon ?? defaultShortHorizon;
	}

	decide(view: BudgetView): GrantDecision {
		const target = this.#computeTarget(view);
		const missing = view.wanted - view.free;
		if (missing > 0 || view.free < target * lowWater) {
			const claim = Math.min(view.remaining, Math.max(missing, Math.floor(target - view.free)));
			return {claim: Math.max(0, claim), release: 0};
		}

		const spare = view.free - Math.ceil(target);
		return {claim: 0, release: view.free > target * highWater ? spare : 0};
	}

	// Near the end the fair share shrinks with what is unspent, and so do the claims.
	#computeTarget(view: BudgetView): number {
		const fair = view.unspent / view.entries;
		const weighsRefusals = view.weighs === 'refusals';
		const idle = fair * (weighsRefusals ? idleShareRefusals : idleShareOverspend);
		const demand = view.rate * (weighsRefusals ? this.#horizon : this.#shortHorizon);
		return Math.min(fair, Math.max(idle, demand));
	}
}

/** Baseline: asks the log for every request and holds nothing ahead. */
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
