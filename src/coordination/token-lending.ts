/**
 * Lending between gateways: a request that finds too few tokens here may use
 * another gateway's, also while the store is away.
 *
 * @module
 */
import {createId, type EventLog} from '../protocol/mod.js';
import type {PeerView, TokenAccount} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';

/** A request for a loan. */
export type LendAsk = {
	/** Unique; the same number gets the same answer. */
	readonly loan: string;
	readonly customer: string;
	/** Tokens that waiting requests lack. */
	readonly needed: number;
	/** Tokens that would save asking again soon. */
	readonly wanted: number;
	readonly from: string;
	/** The lender claims what it lacks. */
	readonly mayClaim: boolean;
};

/** Options of {@linkcode createTokenLending}. */
export type CreateTokenLendingOptions = {
	readonly daemon: string;
	readonly account: TokenAccount;
	readonly events: EventLog;
	readonly listViews: () => PeerView[];
	/** Gateways that the log names as running and that have just fallen silent. */
	readonly listSilent: () => readonly string[];
	/** What this gateway's own waiting requests ask for, in tokens. */
	readonly countWanted: (customer: string) => number;
	/** Gateways in the order in which they claim the customer's budget for others; none if each claims for itself. */
	readonly listHomes: (customer: string) => readonly string[];
	/** True if this gateway claims the customer's budget. */
	readonly isHome: (customer: string) => boolean;
	/** Claims until so many tokens are free, for a gateway that asks. */
	readonly claim: (customer: string, amount: number) => Promise<void>;
	/** Called with what was lent to a gateway for which this one claims. */
	readonly onLent: (customer: string, amount: number) => void;
	readonly clock: Clock;
	/** Asks one gateway; throws when it does not answer. */
	readonly ask: (address: string, ask: LendAsk) => Promise<number>;
};

/** Lending between gateways. */
export type TokenLending = ReturnType<typeof createTokenLending>;

/** What a search for tokens came to. */
export type BorrowOutcome = {
	readonly tokens: number;
	/** True when every gateway that is not taken for lost has said what it has. */
	readonly isComplete: boolean;
};

/** What to borrow. */
export type BorrowAsk = Pick<LendAsk, 'needed' | 'wanted'>;

/** A gateway that did not answer is asked last for so long, in milliseconds. */
const silentSpan = 2000;
/** Homes of a budget that are asked; the second serves while the first is gone. */
const homesAsked = 2;
/** Other gateways that are asked for what is free there; each is a call in the way of a request. */
const othersAsked = 6;
/** Answers kept for requests that come again. */
const answersKept = 2000;
/** Share of its free tokens that a lender gives beyond what is needed now. */
const generousShare = 0.5;

/**
 * Creates the lending of one gateway.
 *
 * @example
 * ```ts
 * const {tokens} = await lending.borrow('city-1', {needed: 1200, wanted: 3600});
 * ```
 *
 * @param options The account and the peers
 * @returns The lending
 */
