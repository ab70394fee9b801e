/**
 * Loans between entry daemons, which balance their grants without the log.
 *
 * Tokens on loan still belong to the lender's grant: receipts name that grant,
 * so closing it closes its loans too. The lender deducts the tokens before it
 * answers, and the borrower retries under the same loan ID until it gets an
 * answer. A lost answer can lock tokens, but can't duplicate them.
 *
 * @module
 */
import {createId, type EventLog, type GrantShare} from '../../protocol/mod.js';
import {
	sumShares, type GrantHolder, type Member, type TokenSource,
} from '../../state/mod.js';
import type {Clock, FleetClient} from '../../transport/mod.js';
import type {Membership} from '../peers/membership.js';

/** A request for a loan, as a peer sends it. */
export type LoanRequest = {
	readonly loan: string;
	readonly budget: string;
	readonly amount: number;
	readonly from: string;
	readonly incarnation: string;
};

/** An answer to a request for a loan. */
export type LoanAnswer = {
	readonly shares: readonly GrantShare[];
	/** Tokens reserved by the lender's running requests, of which some may be freed. */
	readonly reserved: number;
};

/** Result of a search for loans. */
export type LoanSearch = {
	/** Tokens reserved by the peers' running requests, of which some may be freed. */
	readonly reserved: number;
	/** True if every peer that received a request has answered. */
	readonly isComplete: boolean;
};

/** Options of {@linkcode createLoanManager}. */
export type CreateLoanManagerOptions = {
	readonly holder: GrantHolder;
	readonly membership: Membership;
	readonly fleet: FleetClient;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly listMembers: () => Iterable<Readonly<Member>>;
	/** Lists the amounts that this daemon's waiting requests need, in tokens. */
	readonly listWaitingAmounts: (budget: string) => readonly number[];
};

type GivenLoan = {readonly shares: readonly GrantShare[]; readonly to: string; readonly incarnation: string};
type PendingLoan = {readonly loan: string; readonly budget: string; readonly amount: number; readonly lender: string};
type Repayment = {readonly loan: string; readonly lender: string; readonly unspent: readonly GrantShare[]};

/** Manages the loans of one entry daemon. */
export type LoanManager = ReturnType<typeof createLoanManager>;

const callTimeoutMs = 1000;
const repayAfterIdleMs = 3000;
/** Longest time between two rounds that counts as idle; a longer gap means that the process was paused. */
const maxIdleStepMs = 1000;
/** Largest multiple of the requested amount that a lender gives. */
const generousFactor = 8;
const maxEndedLoans = 10_000;

/**
 * Creates the loan manager of an entry daemon.
 *
 * @example
 * ```ts
 * const {reserved} = await loans.borrow('b1', 500);
 * ```
 *
 * @param options Grants, peers and connections to them
 * @returns The loan manager
 */
