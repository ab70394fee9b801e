/**
 * The ledger of budgets, folded from the log.
 *
 * A grant is a right that is used up, never a lease that expires: a paused
 * holder cannot know that time passed, so time plays no part here. A claim is
 * worth what remains of the budget at its offset.
 *
 * Invariant: for each budget, `retired` plus the open grants' `amount` minus
 * `refunded` never exceeds `bought`.
 *
 * @module
 */
import type {GrantShare, Receipt, RecordOf} from '../protocol/mod.js';
import {sumShares} from './shares.js';

/** A budget as the log knows it; all amounts in tokens. */
export type BudgetState = {
	id: string;
	bought: number;
	/** Used up under grants that have ended. */
	retired: number;
	/** Billed by receipts. */
	billed: number;
	/** Generated but not billed, because another receipt came first or the incarnation was superseded. */
	burnt: number;
	/** Given back because a request was billed under another grant already. */
	refunded: number;
};

/** A grant as the log knows it. */
export type GrantState = {
	id: string;
	/** Offset of its claim. */
	offset: number;
	budget: string;
	daemon: string;
	incarnation: string;
	/** Tokens granted and not released. */
	amount: number;
	/** Set once closed: the incarnations that must still report. */
	waitsFor?: string[];
	/** Sum of the receipts folded under it. */
	receipted: number;
	/** True when an incarnation that may have run work under it ended without appending all its receipts. */
	uncertain: boolean;
};

/** What one attempt at a request cost, in tokens. */
export type AttemptCost = {attempt: number; cost: number};

/** The receipts of a request: the first is the bill, the others were given back. */
export type BilledReceipt = AttemptCost & {at: number; repeats: AttemptCost[]};

/** Serialisable form of the ledger. */
export type LedgerSnapshot = {
	budgets: BudgetState[];
	grants: GrantState[];
	/** Releases, in order of arrival, that were folded. */
	releases: Array<[string, number]>;
	receipts: Array<[string, BilledReceipt]>;
	/** The last batch of receipts folded, for each incarnation. */
	batches: Array<[string, number]>;
};

/**
 * Formats the identity of one incarnation of a daemon.
 *
 * @example
 * ```ts
 * formatIncarnation('entry-1', 'i-9'); // 'entry-1/i-9'
 * ```
 *
 * @param daemon The daemon's name
 * @param incarnation The identity of one run of its process
 * @returns Both in one text
 */
export function formatIncarnation(daemon: string, incarnation: string): string {
	return `${daemon}/${incarnation}`;
}

const budgetMark = '@';

/**
 * Formats a grant's identity, which names its budget so that receipts can be
 * booked after the grant has ended.
 *
 * @example
 * ```ts
 * formatGrant('g-1', 'b1'); // 'g-1@b1'
 * ```
 *
 * @param id A unique identity
 * @param budget The budget's identity, which holds no `@`
 * @returns The grant's identity
 */
export function formatGrant(id: string, budget: string): string {
	return `${id}${budgetMark}${budget}`;
}

/** @internal */
function parseBudget(grant: string): string {
	return grant.slice(grant.indexOf(budgetMark) + 1);
}

/** Options of {@linkcode createLedger}. */
export type CreateLedgerOptions = {
	/** How long receipts and release ids stay known, in milliseconds of the log's clock. */
	readonly window: number;
	/** Snapshot to start from; default empty. */
	readonly snapshot?: LedgerSnapshot;
};

/** The ledger; each `fold…` takes one record at its offset. */
export type Ledger = ReturnType<typeof createLedger>;

/**
 * Creates a ledger.
 *
 * @example
 * ```ts
 * const ledger = createLedger({window: 3_600_000});
 * ledger.foldTopUp('b1', 1000);
 * ledger.foldClaim({kind: 'claim', grant: 'g1', budget: 'b1', daemon: 'e1', incarnation: 'i', amount: 5000}, 7);
 * ledger.findGrant('g1')?.amount; // 1000
 * ```
 *
 * @param options The window and a snapshot to start from
 * @returns The ledger
 */
