/**
 * Lending between gateways: a request that finds too few tokens here may use
 * another gateway's, also while the store is away.
 *
 * @module
 */
import {createId, type EventLog} from '../protocol/mod.js';
import type {PeerView, TokenAccount} from '../state/mod.js';

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

/** Times that one numbered request is sent to a gateway that does not answer. */
const askTries = 2;
/** Answers kept for requests that come again. */
const answersKept = 2000;
/** A borrower asks for this many times what it lacks, so that its next requests need not ask. */
const wantedFactor = 3;
/** Share of its free tokens that a lender gives beyond what is needed now. */
const generousShare = 0.5;

/**
 * Creates the lending of one gateway.
 *
 * @example
 * ```ts
 * const {tokens} = await lending.borrow('city-1', 1200);
 * ```
 *
 * @param options The account and the peers
 * @returns The lending
 */
export function createTokenLending(options: CreateTokenLendingOptions) {
	const {account, events} = options;
	const answers = new Map<string, number>();
	const searches = new Map<string, Promise<BorrowOutcome>>();

	function dropOldAnswers(): void {
		for (const loan of answers.keys()) {
			if (answers.size <= answersKept) {
				return;
			}

			answers.delete(loan);
		}
	}

	// The lender has subtracted before its answer is lost, so the number is sent again and not a new one.
	async function askOne(peer: PeerView, ask: LendAsk): Promise<number | undefined> {
		for (let attempt = 0; attempt < askTries; attempt += 1) {
			try {
				return await options.ask(peer.address, ask);
			} catch (error) {
				events.write('loanUnanswered', {peer: peer.daemon, customer: ask.customer, detail: (error as Error).message});
			}
		}

		return undefined;
	}

	function rankLenders(customer: string): PeerView[] {
		const countFree = (view: PeerView) => view.free.find(item => item.customer === customer)?.tokens ?? 0;
		return options.listViews().sort((left, right) => countFree(right) - countFree(left));
	}

	async function search(customer: string, needed: number): Promise<BorrowOutcome> {
		let missing = needed;
		let tokens = 0;
		let isComplete = options.listSilent().length === 0;
		for (const peer of rankLenders(customer)) {
			const ask: LendAsk = {
				loan: createId('l'), customer, needed: missing, wanted: missing * wantedFactor, from: options.daemon,
			};
			const lent = await askOne(peer, ask);
			isComplete &&= lent !== undefined;
			if (lent) {
				account.addBorrowed(customer, lent);
				events.write('loanTaken', {customer, from: peer.daemon, amount: lent});
				tokens += lent;
				missing -= lent;
			}

			if (missing <= 0) {
				break;
			}
		}

		return {tokens, isComplete};
	}

	return {
		/** Lends what a peer needs, and some more if there is plenty; own waiting requests come first. */
		lend(ask: LendAsk): number {
			const known = answers.get(ask.loan);
			if (known !== undefined) {
				return known;
			}

			const spare = Math.max(0, account.countFree(ask.customer) - options.countWanted(ask.customer));
			const lent = account.lend(ask.customer, Math.min(spare, Math.max(ask.needed, Math.min(ask.wanted, Math.floor(spare * generousShare)))));
			answers.set(ask.loan, lent);
			dropOldAnswers();
			if (lent > 0) {
				events.write('loanGiven', {customer: ask.customer, to: ask.from, amount: lent});
			}

			return lent;
		},

		/** Borrows from the gateways that have most; requests of one customer that wait at once share a search. */
		async borrow(customer: string, needed: number): Promise<BorrowOutcome> {
			const running = searches.get(customer);
			if (running) {
				return running;
			}

			const started = search(customer, needed);
			searches.set(customer, started);
			try {
				return await started;
			} finally {
				searches.delete(customer);
			}
		},
	};
}
