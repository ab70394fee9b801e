/**
 * Circuit breaker for other gateways to which connections are handed over.
 *
 * What a gateway advertises stays valid for seconds after it froze or was cut
 * off. A gateway that did not accept a connection gets none for a while, and
 * then a single one that shows whether it accepts connections again.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createPeerBreaker}. */
export type CreatePeerBreakerOptions = {
	readonly clock: Pick<Clock, 'now'>;
	/** Returns when a gateway was last heard from; undefined if it has not been recently. */
	readonly findHeardAt?: (address: string) => number | undefined;
	/**
	 * Called when connections to a gateway were not accepted in time several times
	 * in a row, with nothing accepted between and nothing heard since the last but one.
	 */
	readonly onUnresponsive?: (address: string) => void;
};

/** A connection that a gateway did not accept. */
export type PeerFailure = {
	readonly address: string;
	/** Whether it gave no sign within the timeout; it runs if it refused the connection. */
	readonly isTimeout: boolean;
};

/** Keeps connections from gateways that do not accept them. */
export type PeerBreaker = ReturnType<typeof createPeerBreaker>;

type PeerState = {failures: number; timeouts: number; lastTimeoutAt: number; isReported: boolean; probesAt: number; isProbing: boolean};

/** Time without connections after the first failure; doubled with each further one. */
const minOpenMs = 500;
/** Limit of that time: a gateway that runs again gets connections soon. */
const maxOpenMs = 4000;
/** Consecutive timeouts after which a gateway counts as unresponsive: the first and that of a probe half a second later. */
const unresponsiveTimeouts = 2;

/**
 * Creates a breaker that lets connections to all gateways pass.
 *
 * @example
 * ```ts
 * const breaker = createPeerBreaker({clock});
 * breaker.recordFailure({address: '10.0.0.2:7341', isTimeout: true});
 * breaker.canSelect('10.0.0.2:7341'); // false for half a second
 * ```
 *
 * @param options The clock and the callback
 * @returns The breaker
 */
export function createPeerBreaker({clock, findHeardAt, onUnresponsive}: CreatePeerBreakerOptions) {
	/** Gateways that have not accepted a connection since their last failure. */
	const states = new Map<string, PeerState>();

	return {
		/** Returns true if the next connection may go to a gateway. */
		canSelect(address: string): boolean {
			const state = states.get(address);
			return state === undefined || clock.now() >= state.probesAt;
		},

		/** Returns true if a gateway has not accepted a connection since one failed. */
		hasFailed: (address: string): boolean => states.has(address),

		/** Records that a connection goes to a gateway. */
		recordSelected(address: string): void {
			const state = states.get(address);
			if (state) {
				state.isProbing = true;
				// The caller of the probe may leave before the gateway accepts or refuses it.
				state.probesAt = clock.now() + minOpenMs;
			}
		},

		recordAccepted(address: string): void {
			states.delete(address);
		},

		/** Records a failure. Those of connections that were opened beside each other count once. */
		recordFailure({address, isTimeout}: PeerFailure): void {
			const state = states.get(address) ?? {
				failures: 0, timeouts: 0, lastTimeoutAt: Number.NEGATIVE_INFINITY, isReported: false, probesAt: Number.NEGATIVE_INFINITY, isProbing: true,
			};
			states.set(address, state);
			if (!state.isProbing) {
				return;
			}

			state.isProbing = false;
			state.failures += 1;
			state.timeouts = isTimeout ? state.timeouts + 1 : 0;
			const now = clock.now();
			state.probesAt = now + Math.min(maxOpenMs, minOpenMs * (2 ** (state.failures - 1)));
			if (!isTimeout) {
				state.isReported = false;
				return;
			}

			// A gateway that sends gossip runs, and so may the requests on its connections, however late it accepts new ones.
			const isSilent = (findHeardAt?.(address) ?? Number.NEGATIVE_INFINITY) <= state.lastTimeoutAt;
			state.lastTimeoutAt = now;
			if (state.timeouts >= unresponsiveTimeouts && isSilent && !state.isReported) {
				state.isReported = true;
				onUnresponsive?.(address);
			}
		},
	};
}