export function createLoanManager(options: CreateLoanManagerOptions) {
	const {
		holder, membership, fleet, clock, events,
	} = options;
	const givenLoans = new Map<string, GivenLoan>();
	const endedLoans = new Set<string>();
	const pendingLoans = new Map<string, PendingLoan>();
	const repayments = new Map<string, Repayment>();
	const idleMsByLoan = new Map<string, number>();
	let lastRoundAt = clock.now();

	// Limited, because requests that arrived while the process was paused have not been read yet and need their loans.
	function computeIdleStepMs(): number {
		return Math.min(clock.now() - lastRoundAt, maxIdleStepMs);
	}

	function markEnded(loan: string): void {
		endedLoans.add(loan);
		for (const oldest of endedLoans) {
			if (endedLoans.size <= maxEndedLoans) {
				return;
			}

			endedLoans.delete(oldest);
		}
	}

	// When a budget is almost used up, two entry daemons may each have insufficient tokens for a request, but enough together.
	// If both kept their tokens, both would refuse; so the one whose name sorts later lends all its free tokens.
	function countLendable(request: LoanRequest): number {
		const free = holder.countFreeTokens(request.budget);
		const waitingAmounts = options.listWaitingAmounts(request.budget);
		const isInsufficient = waitingAmounts.length > 0 && free < Math.min(...waitingAmounts);
		if (isInsufficient && request.from < membership.self.id) {
			return free;
		}

		return Math.max(0, free - sumNumbers(waitingAmounts));
	}

	function issueLoan(request: LoanRequest): readonly GrantShare[] {
		const free = countLendable(request);
		// Lends more than the requested amount if possible, which saves the borrower its next loan requests.
		const generousAmount = Math.min(request.amount * generousFactor, Math.floor(free / 2));
		const shares = holder.withdraw(request.budget, Math.min(free, Math.max(request.amount, generousAmount)));
		if (shares.length > 0) {
			holder.markLent(shares);
			givenLoans.set(request.loan, {shares, to: request.from, incarnation: request.incarnation});
			events.write('loanGiven', {budget: request.budget, to: request.from, amount: sumShares(shares)});
		}

		return shares;
	}

	function acceptLoan(loan: PendingLoan, shares: readonly GrantShare[]): void {
		for (const share of shares) {
			holder.add(share.grant, {
				budget: loan.budget, amount: share.amount, lender: loan.lender, loan: loan.loan,
			});
		}

		if (shares.length > 0) {
			// The next round adds the whole time since the previous one, of which the part before this loan must not count.
			idleMsByLoan.set(loan.loan, -computeIdleStepMs());
			events.write('loanTaken', {budget: loan.budget, from: loan.lender, amount: sumShares(shares)});
		}
	}

	function findAddress(daemon: string): string | undefined {
		return [...options.listMembers()].find(member => member.daemon === daemon)?.address ?? membership.get(daemon)?.address;
	}

	// Sends or repeats one loan request. The lender answers the same loan ID with the same shares.
	async function requestLoan(loan: PendingLoan): Promise<LoanAnswer | undefined> {
		const address = findAddress(loan.lender);
		if (!address) {
			pendingLoans.delete(loan.loan);
			return undefined;
		}

		try {
			const {self} = membership;
			const reply = await fleet.connect(address).peer.borrow({
				loan: loan.loan, budget: loan.budget, amount: loan.amount, from: self.id, incarnation: self.incarnation,
			}, {timeoutMs: callTimeoutMs});
			if (pendingLoans.delete(loan.loan)) {
				acceptLoan(loan, reply.shares);
			}

			return reply;
		} catch {
			return undefined;
		}
	}

	// The lender may have granted a loan whose answer was lost, so its loan ID is sent again instead of a new one.
	function getPendingLoan(lender: string, budget: string, amount: number): PendingLoan {
		const pending = [...pendingLoans.values()].find(loan => loan.lender === lender && loan.budget === budget);
		const loan = pending ?? {
			loan: createId('l'), budget, amount, lender,
		};
		pendingLoans.set(loan.loan, loan);
		return loan;
	}

	async function sendRepayment(repayment: Repayment): Promise<void> {
		const address = findAddress(repayment.lender);
		if (!address) {
			repayments.delete(repayment.loan);
			return;
		}

		try {
			await fleet.connect(address).peer.repay({loan: repayment.loan, unspent: [...repayment.unspent]}, {timeoutMs: callTimeoutMs});
			repayments.delete(repayment.loan);
		} catch {
			// Retried in the next round; the lender accepts each loan ID once.
		}
	}

	function groupSourcesByLoan(): Map<string, TokenSource[]> {
		const loans = new Map<string, TokenSource[]>();
		for (const budget of holder.listBudgets()) {
			for (const source of holder.listSources(budget)) {
				if (source.loan) {
					loans.set(source.loan, [...loans.get(source.loan) ?? [], source]);
				}
			}
		}

		return loans;
	}

	function endIdleLoans(minIdleMs: number): void {
		const stepMs = computeIdleStepMs();
		lastRoundAt = clock.now();
		for (const [loan, sources] of groupSourcesByLoan()) {
			const isRunning = sources.some(source => source.reserved > 0);
			const idleMs = isRunning ? 0 : (idleMsByLoan.get(loan) ?? 0) + stepMs;
			idleMsByLoan.set(loan, idleMs);
			if (!isRunning && idleMs >= minIdleMs) {
				const {budget, lender} = sources[0]!;
				const unspent = sources.map(source => ({grant: source.grant, amount: source.free}));
				events.write('loanEnded', {
					budget, to: lender, amount: sumShares(unspent), idleMs: Math.round(idleMs),
				});
				repayments.set(loan, {loan, lender: lender!, unspent});
				idleMsByLoan.delete(loan);
				for (const source of sources) {
					holder.removeLoan(source);
				}
			}
		}
	}

	return {
		/** Answers a peer's loan request; a repeated loan ID gets the same shares. */
		lend(request: LoanRequest): LoanAnswer {
			const known = givenLoans.get(request.loan)?.shares ?? (endedLoans.has(request.loan) ? [] : undefined);
			return {shares: known ?? issueLoan(request), reserved: holder.countReservedTokens(request.budget)};
		},

		/** Accepts a repayment; a repeated one has no effect. */
		acceptRepayment(loan: string, unspent: readonly GrantShare[]): void {
			const known = givenLoans.get(loan);
			if (known) {
				givenLoans.delete(loan);
				markEnded(loan);
				holder.settleLoan(known.shares, unspent);
			}
		},

		/** Yields this daemon's grants of which a part is lent to a daemon that matches the predicate. */
		* findGrantsLentTo(isHolder: (daemon: string, incarnation: string) => boolean): Generator<string> {
			for (const {shares, to, incarnation} of givenLoans.values()) {
				if (isHolder(to, incarnation)) {
					yield * shares.map(share => share.grant);
				}
			}
		},

		/** Removes the loans to ended incarnations and returns their grants, which must be closed. */
		removeLoansTo(isEnded: (daemon: string, incarnation: string) => boolean): Set<string> {
			const grants = new Set<string>();
			for (const [loan, {shares, to, incarnation}] of givenLoans) {
				if (isEnded(to, incarnation)) {
					givenLoans.delete(loan);
					for (const share of shares) {
						grants.add(share.grant);
					}
				}
			}

			return grants;
		},

		/** Borrows from live peers until the given amount is free. */
		async borrow(budget: string, amount: number): Promise<LoanSearch> {
			let reserved = 0;
			let isComplete = true;
			for (const lender of membership.listLiveEntries(options.listMembers())) {
				const missing = amount - holder.countFreeTokens(budget);
				if (missing <= 0) {
					break;
				}

				const answer = await requestLoan(getPendingLoan(lender.daemon, budget, missing));
				reserved += answer?.reserved ?? 0;
				isComplete &&= answer !== undefined;
			}

			return {reserved, isComplete};
		},

		/** Runs one round: repeats unanswered loan requests and repays idle loans. */
		async runRound(): Promise<void> {
			endIdleLoans(repayAfterIdleMs);
			await Promise.all([
				...[...pendingLoans.values()].map(async loan => requestLoan(loan)),
				...[...repayments.values()].map(async repayment => sendRepayment(repayment)),
			]);
		},

		/** Repays every loan that no request uses; called when the daemon stops. */
		async repayAll(): Promise<void> {
			endIdleLoans(0);
			await Promise.all([...repayments.values()].map(async repayment => sendRepayment(repayment)));
		},
	};
}

/** @internal */
function sumNumbers(numbers: readonly number[]): number {
	let sum = 0;
	for (const number of numbers) {
		sum += number;
	}

	return sum;
}
