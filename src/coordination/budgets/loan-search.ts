/**
 * Searches of one gateway for tokens at the others.
 *
 * @module
 */
import {waitWithTimeout, type Clock} from '../../transport/mod.js';
import {
	hasEnough, planAsks, rankLenders, type PlannedAsk, type RankLendersOptions,
} from './lender-plan.js';
import type {LoanCalls} from './loan-calls.js';
import type {Lender, TokenLoanRequest} from './token-loan.js';

/** Outcome of a search for tokens. */
export type BorrowOutcome = {
	readonly tokens: number;
	/** True if every gateway that is not presumed failed has answered. */
	readonly isComplete: boolean;
	/** True if an owner that can reach the log has answered. */
	readonly isOwnerClaiming: boolean;
	/** True if the search was started by an earlier request, whose amounts may not include this one. */
	readonly isJoined?: boolean;
};

/** Amounts to borrow, in tokens. */
export type BorrowAmounts = Pick<TokenLoanRequest, 'needed' | 'wanted'> & {
	/** Tokens of the budget that owners can claim. */
	readonly unclaimed: number;
	/** Time for which the waiting request may wait; without a limit if undefined. */
	readonly maxWaitMs?: number;
	/** True for tokens that no request waits for, which only the owner lends. */
	readonly isAhead?: boolean;
};

/** Options of {@linkcode createLoanSearch}. */
export type CreateLoanSearchOptions = {
	readonly calls: Pick<LoanCalls, 'open' | 'getDurationMs'>;
	readonly listViews: () => RankLendersOptions['views'];
	/** Returns the gateways recorded as running in the log that recently became unresponsive or have not been heard from yet. */
	readonly listUnresponsive: () => readonly string[];
	/** Returns those of them that have not been heard from yet but may answer a call. */
	readonly listUnheard: () => readonly Lender[];
	/** Returns the gateways in the order in which they take over the customer's budget; none if each claims for itself. */
	readonly listOwners: (customer: string) => readonly string[];
	/** Returns true if this gateway claims the customer's budget. */
	readonly isOwner: (customer: string) => boolean;
	readonly clock: Clock;
};

/** Searches for tokens. */
export type TokenSearch = ReturnType<typeof createLoanSearch>;

/** Time for which a gateway that did not reply is asked after the others. */
const unresponsivePeriodMs = 2000;
/** Time for which a round waits for replies; the calls may take longer. */
const replyWaitMs = 300;
/** Time after which the next owner is asked as well, for what it has. Owners reply in 2 to 50 ms, also if they claim first. */
const hedgeDelayMs = 60;
/** Shortest time after which the next owner may claim too. If it may at once, claims of both collide while the store is slow, which doubled the number of appends. */
const minClaimHedgeDelayMs = 150;
/** The next owner may claim after this multiple of the time that loans usually take. */
const claimHedgeFactor = 3;

/**
 * Creates the searches of one gateway.
 *
 * @example
 * ```ts
 * const {tokens} = await search.run('city-1', {needed: 1200, wanted: 3600, unclaimed: 50_000, maxWaitMs: 225});
 * ```
 *
 * @param options The calls and the peers
 * @returns The searches
 */
