/**
 * Obtains the tokens that a gateway's requests need from its customers'
 * budgets: from its own grant, by a claim, or by loans from other gateways.
 *
 * @module
 */
import {
	Err, Ok, type Failure, type Result,
} from '../../protocol/mod.js';
import type {HolderRecord, TokenReservation} from '../../state/mod.js';
import type {BudgetOwners} from './budget-owners.js';
import {createClaimRounds} from './claim-rounds.js';
import {createDemand} from './demand.js';
import {createGrantWriter, formatHolderKey, type CreateGrantWriterOptions} from './grant-writer.js';
import type {LoanPolicy} from './loan-policy.js';
import type {BorrowOutcome} from './loan-search.js';
import {createTokenBorrower, type BorrowTokens, type LoanProgress} from './token-borrower.js';
import {createTokenQueue, type TokenWaiter} from './token-queue.js';
import {createTokenSources, type SearchResult} from './token-sources.js';
import {decideRefusal, estimateRetryAfterMs} from './token-refusal.js';

/** Options of {@linkcode BudgetManager.acquire}. */
export type AcquireTokensOptions = {
	/** Time for which the request may wait in total, in milliseconds. */
	readonly timeoutMs: number;
	/** Order among waiting requests of the customer; less is more urgent; default 0. */
	readonly urgency?: number;
	/** ID of the request, for log events. */
	readonly request?: string;
};

/** Options of {@linkcode createBudgetManager}. */
export type CreateBudgetManagerOptions = Omit<CreateGrantWriterOptions, 'demand' | 'waitingClaims' | 'owners'> & {
	readonly borrow: BorrowTokens;
	/** State of the loans; without it, none are expected to arrive late. */
	readonly loans?: LoanProgress;
	/** Determines which gateway claims a customer's budget. */
	readonly owners: Pick<BudgetOwners, 'isOwner' | 'isSmallFleet' | 'isSettled' | 'countClaimers' | 'countGateways' | 'refresh'>;
	/** Decides how much is borrowed from owners. */
	readonly loanPolicy: LoanPolicy;
};

/** Manages the tokens of one gateway. */
export type BudgetManager = ReturnType<typeof createBudgetManager>;

/** Shortest period over which a new rate is averaged, so that a single first request does not look like a burst. */
const rateWarmUpMs = 2000;
/** Pause between claim rounds; less than the demand that a grant covers. A request that lacks tokens does not wait for the next round. */
const roundIntervalMs = 500;
/** If claims take longer than this, tokens are first borrowed from other gateways, which answer in 3 ms. A claim usually takes 10 to 20 ms. */
const slowClaimMs = 60;
/** A request is refused as exhausted only if the log was read within this time: two rounds. */
const maxSyncAgeMs = 2 * roundIntervalMs;
/** Timeout of a claim on behalf of another gateway. That gateway waits 300 ms for the answer, most of which the messages may take while both are busy. */
const claimForPeerTimeoutMs = 100;
const noLoans: LoanProgress = {
	hasOpenLoans: () => false, hasLateLoans: () => false, countInFlight: () => 0, getDurationMs: () => 0,
};

/**
 * Creates a budget manager; `run` operates it until the signal is aborted.
 *
 * @example
 * ```ts
 * const reservation = await manager.acquire('city-1', 1540, {timeoutMs: 300});
 * ```
 *
 * @param options The grants log, the token account and the deployment
 * @returns The manager
 */
