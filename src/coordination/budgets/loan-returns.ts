/**
 * Returns borrowed tokens that a gateway does not need to the gateways that
 * claim the budgets.
 *
 * A returned token must not be counted twice. The gateway deducts tokens before
 * it sends them and never takes them back unless the receiver states that it has
 * not accepted them. The receiver accepts each repayment once, and only in the
 * incarnation that it is addressed to: a later incarnation cannot know what the
 * earlier one has accepted. A repayment that stays unanswered is sent again for as
 * long as that incarnation runs; its tokens are lost when it ends.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {FreeTokens, PeerView, TokenAccount} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {ReturnedTotals, formatIncarnationKey} from './loan-totals.js';
import {createRepaymentReceiver} from './repayment-receiver.js';

/** Tokens that one gateway returns to another. */
export type Repayment = {
	readonly from: string;
	readonly fromIncarnation: string;
	/** Increases with each repayment of the incarnation; a repeated call has the same number. */
	readonly sequence: number;
	readonly toIncarnation: string;
	readonly amounts: readonly FreeTokens[];
	/** Tokens returned in total to that incarnation, for each customer in `amounts`; empty or absent from a gateway of an earlier version. */
	readonly totals?: readonly FreeTokens[];
};

/** Sends a repayment to a gateway and returns whether it accepted the tokens; throws if that is unknown. */
export type SendRepayment = (address: string, repayment: Repayment) => Promise<boolean>;

/** Options of {@linkcode createLoanReturns}. */
export type CreateLoanReturnsOptions = {
	readonly self: {readonly daemon: string; readonly incarnation: string};
	readonly account: TokenAccount;
	readonly listViews: () => readonly PeerView[];
	/** Returns the gateways in the order in which they take over the customer's budget; none if each claims for itself. */
	readonly listOwners: (customer: string) => readonly string[];
	/** Returns the number of borrowed tokens to return while the gateway runs. */
	readonly computeReturned: (customer: string) => number;
	/** Called with the number of tokens received from a gateway that borrowed them. */
	readonly onReceived: (customer: string, amount: number) => void;
	readonly sendRepayment: SendRepayment;
	readonly clock: Clock;
	readonly events: EventLog;
};

type ReturnOptions = {
	readonly computeAmount: (customer: string) => number;
	readonly findReceiver: (customer: string, receivers: ReadonlyMap<string, PeerView>) => PeerView | undefined;
};

/** Returns borrowed tokens. */
export type LoanReturns = ReturnType<typeof createLoanReturns>;

const roundIntervalMs = 1000;
/** A process that has just started serves callers first; returns can wait. */
const firstRoundDelayMs = 5000;
/** Attempts to deliver a repayment in immediate succession; further ones are made once per round. */
const maxAttempts = 3;
/** Time for which a gateway that did not answer gets no new repayments. */
const unresponsivePeriodMs = 2000;

/**
 * Creates the returns of one gateway; `run` operates them until its signal is
 * aborted.
 *
 * @example
 * ```ts
 * void returns.run(signal);
 * await returns.repayAll({shouldIncludeGrants: false}); // before the gateway stops
 * ```
 *
 * @param options The token account and the peers
 * @returns The returns
 */
