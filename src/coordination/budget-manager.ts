/**
 * Maintains a gateway's supply of tokens from its customers' budgets: claims
 * the expected demand of the next seconds in the grants log, and releases
 * tokens that are idle.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type KeyedLog, type Result,
} from '../protocol/mod.js';
import {
	type GrantRegistry, type HolderRecord, type RouteTable, type TokenAccount, type TokenReservation,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {BudgetOwners} from './budget-owners.js';
import {createDemand} from './demand.js';
import {computeGrant, type GrantTargetPolicy} from './grant-size.js';
import type {KeyedFollower} from './keyed-follower.js';
import type {LoanPolicy, LoanView} from './loan-policy.js';
import type {BorrowAmounts, BorrowOutcome} from './token-lending.js';

/** Identity under which a gateway holds its grants. */
export type HolderIdentity = Pick<HolderRecord, 'role' | 'daemon' | 'incarnation' | 'address' | 'newsAddress' | 'failureDomain'>;

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
export type CreateBudgetManagerOptions = {
	readonly self: HolderIdentity;
	readonly log: KeyedLog;
	readonly follower: KeyedFollower;
	readonly grants: GrantRegistry;
	readonly account: TokenAccount;
	/** Returns the routes and customers of the deployment in force; undefined before the first one is known. */
	readonly findRouteTable: () => RouteTable | undefined;
	readonly borrow: BorrowTokens;
	/** Determines which gateway claims a customer's budget. */
	readonly owners: Pick<BudgetOwners, 'isOwner' | 'isSmallFleet' | 'countClaimers' | 'countGateways'>;
	/** Decides how many free tokens a grant should have. */
	readonly grantTargetPolicy: GrantTargetPolicy;
	/** Decides how much is borrowed from owners. */
	readonly loanPolicy: LoanPolicy;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** Manages the tokens of one gateway. */
export type BudgetManager = ReturnType<typeof createBudgetManager>;

/** Shortest period over which a new rate is averaged, so that a single first request does not look like a burst. */
const rateWarmUpMs = 2000;
/** Pause between claim rounds; less than the demand that a grant covers. A request that lacks tokens does not wait for the next round. */
const roundIntervalMs = 500;
/** Attempts to append a record against concurrent writers before it is left to the next round. */
const maxAppendAttempts = 6;
/** If claims take longer than this, tokens are first borrowed from other gateways, which answer in 3 ms. A claim usually takes 10 to 20 ms. */
const slowClaimMs = 60;
/** A request is refused as exhausted only if the log was read within this time: two rounds. */
const maxSyncAgeMs = 2 * roundIntervalMs;
/** Timeout of a claim on behalf of another gateway; shorter than the time for which that gateway waits for the answer. */
const claimForPeerTimeoutMs = 200;
/** In a small fleet a gateway borrows this multiple of the tokens it lacks, so that its next requests need not borrow again. */
const borrowFactor = 3;
const millisecondsPerSecond = 1000;
/** Retry delay for a caller whose customer's tokens are reserved by running requests. */
const busyRetryAfterMs = 1000;

/**
 * Formats the key of an incarnation's record in the grants log.
 *
 * @example
 * ```ts
 * formatHolderKey({daemon: 'entry-1', incarnation: 'i-9'}); // 'entry-1/i-9'
 * ```
 *
 * @param holder The incarnation
 * @returns The key
 */
export function formatHolderKey(holder: Pick<HolderRecord, 'role' | 'daemon' | 'incarnation'>): string {
	return `${holder.daemon}/${holder.incarnation}`;
}

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
		self, log, follower, grants, account, owners, findRouteTable, clock, events, signal,
	} = options;
	const key = formatHolderKey(self);
	const demand = createDemand(clock, {warmUpMs: rateWarmUpMs});
	let sequence = 0;
	let claimDurationMs = 0;
	let roundStartedAt: number | undefined;
	let isEnding = false;
	let hasRestoredRates = false;
	let activeRound: Promise<void> | undefined;
	/** Number of pending claims by customer, including customers whose budget another gateway owns. */
	const waitingClaims = new Map<string, number>();

	// Restores the rates of the previous incarnation, so that the first claim covers all customers. When all gateways lose
	// power at once, callers of every customer retry together; if each first request needed its own claim, the colliding
	// claims would take 50 to 600 ms each for two seconds.
	function restoreRates(): void {
		if (hasRestoredRates) {
			return;
		}

		hasRestoredRates = true;
		for (const [customer, rate] of Object.entries(grants.findPredecessor(self.daemon, self.incarnation)?.rates ?? {})) {
			if (demand.findRate(customer) === 0) {
				demand.setRate(customer, rate / millisecondsPerSecond);
			}
		}
	}

	function computeGrantTotal(customer: string, bought: number): number {
		const {granted} = account.get(customer);
		const isOwner = owners.isOwner(customer);
		return computeGrant({
			granted,
			bound: account.countCommittedTokens(customer),
			free: account.countFreeTokens(customer),
			wanted: isOwner || waitingClaims.has(customer) ? demand.countWanted(customer) : 0,
			// Tokens of a budget that another gateway owns are borrowed on demand, not claimed ahead.
			rate: isOwner ? demand.findRate(customer) : 0,
			claimDurationMs,
			available: bought - grants.sumGranted(customer, key),
			ungranted: bought - grants.sumGranted(customer),
			bought,
			claimers: owners.countClaimers(),
			isEnding,
		}, options.grantTargetPolicy);
	}

	// Returns the next record, or undefined if nothing changes or another writer has seen a newer deployment, in which
	// budgets may have been lowered.
	function buildNextRecord(): HolderRecord | undefined {
		const table = findRouteTable();
		if (!table || grants.findNewestVersion() > table.version) {
			return undefined;
		}

		restoreRates();
		const granted: Record<string, number> = {};
		const rates: Record<string, number> = {};
		let hasChanged = grants.get(key) === undefined || (isEnding && !grants.get(key)!.hasEnded);
		for (const customer of new Set([...account.listCustomers(), ...(table.deployment.customers ?? []).map(({id}) => id)])) {
			const bought = table.findCustomer(customer)?.bought;
			// Compares with the total in the log, because a decrease takes effect in the account before it is appended.
			const recordedTotal = grants.get(key)?.granted[customer] ?? 0;
			grants.reserveForUnreadable(customer, bought ?? 0);
			const nextTotal = bought === undefined ? account.get(customer).granted : computeGrantTotal(customer, bought);
			hasChanged ||= nextTotal !== recordedTotal;
			if (nextTotal > 0) {
				granted[customer] = nextTotal;
				// The rate is negative when large reservations are settled with much smaller amounts.
				rates[customer] = Math.max(0, Math.round(demand.findRate(customer) * millisecondsPerSecond));
			}
		}

		return hasChanged
			? {
				...self, version: table.version, sequence: sequence + 1, granted, rates, hasEnded: isEnding,
			}
			: undefined;
	}

	// Removes released tokens from the account before the record is appended: if the answer is lost, the record may be in
	// the log, and other gateways may claim the tokens.
	function applyDecreases(record: HolderRecord): void {
		for (const customer of account.listCustomers()) {
			const next = record.granted[customer] ?? 0;
			if (next < account.get(customer).granted) {
				account.setGranted(customer, next);
			}
		}
	}

	// Reads the log before each claim, and whenever a request lacks tokens. A round that changes nothing does not read,
	// because the follower's own reads bring the records of other writers.
	async function tryWriteRecord(): Promise<'done' | 'again'> {
		const canSkipRead = follower.getNextOffset() !== undefined && waitingClaims.size === 0;
		if ((canSkipRead && !buildNextRecord()) || !await follower.catchUp(signal)) {
			return 'done';
		}

		const record = buildNextRecord();
		const nextOffset = follower.getNextOffset();
		if (!record || nextOffset === undefined) {
			return 'done';
		}

		sequence = record.sequence;
		applyDecreases(record);
		const value = JSON.stringify(record);
		const outcome = await log.append({key, value}, {expectedEnd: nextOffset});
		switch (outcome.kind) {
			case 'appended': {
				claimDurationMs = clock.now() - (roundStartedAt ?? clock.now());
				follower.applyOwnRecord({key, value, offset: outcome.offset});
				return 'done';
			}

			case 'behind': {
				return 'again';
			}

			case 'unknown':
			case 'refused': {
				events.write('answerLost', {log: log.name, kind: outcome.kind, detail: outcome.failure.detail});
				return 'again';
			}
		}
	}

	async function writeGrants(): Promise<void> {
		for (let attempt = 0; attempt < maxAppendAttempts && !signal.aborted; attempt += 1) {
			if (await tryWriteRecord() === 'done') {
				return;
			}
		}
	}

	// Runs one round at a time; concurrent calls wait for the same round.
	async function renewGrants(): Promise<void> {
		activeRound ??= (async () => {
			roundStartedAt = clock.now();
			try {
				await writeGrants();
			} finally {
				activeRound = undefined;
				roundStartedAt = undefined;
			}
		})();
		return activeRound;
	}

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
			await Promise.race([renewGrants(), clock.sleep(deadline - clock.now())]);
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
		const runningMs = roundStartedAt === undefined ? 0 : clock.now() - roundStartedAt;
		return !follower.isUp() || Math.max(claimDurationMs, runningMs) > slowClaimMs;
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
		return options.borrow(customer, {needed, wanted});
	}

	async function syncGrants(timeoutMs: number): Promise<void> {
		if (follower.isUp() && (follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY) > roundIntervalMs) {
			await Promise.race([follower.catchUp(signal), clock.sleep(timeoutMs)]);
		}
	}

	// Borrows from other gateways, one of which claims for this one. Borrows twice, because a search that was already
	// running may not have counted this request. If that is insufficient although the log shows unclaimed tokens, the owner
	// may be cut off from the store, and this gateway claims for itself.
	async function acquireFromOwner(customer: string, amount: number, {timeoutMs, request}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
		let isComplete = false;
		for (let round = 0; round < 2; round += 1) {
			const outcome = await borrowMissing(customer);
			isComplete = outcome.isComplete;
			const borrowed = reserve(customer, amount);
			if (borrowed) {
				return Ok(borrowed);
			}
		}

		await syncGrants(timeoutMs);
		const claimed = follower.isUp() && countRemaining(customer) >= amount ? await claimAndReserve(customer, amount, timeoutMs) : undefined;
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
		const isCertain = follower.isUp() && syncAgeMs <= maxSyncAgeMs && isComplete;
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
			for (const customer of new Set([...account.listCustomers(), ...Object.keys(record.granted)])) {
				account.setGranted(customer, record.granted[customer] ?? 0);
			}

			sequence = Math.max(sequence, record.sequence);
			events.write('grantClaimed', {sequence: record.sequence, version: record.version, granted: JSON.stringify(record.granted)});
		},

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
		renew: renewGrants,

		async run(): Promise<void> {
			while (!signal.aborted) {
				await renewGrants();
				await clock.sleep(roundIntervalMs, signal);
			}
		},

		/** Releases all unused tokens, when the gateway stops. */
		async releaseUnused(): Promise<void> {
			isEnding = true;
			await activeRound;
			await renewGrants();
		},
	};
}
