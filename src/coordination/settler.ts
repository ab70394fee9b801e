/**
 * Finds out what requests cost whose answers were lost on the way.
 *
 * A reservation stays until the upstream daemon has told, or has promised that
 * the request will never run there, or its incarnation has ended on the log.
 *
 * @module
 */
import type {GrantShare} from '../protocol/mod.js';
import {allocateShares, type Reservation} from '../state/mod.js';
import type {Clock, FleetClient} from '../transport/mod.js';
import type {GrantKeeper} from './grant-keeper.js';
import type {LogFollower} from './log-follower.js';
import type {Membership} from './membership.js';

/** An attempt whose outcome is not known. */
export type OpenAttempt = {
	readonly requestId: string;
	readonly attempt: number;
	readonly reservation: Reservation;
	/** The upstream daemon it was sent to. */
	readonly daemon: string;
	readonly incarnation: string;
};

/** Options of {@linkcode createSettler}. */
export type CreateSettlerOptions = {
	readonly follower: LogFollower;
	readonly membership: Membership;
	readonly fleet: FleetClient;
	readonly keeper: GrantKeeper;
	readonly clock: Clock;
};

/** Settles attempts whose answers were lost. */
export type Settler = ReturnType<typeof createSettler>;

const askTimeout = 1500;
const roundPause = 300;

/**
 * Creates the settler; `run` is its task.
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
		follower, membership, fleet, keeper, clock,
	} = options;
	const open = new Set<OpenAttempt>();

	// The bill of an attempt by an ended incarnation: its logged receipt, laid on the shares in their order.
	function billFromLog(attempt: OpenAttempt): GrantShare[] {
		const cost = follower.state().ledger.findAttemptCost(attempt.requestId, attempt.attempt);
		return allocateShares(attempt.reservation.shares, cost);
	}

	async function askUpstream(attempt: OpenAttempt, address: string): Promise<readonly GrantShare[] | undefined> {
		try {
			const reply = await fleet.connect(address).upstream.fence({requestId: attempt.requestId, attempt: attempt.attempt, from: membership.self.id}, {timeoutMs: askTimeout});
			return reply.state === 'running' ? undefined : reply.billed;
		} catch {
			return undefined;
		}
	}

	async function settleOne(attempt: OpenAttempt): Promise<void> {
		const {placement} = follower.state();
		const member = placement.get(attempt.daemon);
		if (!placement.isCurrent(attempt.daemon, attempt.incarnation)) {
			open.delete(attempt);
			keeper.settle(attempt.reservation, billFromLog(attempt));
			return;
		}

		const billed = member && await askUpstream(attempt, member.address);
		if (billed) {
			open.delete(attempt);
			keeper.settle(attempt.reservation, billed);
		}
	}

	return {
		add(attempt: OpenAttempt): void {
			open.add(attempt);
		},

		count: () => open.size,

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await Promise.all([...open].map(async attempt => settleOne(attempt)));
				await clock.sleep(roundPause, signal);
			}
		},
	};
}
