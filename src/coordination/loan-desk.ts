/**
 * Loans between entry daemons, which even out their grants without the log.
 *
 * A loan is work under the lender's grant: receipts name that grant, so
 * closing it closes its loans too. The lender subtracts before it answers, the
 * loan is numbered, and the borrower repeats the number until it is answered;
 * tokens can be locked by a lost answer but never exist twice.
 *
 * @module
 */
import {createId, type EventLog, type GrantShare} from '../protocol/mod.js';
import {
	sumShares, type GrantHolder, type Member, type Source,
} from '../state/mod.js';
import type {Clock, FleetClient} from '../transport/mod.js';
import type {Membership} from './membership.js';

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
	/** Tokens that the lender's running requests may yet free. */
	readonly reserved: number;
};

/** What a search for loans came to. */
export type LoanSearch = {
	/** Tokens that the peers' running requests may yet free. */
	readonly reserved: number;
	/** True when every peer that was asked has said what it has. */
	readonly isComplete: boolean;
};

/** Options of {@linkcode createLoanDesk}. */
export type CreateLoanDeskOptions = {
	readonly holder: GrantHolder;
	readonly membership: Membership;
	readonly fleet: FleetClient;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly listMembers: () => Iterable<Readonly<Member>>;
	/** What each waiting request of this daemon asks for, in tokens. */
	readonly listWanted: (budget: string) => readonly number[];
};

type GivenLoan = {readonly shares: readonly GrantShare[]; readonly to: string; readonly incarnation: string};
type AskedLoan = {readonly loan: string; readonly budget: string; readonly amount: number; readonly lender: string};
type Repayment = {readonly loan: string; readonly lender: string; readonly unspent: readonly GrantShare[]};

/** Loans of one entry daemon. */
export type LoanDesk = ReturnType<typeof createLoanDesk>;

const askTimeout = 1000;
const idleBeforeRepay = 3000;
/** Longest time between two rounds that counts as idle, in milliseconds; beyond it the process stood still. */
const longestIdleStep = 1000;
const extraLoans = 8;
const answeredLimit = 10_000;

/**
 * Creates the loans of an entry daemon.
 *
 * @example
 * ```ts
 * const {reserved} = await loans.borrow('b1', 500);
 * ```
 *
 * @param options Grants and the ways to peers
 * @returns The loans
 */