export function createLedger(options: CreateLedgerOptions) {
	const budgets = new Map(options.snapshot?.budgets.map(budget => [budget.id, {...budget}]));
	const grants = new Map<string, GrantState>(options.snapshot?.grants.map(grant => [grant.id, {...grant, waitsFor: grant.waitsFor && [...grant.waitsFor]}]));
	const releases = new Map(options.snapshot?.releases);
	const receipts = new Map(options.snapshot?.receipts.map(([request, receipt]) => [request, {...receipt, repeats: [...receipt.repeats]}]));
	const batches = new Map(options.snapshot?.batches);
	const committed = new Map<string, number>();
	for (const grant of grants.values()) {
		addCommitted(grant.budget, grant.amount);
	}

	function addCommitted(budget: string, amount: number): void {
		committed.set(budget, (committed.get(budget) ?? 0) + amount);
	}

	function ensureBudget(id: string): BudgetState {
		let budget = budgets.get(id);
		if (!budget) {
			budget = {
				id, bought: 0, retired: 0, billed: 0, burnt: 0, refunded: 0,
			};
			budgets.set(id, budget);
		}

		return budget;
	}

	function computeRemaining(id: string): number {
		const budget = budgets.get(id);
		return budget ? budget.bought + budget.refunded - budget.retired - (committed.get(id) ?? 0) : 0;
	}

	function endGrant(grant: GrantState, used: number): void {
		ensureBudget(grant.budget).retired += used;
		addCommitted(grant.budget, -grant.amount);
		grants.delete(grant.id);
	}

	// Receipts that were never appended cannot be known, so an uncertain grant counts as used up: the safe direction.
	function endWhenReported(grant: GrantState): void {
		if (grant.waitsFor?.length === 0) {
			endGrant(grant, grant.uncertain ? grant.amount : Math.min(grant.amount, grant.receipted));
		}
	}

	function foldReceipt(receipt: Receipt, at: number): void {
		const {request, attempt, shares} = receipt;
		const cost = sumShares(shares);
		// One request ran twice, under two upstream daemons that could not see each other: the first receipt is the bill.
		const first = receipts.get(request);
		if (first) {
			first.repeats.push({attempt, cost});
		} else {
			receipts.set(request, {
				at, attempt, cost, repeats: [],
			});
		}

		for (const share of shares) {
			foldShare(share, first !== undefined);
		}
	}

	function foldShare(share: GrantShare, isRepeated: boolean): void {
		const budget = budgets.get(parseBudget(share.grant));
		const grant = grants.get(share.grant);
		if (grant) {
			grant.receipted += share.amount;
		}

		if (!budget) {
			return;
		}

		if (isRepeated) {
			budget.burnt += share.amount;
			budget.refunded += share.amount;
			return;
		}

		budget.billed += share.amount;
	}

	// Keeps a map, whose insertion order is the log's, to the window.
	function dropOlder<Value>(map: Map<string, Value>, at: number, pickAt: (value: Value) => number): void {
		for (const [key, value] of map) {
			if (pickAt(value) >= at - options.window) {
				return;
			}

			map.delete(key);
		}
	}

	return {
		foldTopUp(id: string, tokens: number): void {
			ensureBudget(id).bought += tokens;
		},

		foldClaim(record: RecordOf<'claim'>, offset: number): void {
			// An append whose answer was lost may stand twice on the log; the second copy is worth nothing.
			if (grants.has(record.grant)) {
				return;
			}

			const amount = Math.min(record.amount, computeRemaining(record.budget));
			if (amount <= 0) {
				return;
			}

			grants.set(record.grant, {
				id: record.grant, offset, budget: record.budget, daemon: record.daemon, incarnation: record.incarnation, amount, receipted: 0, uncertain: false,
			});
			addCommitted(record.budget, amount);
		},

		foldRelease(record: RecordOf<'release'>, at: number): void {
			const grant = grants.get(record.grant);
			// A closed grant's rest is worked out from the reports; a release that crossed the close would return it twice.
			if (!grant || grant.waitsFor !== undefined || releases.has(record.id)) {
				return;
			}

			dropOlder(releases, at, seenAt => seenAt);
			releases.set(record.id, at);
			const amount = Math.min(record.amount, grant.amount);
			grant.amount -= amount;
			addCommitted(grant.budget, -amount);
			if (record.final) {
				endGrant(grant, grant.amount);
			}
		},

		foldClose(record: RecordOf<'close'>, upstreams: readonly string[]): void {
			const grant = grants.get(record.grant);
			if (grant && !grant.waitsFor) {
				grant.waitsFor = [...upstreams];
				endWhenReported(grant);
			}
		},

		foldReport(record: RecordOf<'report'>): void {
			const reporter = formatIncarnation(record.daemon, record.incarnation);
			for (const id of record.grants) {
				const grant = grants.get(id);
				if (grant?.waitsFor) {
					grant.waitsFor = grant.waitsFor.filter(waiting => waiting !== reporter);
					endWhenReported(grant);
				}
			}
		},

		/** Folds the end of an upstream daemon's incarnation; `graceful` when all its receipts are on the log. */
		foldEnd(incarnation: string, graceful: boolean): void {
			batches.delete(incarnation);
			for (const grant of grants.values()) {
				if (!graceful) {
					grant.uncertain = true;
				}

				if (grant.waitsFor) {
					grant.waitsFor = grant.waitsFor.filter(waiting => waiting !== incarnation);
					endWhenReported(grant);
				}
			}
		},

		foldReceipts(record: RecordOf<'receipts'>, at: number): void {
			const incarnation = formatIncarnation(record.daemon, record.incarnation);
			// A batch whose append answer was lost may stand twice; its copy would look like requests that ran twice and be refunded.
			if (record.sequence <= (batches.get(incarnation) ?? 0)) {
				return;
			}

			batches.set(incarnation, record.sequence);
			dropOlder(receipts, at, receipt => receipt.at);
			for (const receipt of record.receipts) {
				foldReceipt(receipt, at);
			}
		},

		/** Counts receipts of an ended incarnation: their reservations were given up on at its end. */
		foldLateReceipts(record: RecordOf<'receipts'>): void {
			for (const share of record.receipts.flatMap(receipt => receipt.shares)) {
				const budget = budgets.get(parseBudget(share.grant));
				if (budget) {
					budget.burnt += share.amount;
				}
			}
		},

		findBudget: (id: string): Readonly<BudgetState> | undefined => budgets.get(id),
		findGrant: (id: string): Readonly<GrantState> | undefined => grants.get(id),
		listGrants: (): Iterable<Readonly<GrantState>> => grants.values(),
		listBudgets: (): Iterable<Readonly<BudgetState>> => budgets.values(),
		/** The tokens billed for a request, or undefined when no receipt is known. */
		findReceipt: (request: string): number | undefined => receipts.get(request)?.cost,
		/** What one attempt at a request cost, by its receipt; 0 without one. */
		findAttemptCost(request: string, attempt: number): number {
			const known = receipts.get(request);
			const costs = known ? [known, ...known.repeats] : [];
			return costs.find(item => item.attempt === attempt)?.cost ?? 0;
		},

		/** Number of the last batch of receipts folded for an incarnation. */
		findLastBatch: (incarnation: string): number => batches.get(incarnation) ?? 0,
		hasRelease: (id: string): boolean => releases.has(id),
		/** Tokens of a budget that no grant holds. */
		computeRemaining,

		buildSnapshot(): LedgerSnapshot {
			return {
				budgets: [...budgets.values()].map(budget => ({...budget})),
				grants: [...grants.values()].map(grant => ({...grant})),
				releases: [...releases],
				receipts: [...receipts].map(([request, receipt]) => [request, {...receipt, repeats: [...receipt.repeats]}]),
				batches: [...batches],
			};
		},
	};
}
