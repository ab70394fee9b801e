/**
 * Lending between gateways: a request for which this gateway has insufficient
 * tokens may use those of another gateway, also while the store is unavailable.
 *
 * @module
 */
import type {PeerView} from '../../state/mod.js';
import {waitWithTimeout} from '../../transport/mod.js';
import {createLoanCalls, type CreateLoanCallsOptions, type LoanAsk} from './loan-calls.js';
import {createLoanLender, type CreateLoanLenderOptions} from './loan-lender.js';
import type {Lender, TokenLoan, TokenLoanRequest} from './token-loan.js';

/** Options of {@linkcode createTokenLending}. */
export type CreateTokenLendingOptions = Omit<CreateLoanCallsOptions, 'listLenders'> & CreateLoanLenderOptions & {
	readonly listViews: () => PeerView[];
	/** Returns the gateways recorded as running in the log that recently became unresponsive or have not been heard from yet. */
	readonly listUnresponsive: () => readonly string[];
	/** Returns those of them that have not been heard from yet but may answer a call. */
	readonly listUnheard: () => readonly Lender[];
	/** Returns the gateways in the order in which they take over the customer's budget; none if each claims for itself. */
	readonly listOwners: (customer: string) => readonly string[];
	/** Returns true if this gateway claims the customer's budget. */
	readonly isOwner: (customer: string) => boolean;
};

/** Lends tokens to other gateways and borrows from them. */
export type TokenLending = ReturnType<typeof createTokenLending>;

/** Outcome of a search for tokens. */
export type BorrowOutcome = {
	readonly tokens: number;
	/** True if every gateway that is not presumed failed has answered. */
	readonly isComplete: boolean;
	/** True if an owner that can reach the log has answered. */
	readonly isOwnerClaiming: boolean;
};

/** Amounts to borrow, in tokens. */
export type BorrowAmounts = Pick<TokenLoanRequest, 'needed' | 'wanted'> & {
	/** Tokens of the budget that owners can claim. */
	readonly unclaimed: number;
	/** Time for which the waiting request may wait; without a limit if undefined. */
	readonly maxWaitMs?: number;
};

/** Time for which a gateway that did not answer is queried after the others. */
const unresponsivePeriodMs = 2000;
/** Number of gateways that are queried as owners of a budget; the second lends while the first is unavailable. */
const maxOwnersQueried = 2;
/** Number of other gateways that are queried for free tokens; each call delays the request. */
const maxOthersQueried = 6;
/** Time for which a search waits for the reply of one lender; the call itself may take longer. */
const replyWaitMs = 300;

/**
 * Creates the lending of one gateway.
 *
 * @example
 * ```ts
 * const {tokens} = await lending.borrow('city-1', {needed: 1200, wanted: 3600});
 * ```
 *
 * @param options The token account and the peers
 * @returns The lending
 */