export function createLoanDesk(options: CreateLoanDeskOptions) {
	const {
		holder, membership, fleet, clock, events,
	} = options;
	const given = new Map<string, GivenLoan>();
	const ended = new Set<string>();
	const asked = new Map<string, AskedLoan>();
	const repayments = new Map<string, Repayment>();
	const idleTimes = new Map<string, number>();
	let roundAt = clock.now();

	// Requests that came while the process stood still have yet to be read, and need what was borrowed for them.
	function countSinceRound(): number {
		return Math.min(clock.now() - roundAt, longestIdleStep);
	}

	function noteEnded(loan: string): void {
		ended.add(loan);
		for (const old of ended) {
			if (ended.size <= answeredLimit) {
				return;
			}

			ended.delete(old);
		}
	}

	// Near the end two entries may each have too little for a request of theirs, and together enough for one.
	// Were each to keep its own, both would refuse; so the one with the later name gives way.
	function countLendable(request: LoanRequest): number {
		const free = holder.countFree(request.budget);
		const wanted = options.listWanted(request.budget);
		const isShort = wanted.length > 0 && free < Math.min(...wanted);
		if (isShort && request.from < membership.self.id) {
			return free;
		}

		return Math.max(0, free - sumNumbers(wanted));
	}

	function giveLoan(request: LoanRequest): readonly GrantShare[] {
		const free = countLendable(request);
		// A little more than asked, so that the next request need not ask again.
		const generous = Math.min(request.amount * extraLoans, Math.floor(free / 2));
		const shares = holder.withdraw(request.budget, Math.min(free, Math.max(request.amount, generous)));
		if (shares.length > 0) {
			holder.markLent(shares);
			given.set(request.loan, {shares, to: request.from, incarnation: request.incarnation});
			events.write('loanGiven', {budget: request.budget, to: request.from, amount: sumShares(shares)});
		}

		return shares;
	}

	function takeLoan(loan: AskedLoan, shares: readonly GrantShare[]): void {
		for (const share of shares) {
			holder.add(share.grant, {
				budget: loan.budget, amount: share.amount, lender: loan.lender, loan: loan.loan,
			});
		}

		if (shares.length > 0) {
			// The next round counts the time since the one before, of which this loan has not lain idle yet.
			idleTimes.set(loan.loan, -countSinceRound());
			events.write('loanTaken', {budget: loan.budget, from: loan.lender, amount: sumShares(shares)});
		}
	}

	function findAddress(daemon: string): string | undefined {
		return [...options.listMembers()].find(member => member.daemon === daemon)?.address ?? membership.get(daemon)?.address;
	}

	// Repeats one numbered request; the lender answers the same number with the same shares.
	async function askLender(loan: AskedLoan): Promise<LoanAnswer | undefined> {
		const address = findAddress(loan.lender);
		if (!address) {
			asked.delete(loan.loan);
			return undefined;
		}

		try {
			const {self} = membership;
			const reply = await fleet.connect(address).peer.borrow({
				loan: loan.loan, budget: loan.budget, amount: loan.amount, from: self.id, incarnation: self.incarnation,
			}, {timeoutMs: askTimeout});
			if (asked.delete(loan.loan)) {
				takeLoan(loan, reply.shares);
			}

			return reply;
		} catch {
			return undefined;
		}
	}

	// A loan whose answer was lost may stand with the lender, so its number is sent again and not a new one.
	function ensureAsked(lender: string, budget: string, amount: number): AskedLoan {
		const open = [...asked.values()].find(loan => loan.lender === lender && loan.budget === budget);
		const loan = open ?? {
			loan: createId('l'), budget, amount, lender,
		};
		asked.set(loan.loan, loan);
		return loan;
	}

	async function sendRepayment(repayment: Repayment): Promise<void> {
		const address = findAddress(repayment.lender);
		if (!address) {
			repayments.delete(repayment.loan);
			return;
		}

		try {
			await fleet.connect(address).peer.repay({loan: repayment.loan, unspent: [...repayment.unspent]}, {timeoutMs: askTimeout});
			repayments.delete(repayment.loan);
		} catch {
			// Repeated by the next round; the lender takes each number once.
		}
	}

	function listLoans(): Map<string, Source[]> {
		const loans = new Map<string, Source[]>();
		for (const budget of holder.listBudgets()) {
			for (const source of holder.listSources(budget)) {
				if (source.loan) {
					loans.set(source.loan, [...loans.get(source.loan) ?? [], source]);
				}
			}
		}

		return loans;
	}

	function endIdleLoans(minIdle: number): void {
		const step = countSinceRound();
		roundAt = clock.now();
		for (const [loan, sources] of listLoans()) {
			const isRunning = sources.some(source => source.reserved > 0);
			const idleMs = isRunning ? 0 : (idleTimes.get(loan) ?? 0) + step;
			idleTimes.set(loan, idleMs);
			if (!isRunning && idleMs >= minIdle) {
				const {budget, lender} = sources[0]!;
				const unspent = sources.map(source => ({grant: source.grant, amount: source.free}));
				events.write('loanEnded', {
					budget, to: lender, amount: sumShares(unspent), idleMs: Math.round(idleMs),
				});
				repayments.set(loan, {loan, lender: lender!, unspent});
				idleTimes.delete(loan);
				for (const source of sources) {
					holder.dropLoan(source);
				}
			}
		}
	}

	return {
		/** Answers a peer's request; the same number gets the same answer. */
		lend(request: LoanRequest): LoanAnswer {
			const known = given.get(request.loan)?.shares ?? (ended.has(request.loan) ? [] : undefined);
			return {shares: known ?? giveLoan(request), reserved: holder.countReserved(request.budget)};
		},

		/** Takes a repayment; a repeated one does nothing. */
		takeRepayment(loan: string, unspent: readonly GrantShare[]): void {
			const known = given.get(loan);
			if (known) {
				given.delete(loan);
				noteEnded(loan);
				holder.settleLoan(known.shares, unspent);
			}
		},

		/** Own grants of which a part is lent to a daemon that the predicate names. */
		* findLentTo(isHolder: (daemon: string, incarnation: string) => boolean): Generator<string> {
			for (const {shares, to, incarnation} of given.values()) {
				if (isHolder(to, incarnation)) {
					yield * shares.map(share => share.grant);
				}
			}
		},

		/** Grants lent to an incarnation, which must be closed when it has ended. */
		listLentTo(isEnded: (daemon: string, incarnation: string) => boolean): Set<string> {
			const grants = new Set<string>();
			for (const [loan, {shares, to, incarnation}] of given) {
				if (isEnded(to, incarnation)) {
					given.delete(loan);
					for (const share of shares) {
						grants.add(share.grant);
					}
				}
			}

			return grants;
		},

		/** Borrows from live peers until enough is free. */
		async borrow(budget: string, amount: number): Promise<LoanSearch> {
			let reserved = 0;
			let isComplete = true;
			for (const lender of membership.listLiveEntries(options.listMembers())) {
				const missing = amount - holder.countFree(budget);
				if (missing <= 0) {
					break;
				}

				const answer = await askLender(ensureAsked(lender.daemon, budget, missing));
				reserved += answer?.reserved ?? 0;
				isComplete &&= answer !== undefined;
			}

			return {reserved, isComplete};
		},

		/** One round: asks again for unanswered loans and repays idle ones. */
		async keepUp(): Promise<void> {
			endIdleLoans(idleBeforeRepay);
			await Promise.all([
				...[...asked.values()].map(async loan => askLender(loan)),
				...[...repayments.values()].map(async repayment => sendRepayment(repayment)),
			]);
		},

		/** Repays every loan that no request uses, for a stop. */
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
