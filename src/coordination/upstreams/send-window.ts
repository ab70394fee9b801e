/**
 * Limits the requests that a gateway sends to an upstream in any window to its
 * share of what all gateways together may send.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import type {SharePolicy} from './share-policy.js';

/** Options of {@linkcode createSendWindow}. */
export type CreateSendWindowOptions = {
	readonly clock: Clock;
	/** When this process started, in milliseconds of the clock; its predecessor had ended by then. */
	readonly processStartedAt: number;
	/** Name of this gateway. */
	readonly daemon: string;
	readonly policy: SharePolicy;
	/** Returns the names of all known gateways, including this one; undefined before the log of grants has been read. */
	readonly listGateways: () => readonly string[] | undefined;
	/** Length of the window in milliseconds, including the time by which a request may leave the process after it was recorded. */
	readonly windowMs: number;
};

/** What an upstream may get from all gateways together. */
export type SendLimit = {
	/** Requests in any window. */
	readonly limit: number;
	/** Time since the limit was last confirmed, in milliseconds; default 0. */
	readonly unconfirmedMs?: number;
};

/** Limits the requests that a gateway sends to upstreams. */
export type SendWindow = ReturnType<typeof createSendWindow>;

type CachedShare = {readonly share: number; readonly limit: number; readonly computedAt: number};

/** Time for which a share is used before the gateways are ranked again. */
const shareLifetimeMs = 250;
/** Number of upstreams above which sends and shares are searched for outdated ones. */
const maxTrackedUpstreams = 64;

/**
 * Creates the windows of one gateway.
 *
 * A process sends nothing to a limited upstream in its first window, because
 * requests of its predecessor may lie within the same one.
 *
 * @example
 * ```ts
 * const sends = createSendWindow({clock, processStartedAt: 0, daemon: 'entry-1', policy: new OwnedShare(), listGateways, windowMs: 1100});
 * if (sends.computeWaitMs('engine-7', {limit: 12}) === 0) {
 * 	sends.recordSend('engine-7');
 * }
 * ```
 *
 * @param options The fleet and the window
 * @returns The windows
 */
export function createSendWindow(options: CreateSendWindowOptions) {
	const {
		clock, daemon, policy, processStartedAt, windowMs,
	} = options;
	const sendsByUpstream = new Map<string, number[]>();
	const shares = new Map<string, CachedShare>();

	function findShare(upstream: string, {limit, unconfirmedMs = 0}: SendLimit): number {
		const now = clock.now();
		const cached = shares.get(upstream);
		if (cached?.limit === limit && now - cached.computedAt < shareLifetimeMs) {
			return cached.share;
		}

		evictOutdatedShares();
		const gateways = options.listGateways();
		const share = gateways
			? policy.computeShare({
				upstream, limit, gateways, daemon, unconfirmedMs,
			})
			: 0;
		shares.set(upstream, {share, limit, computedAt: now});
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

	return {
		/**
		 * Returns the milliseconds until this gateway may send a request to an upstream
		 * with this limit; infinite if the upstream is left to other gateways.
		 */
		computeWaitMs(upstream: string, limit: SendLimit): number {
			const share = findShare(upstream, limit);
			if (share === Number.POSITIVE_INFINITY) {
				return 0;
			}

			return share === 0 ? Number.POSITIVE_INFINITY : Math.max(0, processStartedAt + windowMs - clock.now(), computeWindowWaitMs(upstream, share));
		},

		/** Records that a request is being sent. */
		recordSend(upstream: string): void {
			sendsByUpstream.set(upstream, [...listRecentSends(upstream), clock.now()]);
			evictOutdatedSends();
		},
	};
}
