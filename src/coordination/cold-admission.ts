/**
 * Limits the requests that a gateway sends to cold upstreams.
 *
 * Answers the load of an upstream that returns with an empty batch and a whole
 * shared prompt waiting for it: without a limit, rendezvous hashing sends the
 * requests of every gateway for that prompt to it at once.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';
import type {ColdSharePolicy} from './cold-share-policy.js';

/** Options of {@linkcode createColdAdmission}. */
export type CreateColdAdmissionOptions = {
	readonly clock: Clock;
	/** When this process started, in milliseconds of the clock; its predecessor had ended by then. */
	readonly processStartedAt: number;
	/** Name of this gateway. */
	readonly daemon: string;
	readonly policy: ColdSharePolicy;
	/** Returns the names of all known gateways, including this one; undefined before the log of grants has been read. */
	readonly listGateways: () => readonly string[] | undefined;
	/** Factor by which the requests in a second may exceed the rate that a cold upstream tolerates. */
	readonly overage: number;
	/** Number of requests in a second that may exceed that product. */
	readonly slack: number;
};

/** Limits the requests that a gateway sends to cold upstreams. */
export type ColdAdmission = ReturnType<typeof createColdAdmission>;

type CachedShare = {readonly share: number; readonly coldRate: number; readonly computedAt: number};

/** One second, and the time by which a request may leave the process after it was recorded. */
const windowMs = 1100;
/** Time for which a share is used before the gateways are ranked again. */
const shareLifetimeMs = 250;
/** Number of upstreams above which sends and shares are searched for outdated ones. */
const maxTrackedUpstreams = 64;

/**
 * Creates the limit of one gateway.
 *
 * A process sends nothing in its first second, because requests of its
 * predecessor may lie within the same second.
 *
 * @example
 * ```ts
 * const admission = createColdAdmission({clock, processStartedAt: 0, daemon: 'entry-1', policy: new OwnedColdShare(), listGateways, overage: 1.5, slack: 5});
 * if (admission.computeWaitMs('engine-7', 5) === 0) {
 * 	admission.recordSend('engine-7');
 * }
 * ```
 *
 * @param options The fleet and the limit
 * @returns The limit
 */
export function createColdAdmission(options: CreateColdAdmissionOptions) {
	const {clock, daemon, policy, processStartedAt} = options;
	const sendsByUpstream = new Map<string, number[]>();
	const shares = new Map<string, CachedShare>();

	function computeShare(upstream: string, coldRate: number): number {
		const gateways = options.listGateways();
		if (!gateways) {
			return 0;
		}

		const limit = Math.floor((coldRate * options.overage) + options.slack);
		return policy.computeShare({
			upstream, limit, gateways, daemon,
		});
	}

	function findShare(upstream: string, coldRate: number): number {
		const now = clock.now();
		const cached = shares.get(upstream);
		if (cached?.coldRate === coldRate && now - cached.computedAt < shareLifetimeMs) {
			return cached.share;
		}

		evictOutdatedShares();
		const share = computeShare(upstream, coldRate);
		shares.set(upstream, {share, coldRate, computedAt: now});
		return share;
	}

	function listRecentSends(upstream: string): readonly number[] {
		const since = clock.now() - windowMs;
		return (sendsByUpstream.get(upstream) ?? []).filter(sentAt => sentAt > since);
	}

	function evictOutdatedSends(): void {
		if (sendsByUpstream.size <= maxTrackedUpstreams) {
			return;
		}

		for (const upstream of sendsByUpstream.keys()) {
			if (listRecentSends(upstream).length === 0) {
				sendsByUpstream.delete(upstream);
			}
		}
	}

	function evictOutdatedShares(): void {
		if (shares.size <= maxTrackedUpstreams) {
			return;
		}

		for (const [upstream, {computedAt}] of shares) {
			if (clock.now() - computedAt >= shareLifetimeMs) {
				shares.delete(upstream);
			}
		}
	}

	// Time until the request sent `share` requests ago leaves the window.
	function computeWindowWaitMs(upstream: string, share: number): number {
		const recent = listRecentSends(upstream);
		return recent.length < share ? 0 : recent[recent.length - share]! + windowMs - clock.now();
	}

	function computeWaitMs(upstream: string, coldRate: number): number {
		const share = findShare(upstream, coldRate);
		if (share === Number.POSITIVE_INFINITY) {
			return 0;
		}

		return share === 0 ? Number.POSITIVE_INFINITY : Math.max(0, processStartedAt + windowMs - clock.now(), computeWindowWaitMs(upstream, share));
	}

	return {
		/**
		 * Returns the milliseconds until this gateway may send a request to a cold
		 * upstream that tolerates `coldRate` requests per second; infinite if it is left
		 * to other gateways.
		 */
		computeWaitMs,
		/** Records that a request is being sent. */
		recordSend(upstream: string): void {
			sendsByUpstream.set(upstream, [...listRecentSends(upstream), clock.now()]);
			evictOutdatedSends();
		},
	};
}
