/**
 * Manages an entry daemon's tokens: claims ahead according to a policy,
 * borrows, lets requests wait for tokens that will soon be free, and releases
 * idle tokens.
 *
 * @module
 */
import {
	Err, Ok, createId, type EventLog, type Failure, type GrantShare, type RecordOf, type Result,
} from '../../protocol/mod.js';
import {
	formatGrantId, sumShares, type GrantHolder, type Reservation, type TokenSource,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import type {LogWriter} from '../store/log-writer.js';
import type {Membership} from '../peers/membership.js';
import {createDemand} from './demand.js';
import type {BudgetView, GrantPolicy} from './grant-policy.js';
import type {LoanManager, LoanSearch} from './loan-manager.js';
import {createTokenAvailability} from './token-availability.js';

/** Options of {@linkcode createGrantManager}. */
export type CreateGrantManagerOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly holder: GrantHolder;
	readonly loans: LoanManager;
	readonly policy: GrantPolicy;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Pause between rounds, in milliseconds. */
	readonly intervalMs: number;
	/** Timeout of an append, in milliseconds; default 10000. */
	readonly appendTimeoutMs?: number;
};

/** Options of {@linkcode GrantManager.acquire}. */
export type AcquireOptions = {
	/** Longest wait for tokens to become free, in milliseconds. */
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
};

/** Manages an entry daemon's tokens. */
export type GrantManager = ReturnType<typeof createGrantManager>;

const defaultAppendTimeoutMs = 10_000;
const claimTimeoutMs = 300;
const waitStepMs = 250;

/**
 * Creates a grant manager; `run` operates it until the signal is aborted.
 *
 * @example
 * ```ts
 * const reservation = await manager.acquire('b1', 500, {timeoutMs: 2000, signal});
 * ```
 *
 * @param options Grants, log, peers and policy
 * @returns The manager
 */