export function createBudgetManager(options: CreateBudgetManagerOptions) {
	const {
		self, follower, grants, account, owners, findRouteTable, clock, events, signal,
	} = options;
	const key = formatHolderKey(self);
	const demand = createDemand(clock, {warmUpMs: rateWarmUpMs});
	/** Number of pending claims by customer, including customers whose budget another gateway owns. */
	const waitingClaims = new Map<string, number>();
	const writer = createGrantWriter({
		...options, demand, waitingClaims,
	});
	const {loans = noLoans} = options;
	const borrower = createTokenBorrower({
		...options, loans, demand, countRemaining, isLogUp: follower.isUp,
	});

	// Counts demand when tokens are reserved: a stream is settled seconds later, and a burst would go unnoticed until then.
	function reserve(customer: string, amount: number): TokenReservation | undefined {
		const reservation = account.reserve(customer, amount);
		if (reservation) {
			demand.recordSpent(customer, amount);
		}

		return reservation;
	}

	const queue = createTokenQueue({
		reserve,
		countObtainable: customer => ({free: account.countFreeTokens(customer), inFlight: loans.countInFlight(customer) + countClaiming(customer)}),
	});
	const claims = createClaimRounds({renew: writer.renew, waitingClaims, clock});

	function tryServe(waiter: TokenWaiter): boolean {
		queue.serve(waiter.customer);
		return waiter.reservation !== undefined;
	}

	function isClaimSlow(): boolean {
		return !follower.isUp() || !options.isLogComplete() || writer.getClaimDurationMs() > slowClaimMs;
	}

	function countRemaining(customer: string): number {
		const bought = findRouteTable()?.findCustomer(customer)?.bought ?? 0;
		grants.reserveForUnreadable(customer, bought);
		return Math.max(0, bought - grants.sumGranted(customer, key) - account.countCommittedTokens(customer));
	}

	/** Returns the tokens that a running claim is expected to add. */
	function countClaiming(customer: string): number {
		return waitingClaims.has(customer) && follower.isUp() ? Math.min(countRemaining(customer), Math.max(0, demand.countWanted(customer) - account.countFreeTokens(customer))) : 0;
	}

	/** Returns true if the log has just been read and has all grants. */
	function isLogCertain(): boolean {
		return follower.isUp() && (follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY) <= maxSyncAgeMs && options.isLogComplete() && grants.listMissing().length === 0;
	}

	// Exceeds the budget even if no other gateway has spent any of it.
	function isBeyondBudget(customer: string, amount: number): boolean {
		return isLogCertain() && amount > (findRouteTable()?.findCustomer(customer)?.bought ?? 0) - account.get(customer).spent;
	}

	// True if further searches cannot help: this one has just asked every gateway for what the request lacks, and none had any.
	function isExhausted({customer, amount}: TokenWaiter, {tokens, isComplete, isJoined}: BorrowOutcome): boolean {
		return isComplete && !isJoined && tokens === 0 && !loans.hasOpenLoans(customer) && isLogCertain() && countRemaining(customer) < amount;
	}

	const {obtainAsOwner, obtainFromOwner} = createTokenSources({
		follower, loans, clock, signal, countRemaining, isClaimSlow, isExhausted, tryServe,
		borrowMissing: borrower.borrowMissing,
		claimUntil: claims.claimUntil,
	});

	// Refuses as exhausted only if the log and every gateway have just confirmed it. While a read hangs, the log still counts
	// as up until the read fails, and tokens that other gateways have released since are unknown.
	function refuse(customer: string, amount: number, {isComplete, isOwnerClaiming = false, request}: SearchResult & {readonly request?: string}): Failure {
		const bought = findRouteTable()?.findCustomer(customer)?.bought ?? 0;
		const retryAfterMs = estimateRetryAfterMs({
			isLoanOpen: loans.hasOpenLoans(customer), loanDurationMs: loans.getDurationMs(), isClaiming: isOwnerClaiming || waitingClaims.has(customer), claimDurationMs: writer.getClaimDurationMs(),
		});
		events.write('budgetShort', {
			request, customer, amount, free: account.countFreeTokens(customer), bound: account.countCommittedTokens(customer), bought, elsewhere: grants.sumGranted(customer, key), isStoreUp: follower.isUp(), bookMs: follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY, isComplete, retryAfterMs,
		});
		return decideRefusal({
			customer, amount, bought, remaining: countRemaining(customer), isCertain: isComplete && isLogCertain(), retryAfterMs,
		});
	}

	async function waitForTokens(customer: string, amount: number, {timeoutMs, request, urgency = 0}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
		const waiter = queue.add(customer, {amount, urgency, onLeft: demand.addWaiting(customer, amount)});
		const deadline = clock.now() + timeoutMs;
		try {
			// Tokens that are free already are given out in the order of the queue.
			const obtained = tryServe(waiter) ? undefined : (owners.isOwner(customer) ? obtainAsOwner(waiter, deadline) : obtainFromOwner(waiter, deadline));
			const outcome = await Promise.race([waiter.served, ...obtained ? [obtained] : []]);
			if (waiter.reservation) {
				return Ok(waiter.reservation);
			}

			const {isComplete, isOwnerClaiming}: SearchResult = 'isComplete' in outcome ? outcome : {isComplete: false};
			// A lender that has lent all it had advertises nothing, so a search may be complete without its reply.
			return Err(refuse(customer, amount, {isComplete: isComplete && !loans.hasLateLoans(customer), isOwnerClaiming, request}));
		} finally {
			waiter.remove();
			// A request that has left no longer holds back smaller ones.
			queue.serve(customer);
		}
	}

	return {
		/** Applies a record of this gateway that was read back or confirmed; its increases may not be used before. */
		applyOwnRecord(record: HolderRecord): void {
			writer.applyOwnRecord(record);
			for (const customer of Object.keys(record.granted)) {
				queue.serve(customer);
			}
		},

		/** Reserves the worst case of a request from free tokens, by a claim, or by loans from other gateways. */
		async acquire(customer: string, amount: number, acquireOptions: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
			borrower.recordRequest(customer, amount);
			const immediate = queue.isEmpty(customer) ? reserve(customer, amount) : undefined;
			if (!immediate && isBeyondBudget(customer, amount)) {
				return Err(refuse(customer, amount, {isComplete: true, request: acquireOptions.request}));
			}

			const result = immediate ? Ok(immediate) : await waitForTokens(customer, amount, acquireOptions);
			borrower.borrowAhead(customer);
			return result;
		},

		/** Gives tokens that have become free to waiting requests. */
		serveWaiting: queue.serve,

		/** Ends a reservation with the number of tokens used. */
		settle(reservation: TokenReservation, used: number): void {
			account.settle(reservation, used);
			demand.recordSpent(reservation.customer, used - reservation.amount);
			queue.serve(reservation.customer);
		},

		/** Returns the number of tokens that waiting requests need. */
		countWanted: demand.countWanted,

		/** Claims tokens on behalf of another gateway until the given amount is free in addition to what waiting requests need. */
		async claimForPeer(customer: string, amount: number): Promise<void> {
			const stopWaiting = demand.addWaiting(customer, amount);
			await claims.claimUntil(customer, {timeoutMs: claimForPeerTimeoutMs, isDone: () => account.countFreeTokens(customer) >= demand.countWanted(customer)});
			stopWaiting();
		},

		/** Adds tokens lent to another gateway to the demand of this one, which claims on its behalf. */
		recordLent: demand.recordSpent,

		/** Subtracts tokens that another gateway has returned from the demand. */
		recordReturned(customer: string, amount: number): void {
			demand.recordSpent(customer, -amount);
			queue.serve(customer);
		},

		/** Returns the number of borrowed tokens to return to the customer's owner. */
		computeReturned: (customer: string): number => owners.isOwner(customer) || demand.countWanted(customer) > 0
			? 0
			: options.loanPolicy.computeReturned(borrower.buildView(customer, 0)),

		/** Returns the number of free tokens beyond the demand expected here until the next round. */
		countSpare: (customer: string): number => Math.max(0, account.countFreeTokens(customer) - (demand.findRate(customer) * roundIntervalMs)),

		/** Runs a round now: claims the demand of the next seconds and releases idle tokens. */
		renew: writer.renew,

		async run(): Promise<void> {
			while (!signal.aborted) {
				await writer.renew();
				await clock.sleep(roundIntervalMs, signal);
			}
		},

		/** Builds a record of what this gateway holds that supersedes all that it has sent, whether or not it was appended. */
		buildOwnRecord: writer.buildOwnRecord,

		/** Releases all unused tokens, when the gateway stops. */
		releaseUnused: writer.releaseUnused,
	};
}
