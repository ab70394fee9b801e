/**
 * The limits that upstreams in need name in their answers: the requests per
 * second that they take from all gateways together.
 *
 * A gateway learns them from its own answers and from other gateways, whose
 * announcements arrive late and in any order. Gateways share no clock, so an
 * announcement has its age, and the time by which it was delayed is unknown.
 *
 * @module
 */

/** A limit in force. */
export type UpstreamLimit = {
	readonly requestsPerSecond: number;
	/** When it was last named, in milliseconds of the monotonic clock. */
	readonly confirmedAt: number;
};

/** What a gateway has seen in an answer of an upstream. */
export type LimitAnnouncement = {
	readonly upstream: string;
	/** Undefined if the upstream named no limit any more. */
	readonly requestsPerSecond: number | undefined;
	/** Age when it is sent, in milliseconds. */
	readonly ageMs: number;
};

/** The limits of upstreams. */
export type UpstreamLimits = ReturnType<typeof createUpstreamLimits>;

/** Whether an upstream names a limit, as of a time. */
type LimitState = {readonly requestsPerSecond: number | undefined; readonly at: number};

/** Upper limit of the time by which an announcement is delayed on its way through other gateways. */
const maxAnnouncementDelayMs = 2000;
/** Time for which this gateway announces what it has seen. */
const announcementLifetimeMs = 10_000;
/** Maximum number of announcements in one gossip entry, the latest first. */
const maxAnnouncements = 16;

/**
 * Creates the limits; none is known.
 *
 * @example
 * ```ts
 * const limits = createUpstreamLimits();
 * limits.recordNamed('i-7', {requestsPerSecond: 1.5, now: 1000});
 * limits.findInForce('i-7')?.requestsPerSecond; // 1.5
 * ```
 *
 * @returns The limits
 */
export function createUpstreamLimits() {
	const states = new Map<string, LimitState>();
	/** What this gateway has seen itself; only this is announced, so that no announcement circulates. */
	const seen = new Map<string, LimitState>();

	function isInForce(state: LimitState | undefined): state is LimitState & {readonly requestsPerSecond: number} {
		return state?.requestsPerSecond !== undefined;
	}

	function mergeNamed(upstream: string, announced: LimitState): boolean {
		const known = states.get(upstream);
		if (known && !isInForce(known) && announced.at <= known.at + maxAnnouncementDelayMs) {
			return false;
		}

		if (known && isInForce(known) && announced.at <= known.at) {
			return false;
		}

		states.set(upstream, announced);
		return known?.requestsPerSecond !== announced.requestsPerSecond;
	}

	function mergeEnded(upstream: string, announced: LimitState): boolean {
		const known = states.get(upstream);
		if (!isInForce(known) || announced.at <= known.at + maxAnnouncementDelayMs) {
			return false;
		}

		states.set(upstream, announced);
		seen.delete(upstream);
		return true;
	}

	return {
		/** Returns the limit of an upstream that is in force. */
		findInForce(upstream: string): UpstreamLimit | undefined {
			const state = states.get(upstream);
			return isInForce(state) ? {requestsPerSecond: state.requestsPerSecond, confirmedAt: state.at} : undefined;
		},

		/** Returns the number of limits in force. */
		count: (): number => [...states.values()].filter(state => isInForce(state)).length,

		/** Records that an answer named a limit; returns true if that is new. */
		recordNamed(upstream: string, {requestsPerSecond, now}: {readonly requestsPerSecond: number; readonly now: number}): boolean {
			const isNew = states.get(upstream)?.requestsPerSecond !== requestsPerSecond;
			states.set(upstream, {requestsPerSecond, at: now});
			seen.set(upstream, {requestsPerSecond, at: now});
			return isNew;
		},

		/**
		 * Records that an answer named no limit; returns true if one ends. The answer to
		 * a request that was sent before the limit was last named says nothing.
		 */
		recordUnnamed(upstream: string, sentAt: number): boolean {
			const known = states.get(upstream);
			if (!known || sentAt <= known.at) {
				return false;
			}

			const ended = {requestsPerSecond: undefined, at: sentAt};
			states.set(upstream, ended);
			seen.set(upstream, ended);
			return isInForce(known);
		},

		/** Records what another gateway has seen; returns true if a limit changes or ends. */
		merge({upstream, requestsPerSecond, ageMs}: LimitAnnouncement, now: number): boolean {
			const announced = {requestsPerSecond, at: now - ageMs};
			return requestsPerSecond === undefined ? mergeEnded(upstream, announced) : mergeNamed(upstream, announced);
		},

		/** Lists what this gateway has seen recently. */
		listAnnouncements: (now: number): LimitAnnouncement[] => [...seen]
			.filter(([, {at}]) => now - at < announcementLifetimeMs)
			.sort(([, left], [, right]) => right.at - left.at)
			.slice(0, maxAnnouncements)
			.map(([upstream, {requestsPerSecond, at}]) => ({upstream, requestsPerSecond, ageMs: now - at})),

		/** Forgets upstreams that are no longer registered. */
		prune(isRegistered: (upstream: string) => boolean): void {
			for (const upstream of states.keys()) {
				if (!isRegistered(upstream)) {
					states.delete(upstream);
					seen.delete(upstream);
				}
			}
		},
	};
}