export function createGrantManager(options: CreateGrantManagerOptions) {
	const {
		follower, writer, membership, holder, loans, policy, clock, events,
	} = options;
	const appendTimeoutMs = options.appendTimeoutMs ?? defaultAppendTimeoutMs;
	const demand = createDemand(clock);
	const availability = createTokenAvailability({
		follower, membership, holder, loans, events,
	});
	const claims = new Map<string, Promise<void>>();
	const searches = new Map<string, Promise<LoanSearch>>();
	const claimedBudgets = new Set<string>();
	const addedGrants = new Set<string>();
	const closingGrants = new Set<string>();

	function buildView(budget: string): BudgetView {
		const {ledger, configuration, placement} = follower.state();
		const remaining = ledger.computeRemaining(budget);
		let unspent = remaining;
		for (const grant of ledger.listGrants()) {
			unspent += grant.budget === budget ? Math.max(0, grant.amount - grant.receipted) : 0;
		}

		return {
			remaining,
			unspent,
			free: holder.countFreeTokens(budget),
			reserved: holder.countReservedTokens(budget),
			wanted: demand.countWanted(budget),
			rate: demand.findRate(budget),
			entries: membership.listLiveEntries(placement.list()).length + 1,
			hasClaimed: claimedBudgets.has(budget),
			weighs: configuration.findBudget(budget)?.weighs ?? 'refusals',
		};
	}

	function isJoined(): boolean {
		const {self} = membership;
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	// Adds grants of this incarnation that have come into force, and drops those that ended or were closed by others.
	function syncGrants(): void {
		const {ledger} = follower.state();
		const {self} = membership;
		for (const grant of ledger.listGrants()) {
			const isMine = grant.daemon === self.id && grant.incarnation === self.incarnation;
			if (isMine && !grant.waitsFor && !holder.has(grant.id) && !addedGrants.has(grant.id)) {
				addedGrants.add(grant.id);
				holder.add(grant.id, {budget: grant.budget, amount: grant.amount});
				events.write('grantClaimed', {grant: grant.id, amount: grant.amount, offset: grant.offset});
			}
		}

		for (const source of listAllSources()) {
			const grant = ledger.findGrant(source.grant);
			// After a pause the holder may find its grant closed: others have taken over the remaining tokens, so none may be used.
			if (grant?.waitsFor ?? (!grant && !source.lender)) {
				holder.removeGrant(source.grant);
				if (!closingGrants.has(source.grant)) {
					events.write('grantLost', {grant: source.grant});
				}
			}
		}
	}

	function listAllSources(): TokenSource[] {
		return holder.listBudgets().flatMap(budget => holder.listSources(budget));
	}

	async function claimTokens(budget: string, amount: number): Promise<void> {
		const {self} = membership;
		const record: RecordOf<'claim'> = {
			kind: 'claim', grant: formatGrantId(createId('g'), budget), budget, daemon: self.id, incarnation: self.incarnation, amount,
		};
		claimedBudgets.add(budget);
		const startOffset = follower.state().getNextOffset();
		let isClaimSeen = false;
		const stopWatching = follower.events.on('folded', ({data}) => {
			isClaimSeen ||= data.kind === 'claim' && data.grant === record.grant;
		});
		await writer.commit(record, {
			isFolded: state => isClaimSeen || state.ledger.findGrant(record.grant) !== undefined || (state.getNextOffset() > startOffset && !isJoined()),
			signal: AbortSignal.timeout(appendTimeoutMs),
		});
		stopWatching();
		syncGrants();
	}

	// Runs one claim per budget at a time, because a second one would be sized without knowing the result of the first.
	async function claimOrJoin(budget: string, amount: number): Promise<void> {
		const running = claims.get(budget);
		if (running) {
			return running;
		}

		const claim = claimTokens(budget, amount);
		claims.set(budget, claim);
		await claim;
		claims.delete(budget);
	}

	// Releases tokens that have already been withdrawn from the holder, so that a lost answer can lock but never duplicate them.
	async function releaseTokens(shares: readonly GrantShare[]): Promise<void> {
		await Promise.all(shares.map(async share => {
			const id = createId('r');
			await writer.commit({
				kind: 'release', id, grant: share.grant, amount: share.amount, final: false,
			}, {
				isFolded: state => state.ledger.hasRelease(id) || !state.ledger.findGrant(share.grant),
				signal: AbortSignal.timeout(appendTimeoutMs),
			});
			events.write('grantReleased', {grant: share.grant, amount: share.amount});
		}));
	}

	// Closes own grants that are used up, so that no daemon has to keep them in its state.
	async function closeUsedGrants(): Promise<void> {
		const usedUp = listAllSources().filter(source => !source.lender && source.free === 0 && source.reserved === 0 && source.lent === 0 && !closingGrants.has(source.grant));
		await Promise.all(usedUp.map(async source => {
			closingGrants.add(source.grant);
			const id = createId('r');
			await writer.commit({
				kind: 'release', id, grant: source.grant, amount: 0, final: true,
			}, {isFolded: state => !state.ledger.findGrant(source.grant), signal: AbortSignal.timeout(appendTimeoutMs)});
			closingGrants.delete(source.grant);
			holder.removeGrant(source.grant);
		}));
	}

	// If an upstream daemon fails before it has appended its receipts, only this holder knows how much of a grant was spent
	// there. If the holder failed too, the whole grant would count as spent, so its free tokens are moved to new grants.
	function withdrawUncertain(): GrantShare[] {
		const {ledger} = follower.state();
		const shares: GrantShare[] = [];
		for (const source of listAllSources()) {
			if (!source.lender && source.free > 0 && ledger.findGrant(source.grant)?.uncertain) {
				shares.push({grant: source.grant, amount: source.free});
				source.free = 0;
			}
		}

		return shares;
	}

	async function applyPolicy(budget: string): Promise<void> {
		const decision = policy.decide(buildView(budget));
		if (decision.claim > 0) {
			await claimOrJoin(budget, decision.claim);
		} else if (decision.release > 0) {
			await releaseTokens(holder.withdraw(budget, decision.release));
		}
	}

	// Closes grants that are partly lent to an ended incarnation; unspent tokens return with the final reports on these grants.
	async function closeLentGrants(): Promise<void> {
		const {placement} = follower.state();
		const grants = loans.removeLoansTo((daemon, incarnation) => follower.isLogUp() && !placement.isCurrent(daemon, incarnation));
		await Promise.all([...grants].map(async grant => writer.commit({kind: 'close', grant, by: membership.self.id}, {
			isFolded: state => state.ledger.findGrant(grant)?.waitsFor !== undefined || !state.ledger.findGrant(grant),
			signal: AbortSignal.timeout(appendTimeoutMs),
		})));
	}

	async function runRound(): Promise<void> {
		syncGrants();
		if (!follower.isLogUp() || !isJoined() || membership.self.isLeaving) {
			return;
		}

		const uncertain = withdrawUncertain();
		const budgets = [...follower.state().configuration.listBudgets()];
		await Promise.all([
			releaseTokens(uncertain),
			closeUsedGrants(),
			closeLentGrants(),
			...budgets.map(async budget => applyPolicy(budget.id)),
		]);
	}

	// Claims if the log is available, then borrows what is still missing.
	async function searchTokens(budget: string): Promise<LoanSearch> {
		if (follower.isLogUp() && isJoined()) {
			const decision = policy.decide(buildView(budget));
			if (decision.claim > 0) {
				await Promise.race([claimOrJoin(budget, decision.claim), clock.sleep(claimTimeoutMs)]);
			}
		}

		return holder.countFreeTokens(budget) < demand.countWanted(budget) ? loans.borrow(budget, demand.countWanted(budget)) : {reserved: 0, isComplete: true};
	}

	// Runs one search per budget at a time, which concurrent requests share.
	async function searchOrJoin(budget: string): Promise<LoanSearch> {
		const running = searches.get(budget);
		if (running) {
			return running;
		}

		const search = searchTokens(budget);
		searches.set(budget, search);
		const result = await search;
		searches.delete(budget);
		return result;
	}

	async function waitForFreeTokens(budget: string, signal: AbortSignal): Promise<void> {
		const freed = holder.events.once('freed');
		await Promise.race([freed, clock.sleep(waitStepMs, signal)]);
		freed.off();
	}

	async function waitForTokens(budget: string, amount: number, {timeoutMs, signal}: AcquireOptions): Promise<Result<Reservation, Failure>> {
		const deadline = clock.now() + timeoutMs;
		let isBusy = false;
		while (!signal.aborted && clock.now() < deadline) {
			const search = await searchOrJoin(budget);
			const reservation = holder.reserve(budget, amount);
			if (reservation) {
				return Ok(reservation);
			}

			demand.recordInsufficient(budget);
			isBusy = claims.has(budget) || availability.mayBecomeAvailable(budget, amount, search);
			// Nothing in flight can free tokens, so waiting would only delay the refusal.
			if (!isBusy) {
				break;
			}

			await waitForFreeTokens(budget, signal);
		}

		const lastReservation = holder.reserve(budget, amount);
		return lastReservation ? Ok(lastReservation) : Err(availability.refuse(budget, amount, isBusy));
	}

	return {
		listWanted: demand.listWanted,
		wasInsufficient: demand.wasInsufficient,
		syncGrants,

		/** Reserves tokens for a request, and waits for some to become free if that is possible. */
		async acquire(budget: string, amount: number, acquireOptions: AcquireOptions): Promise<Result<Reservation, Failure>> {
			const reservation = holder.reserve(budget, amount);
			if (reservation) {
				return Ok(reservation);
			}

			const stopWaiting = demand.addWaiting(budget, amount);
			try {
				return await waitForTokens(budget, amount, acquireOptions);
			} finally {
				stopWaiting();
			}
		},

		/** Ends a reservation with the shares billed to it. */
		settle(reservation: Reservation, billed: readonly GrantShare[]): void {
			holder.settle(reservation, billed);
			demand.recordSpent(reservation.budget, sumShares(billed));
		},

		async run(signal: AbortSignal): Promise<void> {
			const stopSync = follower.events.on(['folded', 'replaced'], () => {
				syncGrants();
			});
			while (!signal.aborted) {
				await Promise.all([runRound(), loans.runRound(), clock.sleep(options.intervalMs, signal)]);
			}

			stopSync();
		},

		/** Releases all tokens that no request uses, when the daemon stops. */
		async releaseUnused(): Promise<void> {
			await loans.repayAll();
			await Promise.all(holder.listBudgets().map(async budget => releaseTokens(holder.withdraw(budget, holder.countFreeTokens(budget)))));
			await closeUsedGrants();
		},
	};
}
