/**
 * Token budgets and their grants, folded from the log.
 *
 * A grant is a right that is used up, not a lease: it never expires, because a
 * paused holder cannot know how much time has passed. A claim is granted at
 * most the tokens that remain in the budget at the claim's offset.
 *
 * Invariant: for each budget, `retired` plus the `amount` of its open grants
 * minus `refunded` never exceeds `bought`.
 *
 * @module
 */
import type {GrantShare, Receipt, RecordOf} from '../protocol/mod.js';
import {sumShares} from './shares.js';

/** State of a budget; all amounts are in tokens. */
export type BudgetState = {
	id: string;
	bought: number;
	/** Used under grants that have ended. */
	retired: number;
	/** Billed by receipts. */
	billed: number;
	/** Generated but not billed, because the request already had a receipt or the incarnation had been superseded. */
	burnt: number;
	/** Returned because the request had already been billed under another grant. */
	refunded: number;
};

/** State of a grant. */
export type GrantState = {
	id: string;
	/** Log offset of its claim. */
	offset: number;
	budget: string;
	daemon: string;
	incarnation: string;
	/** Tokens granted and not released. */
	amount: number;
	/** Upstream incarnations that have yet to report; set when the grant is closed. */
	waitsFor?: string[];
	/** Total tokens of the receipts folded for it. */
	receipted: number;
	/** True if an upstream incarnation that may have run requests under it ended without appending all its receipts. */
	uncertain: boolean;
};

/** Cost of one attempt at a request, in tokens. */
export type AttemptCost = {attempt: number; cost: number};

/** Receipts of a request: the first one is billed, the `repeats` are refunded. */
export type BilledReceipt = AttemptCost & {at: number; repeats: AttemptCost[]};

/** Serialisable form of the ledger. */
export type LedgerSnapshot = {
	budgets: BudgetState[];
	grants: GrantState[];
	/** Identifiers and log times of the folded releases, in log order. */
	releases: Array<[string, number]>;
	receipts: Array<[string, BilledReceipt]>;
	/** Number of the last batch of receipts folded for each incarnation. */
	batches: Array<[string, number]>;
};

/**
 * Formats the identifier of one incarnation of a daemon.
 *
 * @example
 * ```ts
 * formatIncarnationId('entry-1', 'i-9'); // 'entry-1/i-9'
 * ```
 *
 * @param daemon The daemon's name
 * @param incarnation The identifier of one run of its process
 * @returns The identifier, `daemon/incarnation`
 */
export function formatIncarnationId(daemon: string, incarnation: string): string {
	return `${daemon}/${incarnation}`;
}

const budgetSeparator = '@';

/**
 * Formats the identifier of a grant. It contains the identifier of the budget,
 * so that receipts can be booked after the grant has ended.
 *
 * @example
 * ```ts
 * formatGrantId('g-1', 'b1'); // 'g-1@b1'
 * ```
 *
 * @param id A unique identifier
 * @param budget The budget's identifier, which contains no `@`
 * @returns The grant's identifier
 */
export function formatGrantId(id: string, budget: string): string {
	return `${id}${budgetSeparator}${budget}`;
}

/** @internal */
function parseGrantBudget(grant: string): string {
	return grant.slice(grant.indexOf(budgetSeparator) + 1);
}

/** Options of {@linkcode createLedger}. */
export type CreateLedgerOptions = {
	/** How long receipts and release identifiers are kept, by the log's clock. */
	readonly retentionMs: number;
	/** Snapshot to start from; default empty. */
	readonly snapshot?: LedgerSnapshot;
};

/** Ledger of budgets and grants; each `fold…` method applies one log record. */
export type Ledger = ReturnType<typeof createLedger>;

/**
 * Creates a ledger.
 *
 * @example
 * ```ts
 * const ledger = createLedger({retentionMs: 3_600_000});
 * ledger.foldTopUp('b1', 1000);
 * ledger.foldClaim({kind: 'claim', grant: 'g1', budget: 'b1', daemon: 'e1', incarnation: 'i', amount: 5000}, 7);
 * ledger.findGrant('g1')?.amount; // 1000
 * ```
 *
 * @param options The retention period and a snapshot to start from
 * @returns The ledger
 */
