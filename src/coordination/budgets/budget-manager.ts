/**
 * Obtains the tokens that a gateway's requests need from its customers'
 * budgets: from its own grant, by a claim, or by loans from other gateways.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../../protocol/mod.js';
import type {TokenReservation} from '../../state/mod.js';
import type {BudgetOwners} from './budget-owners.js';
import {createDemand} from './demand.js';
import {createGrantWriter, formatHolderKey, type CreateGrantWriterOptions} from './grant-writer.js';
import type {LoanPolicy, LoanView} from './loan-policy.js';
import type {BorrowAmounts, BorrowOutcome} from './token-lending.js';

/** Options of {@linkcode BudgetManager.acquire}. */
export type AcquireTokensOptions = {
	/** Timeout of a claim, in milliseconds. */
	readonly timeoutMs: number;
	/** ID of the request, for log events. */
	readonly request?: string;
};

/** Borrows tokens from other gateways. */
export type BorrowTokens = (customer: string, amounts: BorrowAmounts) => Promise<BorrowOutcome>;

/** Options of {@linkcode createBudgetManager}. */
export type CreateBudgetManagerOptions = Omit<CreateGrantWriterOptions, 'demand' | 'waitingClaims' | 'owners'> & {
	readonly borrow: BorrowTokens;
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

	async function claimUntil(customer: string, {timeoutMs, isDone}: {readonly timeoutMs: number; readonly isDone: () => boolean}): Promise<void> {
		const deadline = clock.now() + timeoutMs;
		waitingClaims.set(customer, (waitingClaims.get(customer) ?? 0) + 1);
		// A round that was already running when the request arrived may not have counted it.
		for (let round = 0; round < 2 && clock.now() < deadline; round += 1) {
			await Promise.race([writer.renew(), clock.sleep(deadline - clock.now())]);
			if (isDone()) {
				break;
			}
		}

		const remainingClaims = waitingClaims.get(customer)! - 1;
		if (remainingClaims === 0) {
			waitingClaims.delete(customer);
		} else {
			waitingClaims.set(customer, remainingClaims);
		}
	}

	async function claimAndReserve(customer: string, amount: number, timeoutMs: number): Promise<TokenReservation | undefined> {
		let reservation: TokenReservation | undefined;
		await claimUntil(customer, {
			timeoutMs,
			isDone() {
				reservation = reserve(customer, amount);
				return reservation !== undefined;
			},
		});
		return reservation;
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

	async function borrowMissing(customer: string): Promise<BorrowOutcome> {
		const needed = demand.countWanted(customer) - account.countFreeTokens(customer);
		const wanted = owners.isSmallFleet() ? needed * borrowFactor : options.loanPolicy.computeWanted(buildLoanView(customer, needed));
		return options.borrow(customer, {needed, wanted, unclaimed: follower.isUp() ? countRemaining(customer) : 0});
	}

	// Borrows from other gateways, one of which claims for this one. Borrows twice, because a search that was already
	// running may not have counted this request, and again once a claim of the owner may have succeeded.
	async function borrowFromOwner(customer: string, amount: number, timeoutMs: number): Promise<BorrowOutcome & {readonly reservation: TokenReservation | undefined}> {
		const deadline = clock.now() + timeoutMs;
		for (let round = 1; ; round += 1) {
			const outcome = await borrowMissing(customer);
			const reservation = reserve(customer, amount);
			const maxRounds = outcome.isOwnerClaiming && countRemaining(customer) >= amount ? maxBorrowRounds : minBorrowRounds;
			if (reservation !== undefined || round >= maxRounds) {
				return {...outcome, reservation};
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

	// Claims only if the log shows unclaimed tokens and no owner reaches it. Otherwise the claim would collide with those of
	// the owner and delay the tokens of all.
	async function acquireFromOwner(customer: string, amount: number, {timeoutMs, request}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
		const {reservation, isComplete, isOwnerClaiming} = await borrowFromOwner(customer, amount, timeoutMs);
		if (reservation) {
			return Ok(reservation);
		}

		await syncGrants(timeoutMs);
		const mayClaim = !isOwnerClaiming && follower.isUp() && countRemaining(customer) >= amount;
		const claimed = mayClaim ? await claimAndReserve(customer, amount, timeoutMs) : undefined;
		return claimed ? Ok(claimed) : Err(refuse(customer, amount, {isComplete, request}));
	}

	// Claims first, or borrows first while claims are slow. Always borrows last, so that a refusal is based on the latest
	// answers of the other gateways.
	async function acquireAsOwner(customer: string, amount: number, {timeoutMs, request}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
		if (isClaimSlow()) {
			await borrowMissing(customer);
			const borrowed = reserve(customer, amount);
			if (borrowed) {
				return Ok(borrowed);
			}
		}

		const claimed = follower.isUp() ? await claimAndReserve(customer, amount, timeoutMs) : undefined;
		if (claimed) {
			return Ok(claimed);
		}

		const {isComplete} = await borrowMissing(customer);
		const lastReservation = reserve(customer, amount);
		return lastReservation ? Ok(lastReservation) : Err(refuse(customer, amount, {isComplete, request}));
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
		applyOwnRecord: writer.applyOwnRecord,

		/** Reserves the worst case of a request from free tokens, by a claim, or by loans from other gateways. */
		async acquire(customer: string, amount: number, acquireOptions: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
			const immediate = reserve(customer, amount);
			if (immediate) {
				return Ok(immediate);
			}

			const stopWaiting = demand.addWaiting(customer, amount);
			try {
				return await (owners.isOwner(customer) ? acquireAsOwner(customer, amount, acquireOptions) : acquireFromOwner(customer, amount, acquireOptions));
			} finally {
				stopWaiting();
			}
		},

		/** Ends a reservation with the number of tokens used. */
		settle(reservation: TokenReservation, used: number): void {
			account.settle(reservation, used);
			demand.recordSpent(reservation.customer, used - reservation.amount);
		},

		/** Returns the number of tokens that waiting requests need. */
		countWanted: demand.countWanted,

		/** Claims tokens on behalf of another gateway until the given amount is free in addition to what waiting requests need. */
		async claimForPeer(customer: string, amount: number): Promise<void> {
			const stopWaiting = demand.addWaiting(customer, amount);
			await claimUntil(customer, {timeoutMs: claimForPeerTimeoutMs, isDone: () => account.countFreeTokens(customer) >= demand.countWanted(customer)});
			stopWaiting();
		},

		/** Adds tokens lent to another gateway to the demand of this one, which claims on its behalf. */
		recordLent: demand.recordSpent,

		/** Subtracts tokens that another gateway has returned from the demand. */
		recordReturned(customer: string, amount: number): void {
			demand.recordSpent(customer, -amount);
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
