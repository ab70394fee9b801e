/**
 * Determines the cost of requests whose answers were lost.
 *
 * A reservation is kept until the upstream daemon has reported the cost or has
 * promised that the request will never run there, or until the end of its
 * incarnation is recorded in the log.
 *
 * @module
 */
import type {GrantShare} from '../../protocol/mod.js';
import {allocateShares, type Reservation} from '../../state/mod.js';
import type {Clock, FleetClient} from '../../transport/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import type {Membership} from '../peers/membership.js';
import type {GrantManager} from './grant-manager.js';

/** An attempt whose outcome is unknown. */
export type OpenAttempt = {
	readonly requestId: string;
	readonly attempt: number;
	readonly reservation: Reservation;
	/** The upstream daemon to which it was sent. */
	readonly daemon: string;
	readonly incarnation: string;
};

/** Options of {@linkcode createSettler}. */
export type CreateSettlerOptions = {
	readonly follower: LogFollower;
	readonly membership: Membership;
	readonly fleet: FleetClient;
	readonly grantManager: GrantManager;
	readonly clock: Clock;
};

/** Settles attempts whose answers were lost. */
export type Settler = ReturnType<typeof createSettler>;

const fenceTimeoutMs = 1500;
const roundIntervalMs = 300;

/**
 * Creates a settler; `run` operates it until the signal is aborted.
 *
 * @example
 * ```ts
 * settler.add({requestId, attempt, reservation, daemon: 'up-1', incarnation: 'i-1'});
 * ```
 *
 * @param options Log, peers and grants
 * @returns The settler
 */
export function createSettler(options: CreateSettlerOptions) {
	const {
		follower, membership, fleet, grantManager, clock,
	} = options;
	const openAttempts = new Set<OpenAttempt>();

	// Bills an attempt by an ended incarnation: allocates the cost of its logged receipt to the shares in order.
	function computeBillFromLog(attempt: OpenAttempt): GrantShare[] {
		const cost = follower.state().ledger.findAttemptCost(attempt.requestId, attempt.attempt);
		return allocateShares(attempt.reservation.shares, cost);
	}

	async function fenceAttempt(attempt: OpenAttempt, address: string): Promise<readonly GrantShare[] | undefined> {
		try {
			const reply = await fleet.connect(address).upstream.fence({requestId: attempt.requestId, attempt: attempt.attempt, from: membership.self.id}, {timeoutMs: fenceTimeoutMs});
			return reply.state === 'running' ? undefined : reply.billed;
		} catch {
			return undefined;
		}
	}

	async function settleAttempt(attempt: OpenAttempt): Promise<void> {
		const {placement} = follower.state();
		const member = placement.get(attempt.daemon);
		if (!placement.isCurrent(attempt.daemon, attempt.incarnation)) {
			openAttempts.delete(attempt);
			grantManager.settle(attempt.reservation, computeBillFromLog(attempt));
			return;
		}

		const billed = member && await fenceAttempt(attempt, member.address);
		if (billed) {
			openAttempts.delete(attempt);
			grantManager.settle(attempt.reservation, billed);
		}
	}

	return {
		add(attempt: OpenAttempt): void {
			openAttempts.add(attempt);
		},

		countOpen: () => openAttempts.size,

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await Promise.all([...openAttempts].map(async attempt => settleAttempt(attempt)));
				await clock.sleep(roundIntervalMs, signal);
			}
		},
	};
}