export function createLoanSearch({
	calls, listViews, listUnresponsive, listUnheard, listOwners, isOwner, clock,
}: CreateLoanSearchOptions) {
	/** Time of the last call to each gateway whose reply did not come in time. */
	const unansweredAt = new Map<string, number>();

	function isUnresponsive(daemon: string): boolean {
		return clock.now() - (unansweredAt.get(daemon) ?? Number.NEGATIVE_INFINITY) < unresponsivePeriodMs;
	}

	function startSearch(customer: string, {needed, wanted, unclaimed, maxWaitMs = Number.POSITIVE_INFINITY}: BorrowAmounts) {
		const wantedRatio = wanted / Math.max(1, needed);
		const deadline = clock.now() + maxWaitMs;
		const unresponsive = new Set(listUnresponsive());
		const replied = new Set<string>();
		let missing = needed;
		let isComplete = true;
		let isOwnerClaiming = false;

		/** Returns true if the lender has replied. */
		async function ask({lender, needed: asked}: PlannedAsk, mayClaim: boolean): Promise<boolean> {
			const timeoutMs = Math.min(replyWaitMs, deadline - clock.now());
			if (timeoutMs <= 0) {
				isComplete = false;
				return false;
			}

			const {reply, markLate} = calls.open(lender, {
				customer, needed: asked, wanted: Math.ceil(asked * wantedRatio), mayClaim,
			});
			const startedAt = clock.now();
			const loan = await waitWithTimeout(reply, {clock, timeoutMs});
			if (loan === undefined) {
				markLate();
				isComplete = false;
				// A short wait does not show that the gateway is unresponsive.
				if (timeoutMs >= minClaimHedgeDelayMs || clock.now() - startedAt < timeoutMs) {
					unansweredAt.set(lender.daemon, clock.now());
				}

				return false;
			}

			replied.add(lender.daemon);
			unresponsive.delete(lender.daemon);
			unansweredAt.delete(lender.daemon);
			isOwnerClaiming ||= loan.isClaiming;
			missing -= loan.credited;
			return true;
		}

		async function waitFor(pending: Promise<unknown>, untilMs: number): Promise<void> {
			const timeoutMs = Math.min(untilMs, deadline) - clock.now();
			if (timeoutMs > 0) {
				await waitWithTimeout(pending, {clock, timeoutMs});
			}
		}

		// Asks the next owner as well if the first has not replied within a delay, and lets it claim after a longer one. Returns
		// an owner that has replied.
		async function askOwners([first, next]: readonly Lender[]): Promise<Lender | undefined> {
			if (!first) {
				return undefined;
			}

			const startedAt = clock.now();
			const mayClaim = !isOwner(customer);
			let isDone = false;
			const firstAsk = (async () => {
				await ask({lender: first, needed: missing}, mayClaim);
				isDone = true;
			})();
			await waitFor(firstAsk, startedAt + hedgeDelayMs);
			if (next && !isDone) {
				void ask({lender: next, needed: missing}, false);
				await waitFor(firstAsk, startedAt + Math.max(minClaimHedgeDelayMs, claimHedgeFactor * calls.getDurationMs()));
			}

			if (next && !replied.has(first.daemon) && missing > 0) {
				const firstReply = (async () => {
					await firstAsk;
					// A promise of this search: one that all searches share would keep what waits for it.
					return replied.has(first.daemon) || new Promise<never>(() => undefined); // eslint-disable-line no-promise-executor-return
				})();
				await Promise.race([firstReply, ask({lender: next, needed: missing}, mayClaim)]);
			}

			return [first, next].find(owner => owner && replied.has(owner.daemon));
		}

		async function askAll(asks: readonly PlannedAsk[]): Promise<void> {
			await Promise.all(asks.map(async planned => ask(planned, false)));
		}

		return {
			askOwners, askAll,
			countMissing: () => missing,
			hasReplied: ({daemon}: Lender): boolean => replied.has(daemon),
			/** Returns true if an owner that has replied can claim what is missing. */
			canOwnerClaim: () => isOwnerClaiming && unclaimed >= missing,
			askOwnerAgain: async (owner: Lender) => ask({lender: owner, needed: missing}, !isOwner(customer)),
			buildOutcome: (): BorrowOutcome => ({tokens: needed - missing, isComplete: isComplete && unresponsive.size === 0, isOwnerClaiming}),
		};
	}

	return {
		/** Asks the owners, then the other gateways, in two rounds at most. */
		async run(customer: string, amounts: BorrowAmounts): Promise<BorrowOutcome> {
			const search = startSearch(customer, amounts);
			const ownerNames = listOwners(customer);
			const {owners, others} = rankLenders(customer, {views: listViews(), ownerNames, isUnresponsive});
			const answeringOwner = await search.askOwners(amounts.isAhead ? owners.slice(0, 1) : owners);
			if (amounts.isAhead) {
				return search.buildOutcome();
			}

			// The free tokens of an owner that has replied count too: it lends them once the others cover the remainder.
			const missing = search.countMissing();
			if (missing > 0 && (!search.canOwnerClaim() || hasEnough(customer, others, missing))) {
				await search.askAll(planAsks(customer, {lenders: others.filter(view => !search.hasReplied(view)), missing}));
			}

			// Where each gateway claims for itself, gossip may be late: the second round asks those that advertise nothing. Where
			// owners claim, a gateway that has just started has borrowed nothing yet.
			if (ownerNames.length === 0 && search.countMissing() > 0) {
				const unasked = [...others, ...listUnheard()].filter(lender => !search.hasReplied(lender));
				await search.askAll(unasked.map(lender => ({lender, needed: search.countMissing()})));
			}

			// An owner lends all that is missing or nothing; after the loans of the others it may be able to lend the remainder.
			if (answeringOwner && search.countMissing() > 0 && search.countMissing() < amounts.needed) {
				await search.askOwnerAgain(answeringOwner);
			}

			return search.buildOutcome();
		},
	};
}
