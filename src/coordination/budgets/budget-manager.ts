/**
 * Obtains the tokens that a gateway's requests need from its customers'
 * budgets: from its own grant, by a claim, or by loans from other gateways.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../../protocol/mod.js';
import type {HolderRecord, TokenReservation} from '../../state/mod.js';
import {waitWithTimeout} from '../../transport/mod.js';
import type {BudgetOwners} from './budget-owners.js';
import {createClaimRounds} from './claim-rounds.js';
import {createDemand} from './demand.js';
import {createGrantWriter, formatHolderKey, type CreateGrantWriterOptions} from './grant-writer.js';
import type {LoanPolicy, LoanView} from './loan-policy.js';
import type {BorrowAmounts, BorrowOutcome} from './token-lending.js';
import {createTokenQueue, type TokenWaiter} from './token-queue.js';

/** Options of {@linkcode BudgetManager.acquire}. */
export type AcquireTokensOptions = {
	/** Time for which the request may wait in total, in milliseconds. */
	readonly timeoutMs: number;
	/** ID of the request, for log events. */
	readonly request?: string;
};

/** Borrows tokens from other gateways. */
export type BorrowTokens = (customer: string, amounts: BorrowAmounts) => Promise<BorrowOutcome>;

/** Options of {@linkcode createBudgetManager}. */
export type CreateBudgetManagerOptions = Omit<CreateGrantWriterOptions, 'demand' | 'waitingClaims' | 'owners'> & {
	readonly borrow: BorrowTokens;
	/** Returns true if a gateway that may have lent tokens has not replied, so that its tokens may arrive at any time. */
	readonly hasOpenLoans?: (customer: string) => boolean;
	/** Determines which gateway claims a customer's budget. */
	readonly owners: Pick<BudgetOwners, 'isOwner' | 'isSmallFleet' | 'countClaimers' | 'countGateways'>;
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
/** Share of the remaining wait that a claim may use, so that the other gateways can be asked after it. */
const claimWaitShare = 0.75;
/** Searches for tokens that a request makes in any case. */
const minBorrowRounds = 2;
/** Searches for tokens that a request makes while the owner of the budget claims more. */
const maxBorrowRounds = 4;
/** Pause before another search, in which a claim of the owner may succeed. */
const ownerClaimDelayMs = 150;
/** In a small fleet a gateway borrows this multiple of the tokens it lacks, so that its next requests need not borrow again. */
const borrowFactor = 3;
/** Retry delay for a caller whose customer's tokens are reserved by running requests. */
const busyRetryAfterMs = 1000;

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

	// Counts demand when tokens are reserved: a stream is settled seconds later, and a burst would go unnoticed until then.
	function reserve(customer: string, amount: number): TokenReservation | undefined {
		const reservation = account.reserve(customer, amount);
		if (reservation) {
			demand.recordSpent(customer, amount);
		}

		return reservation;
	}

	const queue = createTokenQueue({reserve});
	const claims = createClaimRounds({renew: writer.renew, waitingClaims, clock});

	function tryServe(waiter: TokenWaiter): boolean {
		queue.serve(waiter.customer);
		return waiter.reservation !== undefined;
	}

	async function claimAndServe(waiter: TokenWaiter, timeoutMs: number): Promise<boolean> {
		await claims.claimUntil(waiter.customer, {timeoutMs, isDone: () => tryServe(waiter)});
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

	function buildLoanView(customer: string, needed: number): LoanView {
		return {
			needed, rate: demand.findRate(customer), idle: account.countIdleLoans(customer), remaining: countRemaining(customer), gateways: owners.countGateways(),
		};
	}

	async function borrowMissing(customer: string, deadline: number): Promise<BorrowOutcome> {
		const needed = demand.countWanted(customer) - account.countFreeTokens(customer);
		const wanted = owners.isSmallFleet() ? needed * borrowFactor : options.loanPolicy.computeWanted(buildLoanView(customer, needed));
		return options.borrow(customer, {
			needed, wanted, unclaimed: follower.isUp() ? countRemaining(customer) : 0, maxWaitMs: Math.max(0, deadline - clock.now()),
		});
	}

	// Borrows from other gateways, one of which claims for this one. Borrows twice, because a search that was already
	// running may not have counted this request, and again once a claim of the owner may have succeeded.
	async function borrowFromOwner(waiter: TokenWaiter, deadline: number): Promise<BorrowOutcome> {
		const {customer, amount} = waiter;
		for (let round = 1; ; round += 1) {
			const outcome = await borrowMissing(customer, deadline);
			const maxRounds = outcome.isOwnerClaiming && countRemaining(customer) >= amount ? maxBorrowRounds : minBorrowRounds;
			if (tryServe(waiter) || round >= maxRounds || clock.now() >= deadline) {
				return outcome;
			}

			if (round >= minBorrowRounds) {
				await clock.sleep(Math.min(ownerClaimDelayMs, Math.max(0, deadline - clock.now())));
			}
		}
	}

	async function syncGrants(timeoutMs: number): Promise<void> {
		if (follower.isUp() && (follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY) > roundIntervalMs) {
			await Promise.race([follower.catchUp(signal), clock.sleep(timeoutMs)]);
		}
	}

	// Tokens that a lender has deducted arrive with a late reply or with the answer to a poll.
	async function waitForOpenLoans(waiter: TokenWaiter, deadline: number): Promise<void> {
		if (waiter.reservation === undefined && options.hasOpenLoans?.(waiter.customer) && clock.now() < deadline) {
			await waitWithTimeout(waiter.served, {clock, timeoutMs: deadline - clock.now()});
		}
	}

	// Claims only if the log shows unclaimed tokens and no owner reaches it. Otherwise the claim would collide with those of
	// the owner and delay the tokens of all.
	async function obtainFromOwner(waiter: TokenWaiter, deadline: number): Promise<{readonly isComplete: boolean}> {
		const {customer, amount} = waiter;
		const {isComplete, isOwnerClaiming} = await borrowFromOwner(waiter, deadline);
		if (waiter.reservation === undefined) {
			await syncGrants(Math.max(0, deadline - clock.now()));
			const mayClaim = !isOwnerClaiming && follower.isUp() && countRemaining(customer) >= amount;
			if (!mayClaim || !await claimAndServe(waiter, deadline - clock.now())) {
				await waitForOpenLoans(waiter, deadline);
			}
		}

		return {isComplete};
	}

	// Claims first, or borrows first while claims are slow. Always borrows last, so that a refusal is based on the latest
	// answers of the other gateways.
	async function obtainAsOwner(waiter: TokenWaiter, deadline: number): Promise<{readonly isComplete: boolean}> {
		const {customer} = waiter;
		if (isClaimSlow()) {
			await borrowMissing(customer, deadline);
			if (tryServe(waiter)) {
				return {isComplete: true};
			}
		}

		if (follower.isUp() && await claimAndServe(waiter, (deadline - clock.now()) * claimWaitShare)) {
			return {isComplete: true};
		}

		const {isComplete} = await borrowMissing(customer, deadline);
		if (!tryServe(waiter)) {
			await waitForOpenLoans(waiter, deadline);
		}

		return {isComplete};
	}

	// Refuses as exhausted only if the log and every gateway have just confirmed it. While a read hangs, the log still counts
	// as up until the read fails, and tokens that other gateways have released since are unknown.
	function refuse(customer: string, amount: number, {isComplete, request}: {readonly isComplete: boolean; readonly request?: string}): Failure {
		const bought = findRouteTable()?.findCustomer(customer)?.bought ?? 0;
		const remaining = countRemaining(customer);
		const syncAgeMs = follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY;
		const isCertain = follower.isUp() && syncAgeMs <= maxSyncAgeMs && isComplete && options.isLogComplete() && grants.listMissing().length === 0;
		events.write('budgetShort', {
			request, customer, amount, free: account.countFreeTokens(customer), bound: account.countCommittedTokens(customer), bought, elsewhere: grants.sumGranted(customer, key), isStoreUp: follower.isUp(), bookMs: syncAgeMs, isComplete,
		});
		return isCertain && remaining < amount
			? createFailure('budget-exhausted', `Customer "${customer}" has ${remaining} of ${bought} tokens left and the request may need ${amount}`)
			: createFailure('budget-busy', `Customer "${customer}" has ${remaining} tokens left here and the request may need ${amount}`, {retryAfterMs: busyRetryAfterMs});
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
		async acquire(customer: string, amount: number, {timeoutMs, request}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
			const immediate = reserve(customer, amount);
			if (immediate) {
				return Ok(immediate);
			}

			const waiter = queue.add(customer, {amount, onLeft: demand.addWaiting(customer, amount)});
			const deadline = clock.now() + timeoutMs;
			try {
				const obtained = owners.isOwner(customer) ? obtainAsOwner(waiter, deadline) : obtainFromOwner(waiter, deadline);
				const outcome = await Promise.race([waiter.served, obtained]);
				return waiter.reservation ? Ok(waiter.reservation) : Err(refuse(customer, amount, {isComplete: 'isComplete' in outcome && outcome.isComplete, request}));
			} finally {
				waiter.remove();
			}
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
			: options.loanPolicy.computeReturned(buildLoanView(customer, 0)),

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