export function createTokenLending(options: CreateTokenLendingOptions) {
	const {account, events, clock} = options;
	const answers = new Map<string, Promise<number>>();
	/** Clock at which a gateway did not answer. */
	const silentAt = new Map<string, number>();
	const searches = new Map<string, Promise<BorrowOutcome>>();

	function dropOldAnswers(): void {
		for (const loan of answers.keys()) {
			if (answers.size <= answersKept) {
				return;
			}

			answers.delete(loan);
		}
	}

	function noteLoan(peer: PeerView, customer: string, lent: number): void {
		if (lent > 0) {
			account.addBorrowed(customer, lent);
			events.write('loanTaken', {customer, from: peer.daemon, amount: lent});
		}
	}

	// The lender may have subtracted before its answer was lost, so the number is sent again and not a new one; the request
	// that lacks the tokens does not wait for it.
	async function askAgain(peer: PeerView, ask: LendAsk): Promise<void> {
		try {
			noteLoan(peer, ask.customer, await options.ask(peer.address, ask));
		} catch (error) {
			events.write('loanUnanswered', {peer: peer.daemon, customer: ask.customer, detail: (error as Error).message});
		}
	}

	async function askOne(peer: PeerView, ask: LendAsk): Promise<number | undefined> {
		try {
			const lent = await options.ask(peer.address, ask);
			noteLoan(peer, ask.customer, lent);
			return lent;
		} catch (error) {
			events.write('loanUnanswered', {peer: peer.daemon, customer: ask.customer, detail: (error as Error).message});
			silentAt.set(peer.daemon, clock.now());
			void askAgain(peer, ask);
			return undefined;
		}
	}

	function isSilent({daemon}: PeerView): boolean {
		return clock.now() - (silentAt.get(daemon) ?? Number.NEGATIVE_INFINITY) < silentSpan;
	}

	// Homes first, then those that have most free. Where each gateway claims for itself, all are asked.
	function rankLenders(customer: string): {readonly homes: readonly PeerView[]; readonly others: readonly PeerView[]} {
		const countFree = (view: PeerView) => view.free.find(item => item.customer === customer)?.tokens ?? 0;
		const byFree = options.listViews().sort((left, right) => countFree(right) - countFree(left));
		const homes = options.listHomes(customer);
		if (homes.length === 0) {
			return {homes: [], others: byFree};
		}

		const byName = new Map(byFree.map(view => [view.daemon, view]));
		const ranked = homes.flatMap(home => byName.get(home) ?? []);
		const first = [...ranked.filter(view => !isSilent(view)), ...ranked.filter(view => isSilent(view))].slice(0, homesAsked);
		const others = byFree.filter(view => countFree(view) > 0).slice(0, othersAsked);
		return {homes: first, others};
	}

	async function search(customer: string, {needed, wanted}: BorrowAsk): Promise<BorrowOutcome> {
		const wantedShare = wanted / Math.max(1, needed);
		const mayClaim = !options.isHome(customer);
		let missing = needed;
		let isComplete = options.listSilent().length === 0;
		const askFor = async (peer: PeerView, claims: boolean) => {
			const lent = await askOne(peer, {
				loan: createId('l'), customer, needed: missing, wanted: Math.ceil(missing * wantedShare), from: options.daemon, mayClaim: claims,
			});
			isComplete &&= lent !== undefined;
			missing -= lent ?? 0;
			return lent !== undefined;
		};

		const {homes, others} = rankLenders(customer);
		let home: PeerView | undefined;
		for (const peer of homes) {
			if (!home && await askFor(peer, mayClaim)) {
				home = peer;
			}
		}

		for (const peer of others) {
			if (missing > 0 && peer !== home) {
				await askFor(peer, false);
			}
		}

		// A home lends all or nothing; what the others brought may leave it less to lend.
		if (home && missing > 0 && missing < needed) {
			await askFor(home, mayClaim);
		}

		return {tokens: needed - missing, isComplete};
	}

	function countSpare(customer: string): number {
		return Math.max(0, account.countFree(customer) - options.countWanted(customer));
	}

	function giveLoan({customer, needed, wanted, from, mayClaim}: LendAsk): number {
		const spare = countSpare(customer);
		// Guards against a large request that takes what is left of a budget from its home and is refused all the same: the
		// rest would lie where no smaller request asks for it.
		if (mayClaim && spare < needed) {
			return 0;
		}

		const lent = account.lend(customer, Math.min(spare, Math.max(needed, Math.min(wanted, Math.floor(spare * generousShare)))));
		if (lent > 0) {
			events.write('loanGiven', {customer, to: from, amount: lent});
			if (mayClaim) {
				options.onLent(customer, lent);
			}
		}

		return lent;
	}

	async function lend(ask: LendAsk): Promise<number> {
		if (ask.mayClaim && countSpare(ask.customer) < ask.needed) {
			await options.claim(ask.customer, ask.needed);
		}

		return giveLoan(ask);
	}

	return {
		/** Lends what a peer needs, and some more if there is plenty; own waiting requests come first. */
		async lend(ask: LendAsk): Promise<number> {
			const known = answers.get(ask.loan);
			if (known) {
				return known;
			}

			const answer = lend(ask);
			answers.set(ask.loan, answer);
			dropOldAnswers();
			return answer;
		},

		/** Borrows from the gateways that have most; requests of one customer that wait at once share a search. */
		async borrow(customer: string, ask: BorrowAsk): Promise<BorrowOutcome> {
			const running = searches.get(customer);
			if (running) {
				return running;
			}

			const started = search(customer, ask);
			searches.set(customer, started);
			try {
				return await started;
			} finally {
				searches.delete(customer);
			}
		},
	};
}