export function createTokenLending(options: CreateTokenLendingOptions) {
	const {clock} = options;
	/** Time of the last unanswered request to each gateway. */
	const unansweredAt = new Map<string, number>();
	const searches = new Map<string, Promise<BorrowOutcome>>();
	const calls = createLoanCalls({...options, listLenders: () => [...options.listViews(), ...options.listUnheard()]});
	const lender = createLoanLender(options);

	async function requestLoan(peer: Lender, ask: LoanAsk, deadline: number) {
		const {reply, markLate} = calls.open(peer, ask);
		const loan = await waitWithTimeout(reply, {clock, timeoutMs: Math.min(replyWaitMs, Math.max(0, deadline - clock.now()))});
		if (loan === undefined) {
			markLate();
			unansweredAt.set(peer.daemon, clock.now());
		}

		return loan;
	}

	function isUnresponsive({daemon}: Lender): boolean {
		return clock.now() - (unansweredAt.get(daemon) ?? Number.NEGATIVE_INFINITY) < unresponsivePeriodMs;
	}

	// Ranks owners first, then gateways by free tokens. Where each gateway claims for itself, all of them are queried.
	function rankLenders(customer: string): {readonly owners: readonly PeerView[]; readonly others: readonly PeerView[]} {
		const countFree = (view: PeerView) => view.free.find(item => item.customer === customer)?.tokens ?? 0;
		const byFree = options.listViews().sort((left, right) => countFree(right) - countFree(left));
		const owners = options.listOwners(customer);
		if (owners.length === 0) {
			return {owners: [], others: byFree};
		}

		const byName = new Map(byFree.map(view => [view.daemon, view]));
		const ownerViews = owners.flatMap(owner => byName.get(owner) ?? []);
		const lendingOwners = [...ownerViews.filter(view => !isUnresponsive(view)), ...ownerViews.filter(view => isUnresponsive(view))].slice(0, maxOwnersQueried);
		const others = byFree.filter(view => countFree(view) > 0).slice(0, maxOthersQueried);
		return {owners: lendingOwners, others};
	}

	// While an owner can claim what is missing, the remainders at other gateways are worth a call only if they suffice.
	function hasEnough(customer: string, others: readonly PeerView[], missing: number): boolean {
		const advertised = others.map(({free}) => free.find(item => item.customer === customer)?.tokens ?? 0);
		return advertised.reduce((sum, tokens) => sum + tokens, 0) >= missing;
	}

	async function search(customer: string, {
		needed, wanted, unclaimed, maxWaitMs = Number.POSITIVE_INFINITY,
	}: BorrowAmounts): Promise<BorrowOutcome> {
		const deadline = clock.now() + maxWaitMs;
		const wantedRatio = wanted / Math.max(1, needed);
		const mayClaim = !options.isOwner(customer);
		let missing = needed;
		const unresponsive = new Set(options.listUnresponsive());
		let isComplete = true;
		let isOwnerClaiming = false;
		const requestMissing = async (peer: Lender, lenderMayClaim: boolean) => {
			if (clock.now() >= deadline) {
				isComplete = false;
				return false;
			}

			const loan = await requestLoan(peer, {
				customer, needed: missing, wanted: Math.ceil(missing * wantedRatio), mayClaim: lenderMayClaim,
			}, deadline);
			isComplete &&= loan !== undefined;
			isOwnerClaiming ||= loan?.isClaiming === true;
			missing -= loan?.credited ?? 0;
			unresponsive.delete(peer.daemon);
			return loan !== undefined;
		};

		const {owners, others} = rankLenders(customer);
		let answeringOwner: PeerView | undefined;
		for (const peer of owners) {
			if (!answeringOwner && await requestMissing(peer, mayClaim)) {
				answeringOwner = peer;
			}
		}

		const isClaimable = isOwnerClaiming && unclaimed >= missing;
		for (const peer of isClaimable && !hasEnough(customer, others, missing) ? [] : others) {
			if (missing > 0 && peer !== answeringOwner) {
				await requestMissing(peer, false);
			}
		}

		// Where owners claim, a gateway that has just started has borrowed nothing yet.
		const unheard = options.listOwners(customer).length === 0 ? options.listUnheard() : [];
		for (const peer of unheard.slice(0, maxOthersQueried)) {
			if (missing > 0) {
				await requestMissing(peer, false);
			}
		}

		// An owner lends all that is missing or nothing; after the loans of the others it may be able to lend the remainder.
		if (answeringOwner && missing > 0 && missing < needed) {
			await requestMissing(answeringOwner, mayClaim);
		}

		return {tokens: needed - missing, isComplete: isComplete && unresponsive.size === 0, isOwnerClaiming};
	}

	return {
		/** Lends the tokens that a peer needs, and more if many are spare. */
		lend: async (request: TokenLoanRequest): Promise<TokenLoan> => lender.lend(request),

		/** Returns the tokens lent that their borrowers have not confirmed. */
		countUnconfirmed: lender.countUnconfirmed,

		/** Returns the tokens credited after nobody waited for their reply any more. */
		getLateTokens: calls.getLateTokens,

		/** Returns true if a lender that may have deducted tokens of the customer has not replied. */
		hasOpenLoans: calls.hasOpen,

		/** Polls lenders that have not replied, until the signal is aborted. */
		run: calls.run,

		/** Polls lenders that have not replied once. */
		pollOpenLoans: calls.pollOpenLoans,

		/** Borrows from the owner and the gateways with the most free tokens. Concurrent calls for one customer share a search. */
		async borrow(customer: string, amounts: BorrowAmounts): Promise<BorrowOutcome> {
			const running = searches.get(customer);
			if (running) {
				const outcome = amounts.maxWaitMs === undefined ? await running : await waitWithTimeout(running, {clock, timeoutMs: amounts.maxWaitMs});
				return outcome ?? {tokens: 0, isComplete: false, isOwnerClaiming: false};
			}

			const started = search(customer, amounts);
			searches.set(customer, started);
			try {
				return await started;
			} finally {
				searches.delete(customer);
			}
		},
	};
}