export function createLedger(options: CreateLedgerOptions) {
	const budgets = new Map(options.snapshot?.budgets.map(budget => [budget.id, {...budget}]));
	const grants = new Map<string, GrantState>(options.snapshot?.grants.map(grant => [grant.id, {...grant, waitsFor: grant.waitsFor && [...grant.waitsFor]}]));
	const releases = new Map(options.snapshot?.releases);
	const receipts = new Map(options.snapshot?.receipts.map(([request, receipt]) => [request, {...receipt, repeats: [...receipt.repeats]}]));
	const batches = new Map(options.snapshot?.batches);
	const committedTokens = new Map<string, number>();
	for (const grant of grants.values()) {
		addCommittedTokens(grant.budget, grant.amount);
	}

	function addCommittedTokens(budget: string, amount: number): void {
		committedTokens.set(budget, (committedTokens.get(budget) ?? 0) + amount);
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
		return budget ? budget.bought + budget.refunded - budget.retired - (committedTokens.get(id) ?? 0) : 0;
	}

	function endGrant(grant: GrantState, usedTokens: number): void {
		ensureBudget(grant.budget).retired += usedTokens;
		addCommittedTokens(grant.budget, -grant.amount);
		grants.delete(grant.id);
	}

	// Receipts that were never appended are unknown, so an uncertain grant counts as fully used. This cannot overspend the budget.
	function endGrantIfReported(grant: GrantState): void {
		if (grant.waitsFor?.length === 0) {
			endGrant(grant, grant.uncertain ? grant.amount : Math.min(grant.amount, grant.receipted));
		}
	}

	function foldReceipt(receipt: Receipt, timestampMs: number): void {
		const {request, attempt, shares} = receipt;
		const cost = sumShares(shares);
		// A request may run at two upstream daemons that cannot reach each other; only its first receipt is billed.
		const billedReceipt = receipts.get(request);
		if (billedReceipt) {
			billedReceipt.repeats.push({attempt, cost});
		} else {
			receipts.set(request, {
				at: timestampMs, attempt, cost, repeats: [],
			});
		}

		for (const share of shares) {
			foldShare(share, billedReceipt !== undefined);
		}
	}

	function foldShare(share: GrantShare, isRepeated: boolean): void {
		const budget = budgets.get(parseGrantBudget(share.grant));
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

	// Deletes entries older than the retention period. The map is in log order, so the scan ends at the first entry that is not expired.
	function evictExpired<Value>(map: Map<string, Value>, nowMs: number, getTimestampMs: (value: Value) => number): void {
		for (const [key, value] of map) {
			if (getTimestampMs(value) >= nowMs - options.retentionMs) {
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
			// A claim is appended again if the answer to its append is lost; the duplicate grants nothing.
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
			addCommittedTokens(record.budget, amount);
		},

		foldRelease(record: RecordOf<'release'>, timestampMs: number): void {
			const grant = grants.get(record.grant);
			// The unused part of a closed grant is computed from the upstreams' reports; a release recorded after the close would return it twice.
			if (!grant || grant.waitsFor !== undefined || releases.has(record.id)) {
				return;
			}

			evictExpired(releases, timestampMs, foldedAt => foldedAt);
			releases.set(record.id, timestampMs);
			const amount = Math.min(record.amount, grant.amount);
			grant.amount -= amount;
			addCommittedTokens(grant.budget, -amount);
			if (record.final) {
				endGrant(grant, grant.amount);
			}
		},

		foldClose(record: RecordOf<'close'>, upstreams: readonly string[]): void {
			const grant = grants.get(record.grant);
			if (grant && !grant.waitsFor) {
				grant.waitsFor = [...upstreams];
				endGrantIfReported(grant);
			}
		},

		foldReport(record: RecordOf<'report'>): void {
			const reporter = formatIncarnationId(record.daemon, record.incarnation);
			for (const id of record.grants) {
				const grant = grants.get(id);
				if (grant?.waitsFor) {
					grant.waitsFor = grant.waitsFor.filter(waiting => waiting !== reporter);
					endGrantIfReported(grant);
				}
			}
		},

		/** Folds the end of an upstream daemon's incarnation; `graceful` means that the log has all its receipts. */
		foldEnd(incarnation: string, graceful: boolean): void {
			batches.delete(incarnation);
			for (const grant of grants.values()) {
				if (!graceful) {
					grant.uncertain = true;
				}

				if (grant.waitsFor) {
					grant.waitsFor = grant.waitsFor.filter(waiting => waiting !== incarnation);
					endGrantIfReported(grant);
				}
			}
		},

		foldReceipts(record: RecordOf<'receipts'>, timestampMs: number): void {
			const incarnation = formatIncarnationId(record.daemon, record.incarnation);
			// A batch is appended again if the answer to its append is lost; the duplicate would be refunded like requests that ran twice.
			if (record.sequence <= (batches.get(incarnation) ?? 0)) {
				return;
			}

			batches.set(incarnation, record.sequence);
			evictExpired(receipts, timestampMs, receipt => receipt.at);
			for (const receipt of record.receipts) {
				foldReceipt(receipt, timestampMs);
			}
		},

		/** Counts receipts of an ended incarnation as burnt: their reservations were written off when it ended. */
		foldLateReceipts(record: RecordOf<'receipts'>): void {
			for (const share of record.receipts.flatMap(receipt => receipt.shares)) {
				const budget = budgets.get(parseGrantBudget(share.grant));
				if (budget) {
					budget.burnt += share.amount;
				}
			}
		},

		findBudget: (id: string): Readonly<BudgetState> | undefined => budgets.get(id),
		findGrant: (id: string): Readonly<GrantState> | undefined => grants.get(id),
		listGrants: (): Iterable<Readonly<GrantState>> => grants.values(),
		listBudgets: (): Iterable<Readonly<BudgetState>> => budgets.values(),
		/** Returns the tokens billed for a request, or undefined if it has no receipt. */
		findBilledCost: (request: string): number | undefined => receipts.get(request)?.cost,
		/** Returns the cost of one attempt at a request according to its receipt, or 0 without a receipt. */
		findAttemptCost(request: string, attempt: number): number {
			const receipt = receipts.get(request);
			const costs = receipt ? [receipt, ...receipt.repeats] : [];
			return costs.find(item => item.attempt === attempt)?.cost ?? 0;
		},

		/** Returns the number of the last batch of receipts folded for an incarnation, or 0. */
		findLastBatchSequence: (incarnation: string): number => batches.get(incarnation) ?? 0,
		hasRelease: (id: string): boolean => releases.has(id),
		/** Returns the tokens of a budget that are not granted. */
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