export function createLoanReturns(options: CreateLoanReturnsOptions) {
	const {self, account, events, clock} = options;
	const unansweredAt = new Map<string, number>();
	/** Receivers of repayments that are under way: one at a time each, so that numbers arrive in order. */
	const busyReceivers = new Set<string>();
	/** Repayments that were not answered, by receiver. It gets no others before, because one of an earlier version ignores lower numbers. */
	const unanswered = new Map<string, Repayment>();
	const totals = new ReturnedTotals();
	const receiver = createRepaymentReceiver(options);
	let sequence = 0;

	function canReceive({daemon, isLeaving}: PeerView): boolean {
		return !isLeaving && !busyReceivers.has(daemon) && !unanswered.has(daemon) && clock.now() - (unansweredAt.get(daemon) ?? Number.NEGATIVE_INFINITY) >= unresponsivePeriodMs;
	}

	function listReceivers(): ReadonlyMap<string, PeerView> {
		return new Map(options.listViews().filter(view => canReceive(view)).map(view => [view.daemon, view]));
	}

	// Keeps the tokens if this gateway is next in line after owners that cannot receive them now.
	function findOwner(customer: string, receivers: ReadonlyMap<string, PeerView>): PeerView | undefined {
		const owner = options.listOwners(customer).find(daemon => receivers.has(daemon) || daemon === self.daemon);
		return owner === undefined ? undefined : receivers.get(owner);
	}

	function findSuccessor(customer: string, receivers: ReadonlyMap<string, PeerView>): PeerView | undefined {
		const owner = options.listOwners(customer).find(daemon => receivers.has(daemon));
		return owner === undefined ? receivers.values().next().value : receivers.get(owner);
	}

	function restore({daemon}: PeerView, {toIncarnation, amounts}: Repayment): void {
		for (const {customer, tokens} of amounts) {
			totals.add(formatIncarnationKey(daemon, toIncarnation), customer, -tokens);
			account.addBorrowed(customer, tokens);
		}
	}

	function reportUnanswered({daemon}: PeerView, {amounts}: Repayment, detail: string): void {
		unansweredAt.set(daemon, clock.now());
		for (const {customer} of amounts) {
			events.write('loanUnanswered', {peer: daemon, customer, detail});
		}
	}

	/** Returns true if the receiver has answered. */
	async function tryDeliver(receiver: PeerView, repayment: Repayment, isFirst: boolean): Promise<boolean> {
		try {
			const isAccepted = await options.sendRepayment(receiver.address, repayment);
			// A refusal after an unanswered attempt does not show that the earlier attempt was not accepted.
			if (!isAccepted && isFirst) {
				restore(receiver, repayment);
			}

			return true;
		} catch (error) {
			reportUnanswered(receiver, repayment, (error as Error).message);
			return false;
		}
	}

	async function deliver(receiver: PeerView, repayment: Repayment, {isRepeated}: {readonly isRepeated: boolean}): Promise<void> {
		busyReceivers.add(receiver.daemon);
		unanswered.set(receiver.daemon, repayment);
		try {
			for (let attempt = 1; attempt <= (isRepeated ? 1 : maxAttempts); attempt += 1) {
				if (await tryDeliver(receiver, repayment, !isRepeated && attempt === 1)) {
					unanswered.delete(receiver.daemon);
					break;
				}
			}
		} finally {
			busyReceivers.delete(receiver.daemon);
		}
	}

	// Tokens for an incarnation that has ended are lost: it may have accepted and spent them.
	async function retryUnanswered(): Promise<void> {
		const views = new Map(options.listViews().map(view => [view.daemon, view]));
		await Promise.all([...unanswered].map(async ([daemon, repayment]) => {
			const view = views.get(daemon);
			if (view !== undefined && view.incarnation !== repayment.toIncarnation) {
				unanswered.delete(daemon);
			} else if (view !== undefined && !busyReceivers.has(daemon)) {
				await deliver(view, repayment, {isRepeated: true});
			}
		}));
	}

	async function repay(receiver: PeerView, amounts: readonly FreeTokens[]): Promise<void> {
		const deducted = amounts.map(({customer, tokens}) => ({customer, tokens: account.lend(customer, tokens)})).filter(({tokens}) => tokens > 0);
		if (deducted.length === 0) {
			return;
		}

		for (const {customer, tokens} of deducted) {
			events.write('loanGiven', {
				customer, to: receiver.daemon, amount: tokens, isReturned: true,
			});
		}

		sequence += 1;
		const key = formatIncarnationKey(receiver.daemon, receiver.incarnation);
		await deliver(receiver, {
			from: self.daemon, fromIncarnation: self.incarnation, sequence, toIncarnation: receiver.incarnation, amounts: deducted,
			totals: deducted.map(({customer, tokens}) => ({customer, tokens: totals.add(key, customer, tokens)})),
		}, {isRepeated: false});
	}

	async function repayTokens({computeAmount, findReceiver}: ReturnOptions): Promise<void> {
		const receivers = listReceivers();
		const byReceiver = new Map<PeerView, FreeTokens[]>();
		for (const customer of account.listCustomers()) {
			const tokens = computeAmount(customer);
			const receiver = tokens > 0 ? findReceiver(customer, receivers) : undefined;
			if (receiver) {
				byReceiver.set(receiver, [...byReceiver.get(receiver) ?? [], {customer, tokens}]);
			}
		}

		await Promise.all([...byReceiver].map(async ([receiver, amounts]) => repay(receiver, amounts)));
	}

	// Nobody waits for a round, so that an exception of it would end the process.
	async function tryRound(round: () => Promise<void>): Promise<void> {
		try {
			await round();
		} catch (error) {
			events.write('loanUnanswered', {detail: (error as Error).message});
		}
	}

	return {
		/** Accepts tokens that another gateway returns. Returns false if they are addressed to another incarnation. */
		receive: receiver.receive,

		/** Repeats the repayments that were not answered. */
		retryUnanswered,

		/** Gives all idle borrowed tokens to other gateways, or all free tokens, when this one stops. */
		repayAll: async ({shouldIncludeGrants}: {readonly shouldIncludeGrants: boolean}): Promise<void> => repayTokens({
			computeAmount: shouldIncludeGrants ? account.countFreeTokens : account.countIdleLoans, findReceiver: findSuccessor,
		}),

		async run(signal: AbortSignal): Promise<void> {
			await clock.sleep(firstRoundDelayMs, signal);
			while (!signal.aborted) {
				await clock.sleep(roundIntervalMs, signal);
				void tryRound(retryUnanswered);
				void tryRound(async () => repayTokens({computeAmount: options.computeReturned, findReceiver: findOwner}));
			}
		},
	};
}
