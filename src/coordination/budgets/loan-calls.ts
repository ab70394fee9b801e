/**
 * Calls of one gateway to others for loans.
 *
 * A call outlives the wait of the request that made it. Its reply is credited
 * whenever it arrives, and a lender that has not replied is polled, because it
 * may have deducted the tokens.
 *
 * @module
 */
import {createId, type EventLog} from '../../protocol/mod.js';
import type {TokenAccount} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {LoanDurations} from './loan-ahead.js';
import {CreditedTotals, formatIncarnationKey, normalizeTokens} from './loan-totals.js';
import type {
	Lender, RequestLoan, TokenLoan, TokenLoanRequest,
} from './token-loan.js';

/** Options of {@linkcode createLoanCalls}. */
export type CreateLoanCallsOptions = {
	readonly daemon: string;
	readonly incarnation: string;
	readonly account: TokenAccount;
	/** Returns the gateways that are presumed to be up. */
	readonly listLenders: () => readonly Lender[];
	/** Called when tokens were credited. */
	readonly onCredited: (customer: string) => void;
	/** Requests a loan from one gateway, for up to several seconds; throws if it does not reply. */
	readonly requestLoan: RequestLoan;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Calls to lenders. */
export type LoanCalls = ReturnType<typeof createLoanCalls>;

/** What a borrower asks of one lender; amounts in tokens. */
export type LoanAsk = Pick<TokenLoanRequest, 'customer' | 'needed' | 'wanted' | 'mayClaim'>;

/** The reply of a lender, with the tokens that it added. */
export type CreditedLoan = TokenLoan & {readonly credited: number};

/** A call for a loan. */
export type OpenedLoan = {
	/** The reply; undefined if there was none. */
	readonly reply: Promise<CreditedLoan | undefined>;
	/** States that nobody waits for the reply any more. */
	readonly markLate: () => void;
};

/** A loan whose lender has not replied. */
type OpenLoan = {
	/** As last heard: an incarnation that started since the request was sent may have got it. */
	lender: Lender;
	readonly ask: LoanAsk;
	readonly loan: string;
	readonly openedAt: number;
	/** True once nobody waits for the reply any more. */
	isLate: boolean;
	isPolled: boolean;
	isSettled: boolean;
	/** True while the call runs, so that its reply may arrive. */
	isCalling: boolean;
	reply: Promise<CreditedLoan | undefined>;
};

const pollIntervalMs = 1000;
/** Time for which a reply is expected, as long as a call lasts. Later polls usually show that the lender is out of reach. */
const maxExpectedMs = 5000;
/** Time for which a call counts as on its way. Replies over a full link take up to 1.5 s; a gateway that is out of reach must not hold back smaller requests for longer. */
const maxInFlightMs = 1500;
/** Loans of one customer that one lender may leave without a reply before it gets no more requests; each is polled, which uses the link that is slow. */
const maxOpenLoans = 4;

/**
 * Creates the calls; `run` polls lenders that have not replied until its signal
 * is aborted.
 *
 * @example
 * ```ts
 * const call = calls.open(lender, {customer: 'city-1', needed: 900, wanted: 900, mayClaim: true});
 * const reply = await call.reply; // undefined if the lender did not reply
 * ```
 *
 * @param options The token account and the lenders
 * @returns The calls
 */
export function createLoanCalls(options: CreateLoanCallsOptions) {
	const {account, clock, events} = options;
	const credited = new CreditedTotals();
	const openLoans = new Set<OpenLoan>();
	/** Last known incarnation of each lender that states totals. */
	const incarnations = new Map<string, string>();
	const durations = new LoanDurations();
	let lateTokens = 0;

	function creditTotal({lender, ask: {customer}}: OpenLoan, incarnation: string, total: number): number {
		const {tokens, fault} = credited.accept(formatIncarnationKey(lender.daemon, incarnation), customer, total);
		if (fault !== undefined) {
			events.write('loanTotalIgnored', {
				customer, from: lender.daemon, total: String(total), reason: fault,
			});
		}

		return tokens;
	}

	function settle(open: OpenLoan, reply: TokenLoan): CreditedLoan {
		const {lender, ask: {customer}, isLate} = open;
		// The tokens of a lender of an earlier version count once per loan, whichever of its replies comes first.
		const isFirst = !open.isSettled;
		open.isSettled = true;
		openLoans.delete(open);
		if (isFirst) {
			// A loan whose lender was out of reach for minutes does not show how long loans take.
			durations.record(Math.min(maxExpectedMs, clock.now() - open.openedAt));
		}

		let tokens = 0;
		if (reply.incarnation) {
			incarnations.set(lender.daemon, reply.incarnation);
			tokens = creditTotal(open, reply.incarnation, reply.total ?? Number.NaN);
		} else if (isFirst) {
			tokens = normalizeTokens(reply.tokens);
		}

		if (tokens > 0) {
			account.addBorrowed(customer, tokens);
			const ms = Math.round(clock.now() - open.openedAt);
			events.write('loanTaken', {
				customer, from: lender.daemon, amount: tokens, ms,
			});
			if (isLate || !isFirst) {
				lateTokens += tokens;
				events.write('loanCreditedLate', {
					customer, from: lender.daemon, amount: tokens, ms,
				});
			}

			options.onCredited(customer);
		}

		return {...reply, credited: tokens};
	}

	async function send(open: OpenLoan, ask: LoanAsk): Promise<CreditedLoan | undefined> {
		const {lender, loan} = open;
		const lenderIncarnation = incarnations.get(lender.daemon) ?? '';
		try {
			const reply = await options.requestLoan(lender.address, {
				...ask, loan, from: options.daemon, fromIncarnation: options.incarnation, lenderIncarnation,
				received: credited.get(formatIncarnationKey(lender.daemon, lenderIncarnation), ask.customer),
			});
			return settle(open, reply);
		} catch (error) {
			open.isLate = true;
			open.isCalling = false;
			events.write('loanUnanswered', {peer: lender.daemon, customer: ask.customer, detail: (error as Error).message});
			return undefined;
		}
	}

	// Polls under the ID of the loan: a lender of an earlier version repeats its answer, and one that gets the poll before
	// the request does not lend.
	async function poll(open: OpenLoan): Promise<void> {
		open.isPolled = true;
		await send(open, {...open.ask, needed: 0, wanted: 0});
		open.isPolled = false;
	}

	function pollOpenLoans(): void {
		const lenders = new Map(options.listLenders().map(lender => [lender.daemon, lender]));
		for (const open of openLoans) {
			const lender = lenders.get(open.lender.daemon);
			if (lender && open.isLate && !open.isPolled) {
				open.lender = lender;
				void poll(open);
			}
		}
	}

	function start(lender: Lender, ask: LoanAsk): OpenLoan {
		const open: OpenLoan = {
			lender, ask, loan: createId('l'), openedAt: clock.now(), isLate: false, isPolled: false, isSettled: false, isCalling: true, reply: Promise.resolve(undefined),
		};
		openLoans.add(open);
		open.reply = send(open, ask);
		return open;
	}

	function describe(open: OpenLoan): OpenedLoan {
		return {
			reply: open.reply,
			markLate() {
				open.isLate = true;
			},
		};
	}

	return {
		/** Requests a loan; while too many calls to the lender are open, returns the latest of them. */
		open(lender: Lender, ask: LoanAsk): OpenedLoan {
			const earlier = [...openLoans].filter(open => open.lender.daemon === lender.daemon && open.ask.customer === ask.customer);
			return describe(earlier.length < maxOpenLoans ? start(lender, ask) : earlier.at(-1)!);
		},

		/** Returns true if a lender that may have deducted tokens of the customer is expected to reply. */
		hasOpen: (customer: string): boolean => [...openLoans].some(({ask, openedAt}) => ask.customer === customer && clock.now() - openedAt < maxExpectedMs),

		/** Returns true if a lender that may have deducted tokens of the customer did not reply in time but is still expected to. */
		hasLate: (customer: string): boolean => [...openLoans].some(({ask, isLate, openedAt}) => isLate && ask.customer === customer && clock.now() - openedAt < maxExpectedMs),

		/**
		 * Returns the tokens that running calls are expected to deliver. Owners are asked for the same tokens, so the largest
		 * of these calls counts.
		 */
		countInFlight(customer: string): number {
			let fromOwners = 0;
			let fromOthers = 0;
			for (const {ask, isCalling, openedAt} of openLoans) {
				if (isCalling && ask.customer === customer && clock.now() - openedAt < maxInFlightMs) {
					fromOwners = ask.mayClaim ? Math.max(fromOwners, ask.needed) : fromOwners;
					fromOthers += ask.mayClaim ? 0 : ask.needed;
				}
			}

			return fromOwners + fromOthers;
		},

		/** Returns the smoothed duration of recent loans, in milliseconds. */
		getDurationMs: (): number => durations.getMs(),

		/** Returns the tokens credited after nobody waited for their reply any more. */
		getLateTokens: (): number => lateTokens,

		/** Polls lenders that have not replied. */
		pollOpenLoans,

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await clock.sleep(pollIntervalMs, signal);
				pollOpenLoans();
			}
		},
	};
}
