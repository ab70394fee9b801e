/**
 * Lending between gateways: a request for which this gateway has insufficient
 * tokens may use those of another gateway, also while the store is unavailable.
 *
 * @module
 */
import {createId, type EventLog} from '../../protocol/mod.js';
import type {PeerView, TokenAccount} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** A request for a loan, as one gateway sends it to another. */
export type TokenLoanRequest = {
	/** Unique ID of the loan; a repeated request gets the same answer. */
	readonly loan: string;
	readonly customer: string;
	/** Tokens that waiting requests lack. */
	readonly needed: number;
	/** Tokens with which the borrower would not need another loan soon. */
	readonly wanted: number;
	/** Name of the borrowing gateway. */
	readonly from: string;
	/** True if the lender may claim tokens that it lacks itself. */
	readonly mayClaim: boolean;
};

/** The answer to a request for a loan. */
export type TokenLoan = {
	readonly tokens: number;
	/** True if the lender claims on behalf of others and can reach the log, so that the borrower need not claim. */
	readonly isClaiming: boolean;
};

/** A gateway that may lend. */
type Lender = Pick<PeerView, 'daemon' | 'address'>;

/** Options of {@linkcode createTokenLending}. */
export type CreateTokenLendingOptions = {
	readonly daemon: string;
	readonly account: TokenAccount;
	readonly events: EventLog;
	readonly listViews: () => PeerView[];
	/** Returns the gateways recorded as running in the log that recently became unresponsive or have not been heard from yet. */
	readonly listUnresponsive: () => readonly string[];
	/** Returns those of them that have not been heard from yet but may answer a call. */
	readonly listUnheard: () => readonly Lender[];
	/** Returns the number of tokens that waiting requests of this gateway need. */
	readonly countWanted: (customer: string) => number;
	/** Returns the gateways in the order in which they take over the customer's budget; none if each claims for itself. */
	readonly listOwners: (customer: string) => readonly string[];
	/** Returns true if this gateway claims the customer's budget. */
	readonly isOwner: (customer: string) => boolean;
	/** Returns true if this gateway can reach the log. */
	readonly canClaim: () => boolean;
	/** Claims tokens on behalf of another gateway. */
	readonly claim: (customer: string, amount: number) => Promise<void>;
	/** Called with the amount lent to a gateway on whose behalf this one claims. */
	readonly onLent: (customer: string, amount: number) => void;
	readonly clock: Clock;
	/** Requests a loan from one gateway; throws if it does not answer. */
	readonly requestLoan: (address: string, request: TokenLoanRequest) => Promise<TokenLoan>;
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
};

