/**
 * Service that entry and upstream daemons offer to their peers.
 *
 * @module
 */
import {Code, ConnectError, type ServiceImpl} from '@connectrpc/connect';
import type {LoanManager, LogFollower, Self} from '../coordination/mod.js';
import type {Peer} from '../protocol/mod.js';

/** Returns the load that is reported to peers. */
export type GetLoad = () => {
	running: number;
	queued: number;
	capacity: number;
	ageMs: number;
	upstreamAlive: boolean;
};

/** Options of {@linkcode createPeerInterface}. */
export type CreatePeerInterfaceOptions = {
	readonly self: Self;
	readonly follower: LogFollower;
	/** Set on entry daemons. */
	readonly loans?: LoanManager;
	/** Set on upstream daemons. */
	readonly getLoad?: GetLoad;
};

/**
 * Creates the service for peers.
 *
 * @example
 * ```ts
 * router.service(Peer, createPeerInterface({self, follower}));
 * ```
 *
 * @param options This daemon, its log and its loans
 * @returns The service
 */
export function createPeerInterface(options: CreatePeerInterfaceOptions): ServiceImpl<typeof Peer> {
	const {self, follower, loans} = options;

	function requireLoans(): LoanManager {
		if (!loans) {
			throw new ConnectError(`Daemon "${self.id}" holds no grants`, Code.Unimplemented);
		}

		return loans;
	}

	return {
		heartbeat() {
			const state = follower.state();
			return {
				id: self.id,
				incarnation: self.incarnation,
				role: self.role,
				leaving: self.isLeaving,
				nextOffset: state.getNextOffset(),
				version: state.configuration.version(),
				load: options.getLoad?.(),
			};
		},

		records(request) {
			const relayed = follower.listRecent(request.from);
			return {
				first: relayed.entries[0]?.offset ?? 0,
				next: follower.state().getNextOffset(),
				records: relayed.entries.map(entry => JSON.stringify(entry)),
				snapshot: relayed.snapshot ? JSON.stringify(relayed.snapshot) : '',
			};
		},

		borrow(request) {
			const answer = requireLoans().lend(request);
			return {shares: [...answer.shares], reserved: answer.reserved};
		},

		repay(request) {
			requireLoans().acceptRepayment(request.loan, request.unspent);
			return {};
		},
	};
}
