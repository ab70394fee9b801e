/**
 * Keeps an entry daemon in tokens: claims ahead as its policy says, borrows,
 * lets requests wait for tokens that are about to be freed, and gives back
 * what is idle.
 *
 * @module
 */
import {
	Err, Ok, createId, type EventLog, type Failure, type GrantShare, type RecordOf, type Result,
} from '../protocol/mod.js';
import {
	formatGrant, sumShares, type GrantHolder, type Reservation, type Source,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {createDemand} from './demand.js';
import type {BudgetView, GrantPolicy} from './grant-policy.js';
import type {LoanDesk, LoanSearch} from './loan-desk.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';
import type {Membership} from './membership.js';
import {createShortage} from './shortage.js';

/** Options of {@linkcode createGrantKeeper}. */
export type CreateGrantKeeperOptions = {
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly membership: Membership;
	readonly holder: GrantHolder;
	readonly loans: LoanDesk;
	readonly policy: GrantPolicy;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Pause between rounds, in milliseconds. */
	readonly every: number;
	/** Longest wait for an append, in milliseconds; default 10000. */
	readonly appendBound?: number;
};

/** Options of {@linkcode GrantKeeper.acquire}. */
export type AcquireOptions = {
	/** Longest wait for tokens to become free, in milliseconds. */
	readonly patience: number;
	readonly signal: AbortSignal;
};

/** Keeps an entry daemon in tokens. */
export type GrantKeeper = ReturnType<typeof createGrantKeeper>;

const defaultAppendBound = 10_000;
const claimPatience = 300;
const waitStep = 250;

/**
 * Creates the keeper; `run` is its task.
 *
 * @example
 * ```ts
 * const reservation = await keeper.acquire('b1', 500, {patience: 2000, signal});
 * ```
 *
 * @param options Grants, log, peers and policy
 * @returns The keeper
 */
export function createGrantKeeper(options: CreateGrantKeeperOptions) {
	const {
		follower, writer, membership, holder, loans, policy, clock, events,
	} = options;
	const appendBound = options.appendBound ?? defaultAppendBound;
	const demand = createDemand(clock);
	const shortage = createShortage({
		follower, membership, holder, loans, events,
	});
	const claims = new Map<string, Promise<void>>();
	const seeks = new Map<string, Promise<LoanSearch>>();
	const claimed = new Set<string>();
	const finished = new Set<string>();
	const releasing = new Set<string>();

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
			free: holder.countFree(budget),
			reserved: holder.countReserved(budget),
			wanted: demand.countWanted(budget),
			rate: demand.findRate(budget),
			entries: membership.listLiveEntries(placement.list()).length + 1,
			hasClaimed: claimed.has(budget),
			weighs: configuration.findBudget(budget)?.weighs ?? 'refusals',
		};
	}

	function isJoined(): boolean {
		const {self} = membership;
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	// Takes up grants of this incarnation that came into force, and drops those that ended or were closed by others.
	function syncGrants(): void {
		const {ledger} = follower.state();
		const {self} = membership;
		for (const grant of ledger.listGrants()) {
			const isMine = grant.daemon === self.id && grant.incarnation === self.incarnation;
			if (isMine && !grant.waitsFor && !holder.has(grant.id) && !finished.has(grant.id)) {
				finished.add(grant.id);
				holder.add(grant.id, {budget: grant.budget, amount: grant.amount});
				events.write('grantClaimed', {grant: grant.id, amount: grant.amount, offset: grant.offset});
			}
		}

		for (const source of listAllSources()) {
			const grant = ledger.findGrant(source.grant);
			// A paused holder may find its grant closed: others have taken over the rest, so not one token of it may be used.
			if (grant?.waitsFor ?? (!grant && !source.lender)) {
				holder.drop(source.grant);
				if (!releasing.has(source.grant)) {
					events.write('grantLost', {grant: source.grant});
				}
			}
		}
	}

	function listAllSources(): Source[] {
		return holder.listBudgets().flatMap(budget => holder.listSources(budget));
	}

	async function claimTokens(budget: string, amount: number): Promise<void> {
		const {self} = membership;
		const record: RecordOf<'claim'> = {
			kind: 'claim', grant: formatGrant(createId('g'), budget), budget, daemon: self.id, incarnation: self.incarnation, amount,
		};
		claimed.add(budget);
		const from = follower.state().next();
		let isSeen = false;
		const watch = follower.events.on('folded', ({data}) => {
			isSeen ||= data.kind === 'claim' && data.grant === record.grant;
		});
		await writer.commit(record, {
			isFolded: state => isSeen || state.ledger.findGrant(record.grant) !== undefined || (state.next() > from && !isJoined()),
			signal: AbortSignal.timeout(appendBound),
		});
		watch();
		syncGrants();
	}

	// One claim at a time for each budget: a second one would be sized without knowing the first.
	async function claimOnce(budget: string, amount: number): Promise<void> {
		const running = claims.get(budget);
		if (running) {
			return running;
		}

		const claim = claimTokens(budget, amount);
		claims.set(budget, claim);
		await claim;
		claims.delete(budget);
	}

	// Gives tokens back; they are withdrawn first, so that a lost answer can lock but never double them.
	async function releaseTokens(shares: readonly GrantShare[]): Promise<void> {
		await Promise.all(shares.map(async share => {
			const id = createId('r');
			await writer.commit({
				kind: 'release', id, grant: share.grant, amount: share.amount, final: false,
			}, {
				isFolded: state => state.ledger.hasRelease(id) || !state.ledger.findGrant(share.grant),
				signal: AbortSignal.timeout(appendBound),
			});
			events.write('grantReleased', {grant: share.grant, amount: share.amount});
		}));
	}

	// Ends own grants that are used up, so that no daemon need remember them.
	async function finishGrants(): Promise<void> {
		const done = listAllSources().filter(source => !source.lender && source.free === 0 && source.reserved === 0 && source.lent === 0 && !releasing.has(source.grant));
		await Promise.all(done.map(async source => {
			releasing.add(source.grant);
			const id = createId('r');
			await writer.commit({
				kind: 'release', id, grant: source.grant, amount: 0, final: true,
			}, {isFolded: state => !state.ledger.findGrant(source.grant), signal: AbortSignal.timeout(appendBound)});
			releasing.delete(source.grant);
			holder.drop(source.grant);
		}));
	}

	// After an upstream daemon was lost with its receipts, what a grant spent there is known to this holder alone.
	// If it died too, the whole grant would count as used; so it moves its free tokens to fresh grants.
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

	async function decideBudget(budget: string): Promise<void> {
		const decision = policy.decide(buildView(budget));
		if (decision.claim > 0) {
			await claimOnce(budget, decision.claim);
		} else if (decision.release > 0) {
			await releaseTokens(holder.withdraw(budget, decision.release));
		}
	}

	// Loans to an incarnation that has ended come back through its reports, once the grants are closed.
	async function closeLentGrants(): Promise<void> {
		const {placement} = follower.state();
		const grants = loans.listLentTo((daemon, incarnation) => follower.isLogUp() && !placement.isCurrent(daemon, incarnation));
		await Promise.all([...grants].map(async grant => writer.commit({kind: 'close', grant, by: membership.self.id}, {
			isFolded: state => state.ledger.findGrant(grant)?.waitsFor !== undefined || !state.ledger.findGrant(grant),
			signal: AbortSignal.timeout(appendBound),
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
			finishGrants(),
			closeLentGrants(),
			...budgets.map(async budget => decideBudget(budget.id)),
		]);
	}

	// Claims while the log answers, then borrows; several waiting requests share one search.
	async function seekTokens(budget: string): Promise<LoanSearch> {
		if (follower.isLogUp() && isJoined()) {
			const decision = policy.decide(buildView(budget));
			if (decision.claim > 0) {
				await Promise.race([claimOnce(budget, decision.claim), clock.sleep(claimPatience)]);
			}
		}

		return holder.countFree(budget) < demand.countWanted(budget) ? loans.borrow(budget, demand.countWanted(budget)) : {reserved: 0, isComplete: true};
	}

	async function seekOnce(budget: string): Promise<LoanSearch> {
		const running = seeks.get(budget);
		if (running) {
			return running;
		}

		const seek = seekTokens(budget);
		seeks.set(budget, seek);
		const search = await seek;
		seeks.delete(budget);
		return search;
	}

	async function waitForFreed(budget: string, signal: AbortSignal): Promise<void> {
		const freed = holder.events.once('freed');
		await Promise.race([freed, clock.sleep(waitStep, signal)]);
		freed.off();
	}

	async function waitForTokens(budget: string, amount: number, {patience, signal}: AcquireOptions): Promise<Result<Reservation, Failure>> {
		const until = clock.now() + patience;
		let isBusy = false;
		while (!signal.aborted && clock.now() < until) {
			const search = await seekOnce(budget);
			const reservation = holder.reserve(budget, amount);
			if (reservation) {
				return Ok(reservation);
			}

			demand.noteShort(budget);
			isBusy = claims.has(budget) || shortage.mayEnd(budget, amount, search);
			// Nothing in flight can free tokens: waiting would only hold the answer back.
			if (!isBusy) {
				break;
			}

			await waitForFreed(budget, signal);
		}

		const last = holder.reserve(budget, amount);
		return last ? Ok(last) : Err(shortage.refuse(budget, amount, isBusy));
	}

	return {
		listWanted: demand.listWanted,
		isShort: demand.isShort,
		syncGrants,

		/** Reserves tokens for a request, waiting for some to become free if that can happen. */
		async acquire(budget: string, amount: number, acquire: AcquireOptions): Promise<Result<Reservation, Failure>> {
			const reservation = holder.reserve(budget, amount);
			if (reservation) {
				return Ok(reservation);
			}

			const stopWaiting = demand.startWaiting(budget, amount);
			try {
				return await waitForTokens(budget, amount, acquire);
			} finally {
				stopWaiting();
			}
		},

		/** Ends a reservation with what was billed to it. */
		settle(reservation: Reservation, billed: readonly GrantShare[]): void {
			holder.settle(reservation, billed);
			demand.noteSpent(reservation.budget, sumShares(billed));
		},

		async run(signal: AbortSignal): Promise<void> {
			const stopSync = follower.events.on(['folded', 'replaced'], () => {
				syncGrants();
			});
			while (!signal.aborted) {
				await Promise.all([runRound(), loans.keepUp(), clock.sleep(options.every, signal)]);
			}

			stopSync();
		},

		/** Gives everything back that no request uses, for a stop. */
		async returnAll(): Promise<void> {
			await loans.repayAll();
			await Promise.all(holder.listBudgets().map(async budget => releaseTokens(holder.withdraw(budget, holder.countFree(budget)))));
			await finishGrants();
		},
	};
}
