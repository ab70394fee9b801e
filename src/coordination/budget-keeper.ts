/**
 * Keeps a gateway in tokens of its customers' budgets: claims ahead on the
 * grants' log as much as the next seconds need, and gives back what is idle.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type KeyedLog, type Result,
} from '../protocol/mod.js';
import {
	type GrantBook, type HolderRecord, type RouteTable, type TokenAccount, type TokenReservation,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {BudgetHomes} from './budget-homes.js';
import {createDemand} from './demand.js';
import {computeGrant} from './grant-size.js';
import type {KeyedFollower} from './keyed-follower.js';
import type {BorrowAsk, BorrowOutcome} from './token-lending.js';

/** Who holds the grants of one gateway. */
export type HolderIdentity = Pick<HolderRecord, 'role' | 'daemon' | 'incarnation' | 'address' | 'newsAddress' | 'failureDomain'>;

/** Options of {@linkcode BudgetKeeper.acquire}. */
export type AcquireTokensOptions = {
	/** Milliseconds that a claim may take. */
	readonly patience: number;
	/** The request's id, for the log. */
	readonly request?: string;
};

/** Borrows tokens from other gateways. */
export type BorrowTokens = (customer: string, ask: BorrowAsk) => Promise<BorrowOutcome>;

/** Options of {@linkcode createBudgetKeeper}. */
export type CreateBudgetKeeperOptions = {
	readonly self: HolderIdentity;
	readonly log: KeyedLog;
	readonly follower: KeyedFollower;
	readonly book: GrantBook;
	readonly account: TokenAccount;
	/** The deployment in force; undefined before the first is known. */
	readonly findTable: () => RouteTable | undefined;
	readonly borrow: BorrowTokens;
	/** Which gateway claims a customer's budget. */
	readonly homes: Pick<BudgetHomes, 'isHome' | 'isSmall' | 'countClaimers'>;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** Keeps a gateway in tokens. */
export type BudgetKeeper = ReturnType<typeof createBudgetKeeper>;

/** Shortest span over which a new rate is taken, in milliseconds; a single first request must not look like a rush. */
const rateWarmUp = 2000;
/** Pause between rounds of claims, in milliseconds, less than a grant covers; a request that is short does not wait for it. */
const roundEvery = 500;
/** Times that an append is tried against other writers before it is left to the next round. */
const appendTries = 6;
/** Claims that take longer, in milliseconds, come after asking other gateways, who answer in 3 ms; usual ones take 10 to 20. */
const slowClaim = 60;
/** A refusal for good rests on what the log said at most so long ago, in milliseconds: two rounds. */
const bookLife = 2 * roundEvery;
/** Claiming for a gateway that asks takes at most so long, in milliseconds: less than it waits for the answer. */
const claimForPatience = 200;
/** A borrower asks for this many times what it lacks where each gateway claims for itself, so that its next requests need not ask. */
const wantedFactor = 3;
/** Demand beyond what is lacking that a loan from a budget's home covers, in milliseconds. */
const borrowedSpan = 500;
const millisecondsPerSecond = 1000;
/** When a caller may come back whose tokens are held by requests still running, in milliseconds. */
const busyRetryAfter = 1000;

/**
 * Formats the key under which an incarnation's grants stand.
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
 * Creates the keeper; `run` is its task.
 *
 * @example
 * ```ts
 * const reservation = await keeper.acquire('city-1', 1540, {patience: 300});
 * ```
 *
 * @param options The log of grants, the account and the deployment
 * @returns The keeper
 */
export function createBudgetKeeper(options: CreateBudgetKeeperOptions) {
	const {
		self, log, follower, book, account, homes, findTable, clock, events, signal,
	} = options;
	const key = formatHolderKey(self);
	const demand = createDemand(clock, {warmUp: rateWarmUp});
	let sequence = 0;
	let claimTime = 0;
	let roundStartedAt: number | undefined;
	let isEnding = false;
	let hasTakenRates = false;
	let writing: Promise<void> | undefined;
	/** Claims that wait for each customer, whoever its home is. */
	const claiming = new Map<string, number>();

	// Guards against a claim for each first request after a start: when all gateways lose power at once, callers of every
	// customer come back together, and claims against the other gateways' took 50 to 600 ms each for two seconds. The rates
	// that the incarnation before had let the first claim cover all customers.
	function takeRates(): void {
		if (hasTakenRates) {
			return;
		}

		hasTakenRates = true;
		for (const [customer, rate] of Object.entries(book.findPredecessor(self.daemon, self.incarnation)?.rates ?? {})) {
			if (demand.findRate(customer) === 0) {
				demand.setRate(customer, rate / millisecondsPerSecond);
			}
		}
	}

	function planGrant(customer: string, bought: number): number {
		const {granted} = account.get(customer);
		const isHome = homes.isHome(customer);
		return computeGrant({
			granted,
			bound: account.countBound(customer),
			free: account.countFree(customer),
			wanted: isHome || claiming.has(customer) ? demand.countWanted(customer) : 0,
			// What others claim is borrowed as it is needed.
			rate: isHome ? demand.findRate(customer) : 0,
			claimTime,
			available: bought - book.sumGranted(customer, key),
			holders: homes.countClaimers(),
			isEnding,
		});
	}

	// The next record, or undefined when nothing changes. A writer that knows an older deployment than another writer
	// waits: the amounts it would claim may have been lowered since.
	function planRecord(): HolderRecord | undefined {
		const table = findTable();
		if (!table || book.findNewestVersion() > table.version) {
			return undefined;
		}

		takeRates();
		const granted: Record<string, number> = {};
		const rates: Record<string, number> = {};
		let hasChanged = book.get(key) === undefined || (isEnding && !book.get(key)!.hasEnded);
		for (const customer of new Set([...account.listCustomers(), ...(table.deployment.customers ?? []).map(({id}) => id)])) {
			const bought = table.findCustomer(customer)?.bought;
			// Compared with what stands on the log: a decrease applies here before it stands there.
			const standing = book.get(key)?.granted[customer] ?? 0;
			const wanted = bought === undefined ? account.get(customer).granted : planGrant(customer, bought);
			hasChanged ||= wanted !== standing;
			if (wanted > 0) {
				granted[customer] = wanted;
				// More is given back than was spent of late when large reservations end small.
				rates[customer] = Math.max(0, Math.round(demand.findRate(customer) * millisecondsPerSecond));
			}
		}

		return hasChanged
			? {
				...self, version: table.version, sequence: sequence + 1, granted, rates, hasEnded: isEnding,
			}
			: undefined;
	}

	// Tokens are given back by not having them first: a record whose answer is lost may stand or not.
	function applyDecreases(record: HolderRecord): void {
		for (const customer of account.listCustomers()) {
			const next = record.granted[customer] ?? 0;
			if (next < account.get(customer).granted) {
				account.setGranted(customer, next);
			}
		}
	}

	// What stands on the log is read again before each claim, and when a request is short by what is known of it. A round
	// that changes nothing reads nothing: the follower's own reads bring what others have written.
	async function writeOnce(): Promise<'done' | 'again'> {
		const isKnown = follower.next() !== undefined && claiming.size === 0;
		if ((isKnown && !planRecord()) || !await follower.catchUp(signal)) {
			return 'done';
		}

		const record = planRecord();
		const at = follower.next();
		if (!record || at === undefined) {
			return 'done';
		}

		sequence = record.sequence;
		applyDecreases(record);
		const value = JSON.stringify(record);
		const outcome = await log.append({key, value}, {at});
		switch (outcome.kind) {
			case 'appended': {
				claimTime = clock.now() - (roundStartedAt ?? clock.now());
				follower.takeOwn({key, value, offset: outcome.offset});
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
		for (let attempt = 0; attempt < appendTries && !signal.aborted; attempt += 1) {
			if (await writeOnce() === 'done') {
				return;
			}
		}
	}

	// One writer at a time; whoever asks meanwhile waits for the same round.
	async function writeShared(): Promise<void> {
		writing ??= (async () => {
			roundStartedAt = clock.now();
			try {
				await writeGrants();
			} finally {
				writing = undefined;
				roundStartedAt = undefined;
			}
		})();
		return writing;
	}

	// Demand counts from the reservation on: a stream ends seconds later, and until then a rush would not show.
	function reserve(customer: string, amount: number): TokenReservation | undefined {
		const reservation = account.reserve(customer, amount);
		if (reservation) {
			demand.noteSpent(customer, amount);
		}

		return reservation;
	}

	async function claimUntil(customer: string, {patience, isDone}: {readonly patience: number; readonly isDone: () => boolean}): Promise<void> {
		const until = clock.now() + patience;
		claiming.set(customer, (claiming.get(customer) ?? 0) + 1);
		// A round that was under way when the request came may not have counted it.
		for (let round = 0; round < 2 && clock.now() < until; round += 1) {
			await Promise.race([writeShared(), clock.sleep(until - clock.now())]);
			if (isDone()) {
				break;
			}
		}

		const left = claiming.get(customer)! - 1;
		if (left === 0) {
			claiming.delete(customer);
		} else {
			claiming.set(customer, left);
		}
	}

	async function claim(customer: string, amount: number, patience: number): Promise<TokenReservation | undefined> {
		let reservation: TokenReservation | undefined;
		await claimUntil(customer, {
			patience,
			isDone() {
				reservation = reserve(customer, amount);
				return reservation !== undefined;
			},
		});
		return reservation;
	}

	function isClaimSlow(): boolean {
		const running = roundStartedAt === undefined ? 0 : clock.now() - roundStartedAt;
		return !follower.isUp() || Math.max(claimTime, running) > slowClaim;
	}

	async function borrowMissing(customer: string): Promise<BorrowOutcome> {
		const needed = demand.countWanted(customer) - account.countFree(customer);
		const wanted = homes.isSmall() ? needed * wantedFactor : needed + (demand.findRate(customer) * borrowedSpan);
		return options.borrow(customer, {needed, wanted});
	}

	function countRest(customer: string): number {
		const bought = findTable()?.findCustomer(customer)?.bought ?? 0;
		return Math.max(0, bought - book.sumGranted(customer, key) - account.countBound(customer));
	}

	async function syncBook(patience: number): Promise<void> {
		if (follower.isUp() && (follower.countSinceAnswer() ?? Number.POSITIVE_INFINITY) > roundEvery) {
			await Promise.race([follower.catchUp(signal), clock.sleep(patience)]);
		}
	}

	// Another gateway claims for this one. It is asked twice, since a search that was under way may not have counted this
	// request. If it brings too little though the log says that there is more, it may be cut off from the store.
	async function seekFromHome(customer: string, amount: number, {patience, request}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
		let isComplete = false;
		for (let round = 0; round < 2; round += 1) {
			const outcome = await borrowMissing(customer);
			isComplete = outcome.isComplete;
			const borrowed = reserve(customer, amount);
			if (borrowed) {
				return Ok(borrowed);
			}
		}

		await syncBook(patience);
		const claimed = follower.isUp() && countRest(customer) >= amount ? await claim(customer, amount, patience) : undefined;
		return claimed ? Ok(claimed) : Err(refuse(customer, amount, {isComplete, request}));
	}

	// Asks for tokens in the order in which they are likely to come; other gateways are asked last in any case, so that
	// a refusal rests on their newest word.
	async function seek(customer: string, amount: number, {patience, request}: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
		if (isClaimSlow()) {
			await borrowMissing(customer);
			const borrowed = reserve(customer, amount);
			if (borrowed) {
				return Ok(borrowed);
			}
		}

		const claimed = follower.isUp() ? await claim(customer, amount, patience) : undefined;
		if (claimed) {
			return Ok(claimed);
		}

		const {isComplete} = await borrowMissing(customer);
		const last = reserve(customer, amount);
		return last ? Ok(last) : Err(refuse(customer, amount, {isComplete, request}));
	}

	// Guards against a refusal for good by an old book: a read that hangs leaves the log looking up until it fails, and what
	// others have given back since is not known. The rest is too small only if the log and every gateway have just said so.
	function refuse(customer: string, amount: number, {isComplete, request}: {readonly isComplete: boolean; readonly request?: string}): Failure {
		const bought = findTable()?.findCustomer(customer)?.bought ?? 0;
		const rest = countRest(customer);
		const bookMs = follower.countSinceAnswer() ?? Number.POSITIVE_INFINITY;
		const isKnown = follower.isUp() && bookMs <= bookLife && isComplete;
		events.write('budgetShort', {
			request, customer, amount, free: account.countFree(customer), bound: account.countBound(customer), bought, elsewhere: book.sumGranted(customer, key), isStoreUp: follower.isUp(), bookMs, isComplete,
		});
		return isKnown && rest < amount
			? createFailure('budget-exhausted', `Customer "${customer}" has ${rest} of ${bought} tokens left and the request may need ${amount}`)
			: createFailure('budget-busy', `Customer "${customer}" has ${rest} tokens left here and the request may need ${amount}`, {retryAfterMs: busyRetryAfter});
	}

	return {
		/** Folds an own record that was read back or confirmed: only then may its increases be used. */
		takeOwnRecord(record: HolderRecord): void {
			for (const customer of new Set([...account.listCustomers(), ...Object.keys(record.granted)])) {
				account.setGranted(customer, record.granted[customer] ?? 0);
			}

			sequence = Math.max(sequence, record.sequence);
			events.write('grantClaimed', {sequence: record.sequence, version: record.version, granted: JSON.stringify(record.granted)});
		},

		/** Reserves a request's worst case: from what is free, by a claim, or from other gateways. */
		async acquire(customer: string, amount: number, acquire: AcquireTokensOptions): Promise<Result<TokenReservation, Failure>> {
			const atOnce = reserve(customer, amount);
			if (atOnce) {
				return Ok(atOnce);
			}

			const stopWaiting = demand.startWaiting(customer, amount);
			try {
				return await (homes.isHome(customer) ? seek(customer, amount, acquire) : seekFromHome(customer, amount, acquire));
			} finally {
				stopWaiting();
			}
		},

		/** Ends a reservation with what was used. */
		settle(reservation: TokenReservation, used: number): void {
			account.settle(reservation, used);
			demand.noteSpent(reservation.customer, used - reservation.amount);
		},

		/** What waiting requests ask for, in tokens. */
		countWanted: demand.countWanted,

		/** Claims until so many tokens are free, for a gateway that asks. */
		async claimFor(customer: string, amount: number): Promise<void> {
			const stopWaiting = demand.startWaiting(customer, amount);
			await claimUntil(customer, {patience: claimForPatience, isDone: () => account.countFree(customer) >= demand.countWanted(customer)});
			stopWaiting();
		},

		/** Counts what was lent to a gateway for which this one claims as demand here. */
		noteLent: demand.noteSpent,

		/** Free tokens that the next seconds here do not need. */
		countSpare: (customer: string): number => Math.max(0, account.countFree(customer) - (demand.findRate(customer) * roundEvery)),

		/** Claims what the next seconds need and gives back what is idle, now. */
		renew: writeShared,

		async run(): Promise<void> {
			while (!signal.aborted) {
				await writeShared();
				await clock.sleep(roundEvery, signal);
			}
		},

		/** Gives back everything that was not used, for a stop. */
		async end(): Promise<void> {
			isEnding = true;
			await writing;
			await writeShared();
		},
	};
}
