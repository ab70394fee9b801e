/**
 * Assembles how a gateway obtains, lends, returns and releases tokens.
 *
 * @module
 */
import {
	ReturnedLoanPolicy, UnseenDemandTargetPolicy, createBudgetManager, createGrantRecovery, createGrantReportClient, createLoanReturns, createRepaymentClient, createTokenLending,
	type BudgetOwners, type Gossip, type HolderIdentity,
} from '../coordination/mod.js';
import type {EventLog, KeyedLog} from '../protocol/mod.js';
import type {PeerViews} from '../state/mod.js';
import {waitWithTimeout, type Clock, type FleetClient} from '../transport/mod.js';
import type {GatewayState} from './gateway-state.js';

/** Options of {@linkcode createGatewayTokens}. */
export type CreateGatewayTokensOptions = {
	readonly self: HolderIdentity;
	readonly state: GatewayState;
	readonly log: KeyedLog;
	readonly fleet: FleetClient;
	readonly owners: BudgetOwners;
	readonly gossip: Pick<Gossip, 'listUnresponsive' | 'listUnheard' | 'isPresumedFailed'>;
	/** Lists other gateways that are presumed to be up, by name. */
	readonly listPeers: () => readonly string[];
	/** True if the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	readonly peerViews: PeerViews;
	/** Timeout of a call to another gateway, in milliseconds. */
	readonly peerTimeoutMs: number;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
	/** Returns true once the tokens are in doubt after an unexpected error, so that none may be lent. */
	readonly hasFailed: () => boolean;
};

/** The tokens of a gateway. */
export type GatewayTokens = ReturnType<typeof createGatewayTokens>;

/** Timeout of a call for a loan. Requests wait for less, but replies over a saturated link took up to 1.5 s, and each delivers tokens. */
const loanCallTimeoutMs = 5000;
/** Time within which the store must answer for a stopping gateway to release its grants in the log. */
const storeCheckTimeoutMs = 200;

/**
 * Creates the parts; `run` operates them until the signal is aborted.
 *
 * @example
 * ```ts
 * const tokens = createGatewayTokens(options);
 * tokens.run();
 * await tokens.release(350); // before the gateway stops
 * ```
 *
 * @param options The log of grants and the other gateways
 * @returns The parts
 */
export function createGatewayTokens(options: CreateGatewayTokensOptions) {
	const {
		self, state, fleet, owners, gossip, peerViews, peerTimeoutMs, clock, events, signal,
	} = options;
	const {account, grantFollower, grantRegistry, findRouteTable} = state;
	const lending = createTokenLending({
		daemon: self.daemon, incarnation: self.incarnation, account, events, clock,
		listOwners: owners.listOwners,
		isOwner: owners.isOwner,
		canLend: () => !options.hasFailed(),
		canClaim: () => !options.hasFailed() && grantFollower.isUp() && recovery.checkComplete(),
		claim: async (customer, amount) => budgetManager.claimForPeer(customer, amount),
		onLent(customer, amount) {
			budgetManager.recordLent(customer, amount);
		},
		listViews: peerViews.list,
		listUnresponsive: gossip.listUnresponsive,
		listUnheard: gossip.listUnheard,
		countWanted: customer => budgetManager.countWanted(customer),
		async requestLoan(address, request) {
			const {tokens, isClaiming, incarnation, total} = await fleet.connect(address).gateway.lend(request, {timeoutMs: loanCallTimeoutMs});
			return {
				tokens, isClaiming, incarnation, total,
			};
		},
		onCredited(customer) {
			budgetManager.serveWaiting(customer);
		},
	});
	const budgetManager = createBudgetManager({
		self, log: options.log, follower: grantFollower, grants: grantRegistry, account, owners, clock, events, signal, findRouteTable,
		isLogComplete: () => recovery.checkComplete(),
		borrow: lending.borrow, loans: lending, loanPolicy: new ReturnedLoanPolicy(), grantTargetPolicy: new UnseenDemandTargetPolicy(),
	});
	const recovery = createGrantRecovery({
		self, log: options.log, follower: grantFollower, grants: grantRegistry, account, findRouteTable, clock, events,
		isFirstStart: options.isFirstStart,
		listPeers: options.listPeers,
		isPresumedFailed: gossip.isPresumedFailed,
		buildOwnRecord: budgetManager.buildOwnRecord,
		queryPeer: createGrantReportClient({fleet, timeoutMs: peerTimeoutMs}),
	});
	const loanReturns = createLoanReturns({
		self, account, clock, events,
		listViews: peerViews.list,
		listOwners: owners.listOwners,
		computeReturned: budgetManager.computeReturned,
		onReceived: budgetManager.recordReturned,
		sendRepayment: createRepaymentClient({fleet, timeoutMs: peerTimeoutMs}),
	});

	return {
		budgetManager, lending, loanReturns, recovery,

		run(): void {
			void recovery.run(signal);
			void budgetManager.run();
			void loanReturns.run(signal);
			void lending.run(signal);
		},

		/**
		 * Releases all unused tokens, when the gateway stops. Grants are released in
		 * the log. Loans, and everything if the store is unavailable, can only go to
		 * another gateway. They are deducted before the first wait, so the released
		 * grants do not include them.
		 */
		async release(timeoutMs: number): Promise<void> {
			const isStoreUp = await waitWithTimeout(grantFollower.catchUp(signal), {clock, timeoutMs: storeCheckTimeoutMs}) ?? false;
			const repaid = loanReturns.repayAll({shouldIncludeGrants: !isStoreUp || !recovery.checkComplete()});
			await waitWithTimeout(Promise.all([repaid, budgetManager.releaseUnused()]), {clock, timeoutMs});
		},
	};
}