/** Time for which a gateway that did not answer is queried after the others. */
const unresponsivePeriodMs = 2000;
/** Number of gateways that are queried as owners of a budget; the second lends while the first is unavailable. */
const maxOwnersQueried = 2;
/** Number of other gateways that are queried for free tokens; each call delays the request. */
const maxOthersQueried = 6;
/** Number of answers kept for repeated requests. */
const maxStoredAnswers = 2000;
/** A lender may lend more than is needed now, up to this share of its spare tokens. */
const surplusShare = 0.5;

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
	const {account, events, clock} = options;
	const answers = new Map<string, Promise<TokenLoan>>();
	/** Time of the last unanswered request to each gateway. */
	const unansweredAt = new Map<string, number>();
	const searches = new Map<string, Promise<BorrowOutcome>>();

	function evictOldAnswers(): void {
		for (const loan of answers.keys()) {
			if (answers.size <= maxStoredAnswers) {
				return;
			}

			answers.delete(loan);
		}
	}

	function recordLoan(peer: Lender, customer: string, {lent, requestedAt}: {readonly lent: number; readonly requestedAt: number}): void {
		if (lent > 0) {
			account.addBorrowed(customer, lent);
			events.write('loanTaken', {
				customer, from: peer.daemon, amount: lent, ms: Math.round(clock.now() - requestedAt),
			});
		}
	}

	// Repeats the request under the same loan ID, because the lender may have subtracted the tokens before its answer was
	// lost. The caller's request does not wait for this.
	async function retryLoanRequest(peer: Lender, request: TokenLoanRequest): Promise<void> {
		const requestedAt = clock.now();
		try {
			const {tokens} = await options.requestLoan(peer.address, request);
			recordLoan(peer, request.customer, {lent: tokens, requestedAt});
		} catch (error) {
			events.write('loanUnanswered', {peer: peer.daemon, customer: request.customer, detail: (error as Error).message});
		}
	}

	async function sendLoanRequest(peer: Lender, request: TokenLoanRequest): Promise<TokenLoan | undefined> {
		const requestedAt = clock.now();
		try {
			const loan = await options.requestLoan(peer.address, request);
			recordLoan(peer, request.customer, {lent: loan.tokens, requestedAt});
			return loan;
		} catch (error) {
			events.write('loanUnanswered', {peer: peer.daemon, customer: request.customer, detail: (error as Error).message});
			unansweredAt.set(peer.daemon, clock.now());
			void retryLoanRequest(peer, request);
			return undefined;
		}
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

	async function search(customer: string, {needed, wanted, unclaimed}: BorrowAmounts): Promise<BorrowOutcome> {
		const wantedRatio = wanted / Math.max(1, needed);
		const mayClaim = !options.isOwner(customer);
		let missing = needed;
		const unresponsive = new Set(options.listUnresponsive());
		let isComplete = true;
		let isOwnerClaiming = false;
		const requestMissing = async (peer: Lender, lenderMayClaim: boolean) => {
			const loan = await sendLoanRequest(peer, {
				loan: createId('l'), customer, needed: missing, wanted: Math.ceil(missing * wantedRatio), from: options.daemon, mayClaim: lenderMayClaim,
			});
			isComplete &&= loan !== undefined;
			isOwnerClaiming ||= loan?.isClaiming === true;
			missing -= loan?.tokens ?? 0;
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

	function countSpare(customer: string): number {
		return Math.max(0, account.countFreeTokens(customer) - options.countWanted(customer));
	}

	function makeLoan({
		customer, needed, wanted, from, mayClaim,
	}: TokenLoanRequest, requestedAt: number): number {
		const spare = countSpare(customer);
		// A large request that is refused anyway must not take the remainder of a budget from its owner, because smaller
		// requests at other gateways would not find it.
		if (mayClaim && spare < needed) {
			return 0;
		}

		const lent = account.lend(customer, Math.min(spare, Math.max(needed, Math.min(wanted, Math.floor(spare * surplusShare)))));
		if (lent > 0) {
			events.write('loanGiven', {
				customer, to: from, amount: lent, ms: Math.round(clock.now() - requestedAt),
			});
			if (mayClaim) {
				options.onLent(customer, lent);
			}
		}

		return lent;
	}

	async function claimAndLend(request: TokenLoanRequest): Promise<TokenLoan> {
		const requestedAt = clock.now();
		if (request.mayClaim && countSpare(request.customer) < request.needed) {
			await options.claim(request.customer, request.needed);
		}

		return {tokens: makeLoan(request, requestedAt), isClaiming: request.mayClaim && options.canClaim()};
	}

	return {
		/** Lends the tokens that a peer needs, and more if many are spare. Waiting requests of this gateway take precedence. */
		async lend(request: TokenLoanRequest): Promise<TokenLoan> {
			const known = answers.get(request.loan);
			if (known) {
				return known;
			}

			const answer = claimAndLend(request);
			answers.set(request.loan, answer);
			evictOldAnswers();
			return answer;
		},

		/** Borrows from the owner and the gateways with the most free tokens. Concurrent calls for one customer share a search. */
		async borrow(customer: string, amounts: BorrowAmounts): Promise<BorrowOutcome> {
			const running = searches.get(customer);
			if (running) {
				return running;
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
