/**
 * Closes the connections that wait to be accepted when they wait for too long.
 *
 * Connections are accepted in the order in which they were opened. If they come
 * faster than they are handled, all wait until their callers have left or are
 * about to, and a server that handles them one by one serves callers too late.
 * Closing a connection unread takes a small fraction of the time, so the next
 * callers are accepted while they still wait.
 *
 * @module
 */
import type {Clock} from './clock.js';

/** Options of {@linkcode createBacklogDrain}. */
export type CreateBacklogDrainOptions = {
	readonly clock: Pick<Clock, 'now'>;
	/** Returns true if connections that have waited for too long are closed; default false. */
	readonly shouldDrain?: () => boolean;
	/** Calls back in a later iteration of the event loop; default `setImmediate`. */
	readonly runLater?: (callback: () => void) => void;
};

/** Closes waiting connections. */
export type BacklogDrain = ReturnType<typeof createBacklogDrain>;

/** Longest drain: callers connect again at once, and a server that closes all connections for longer serves nobody. */
const maxDrainMs = 250;
/** Time without an empty backlog after which a drain begins: half of the second that callers wait for a new connection. */
const maxBacklogMs = 500;
/** Accepted connections in a row whose callers had left, after which those behind them are closed. Callers leave for reasons of their own as well, but seldom so many. */
const minAbandonedInRow = 3;

/**
 * Creates a drain that is not active.
 *
 * @example
 * ```ts
 * const drain = createBacklogDrain({clock});
 * drain.begin();
 * drain.shouldClose(); // true
 * ```
 *
 * @param options The clock, the policy and the event loop
 * @returns The drain
 */
export function createBacklogDrain({clock, shouldDrain = () => false, runLater = setImmediate}: CreateBacklogDrainOptions) {
	/** Time since which each iteration of the event loop has brought a connection; undefined while none waits. */
	let waitingSince: number | undefined;
	let endsAt: number | undefined;
	let hasAccepted = false;
	let abandonedInRow = 0;

	// An iteration of the event loop without a connection shows that none waits. One iteration may be incomplete when the check begins.
	function check(): void {
		hasAccepted = false;
		runLater(() => {
			runLater(() => {
				if (hasAccepted) {
					check();
				} else {
					waitingSince = undefined;
					endsAt = undefined;
				}
			});
		});
	}

	function startCheck(): void {
		if (waitingSince === undefined) {
			waitingSince = clock.now();
			check();
		}
	}

	function begin(): void {
		endsAt ??= clock.now() + maxDrainMs;
		startCheck();
	}

	function endIfOver(): void {
		if (endsAt !== undefined && clock.now() >= endsAt) {
			endsAt = undefined;
			waitingSince = clock.now();
		}
	}

	return {
		/** Begins to close connections; to be called when the caller of a relayed connection had left. */
		begin,

		/**
		 * Records whether the caller of a connection had left when it was accepted. Several
		 * in a row show that connections wait for longer than callers do, also while the
		 * event loop does not lag: each of its iterations accepts one connection, and
		 * handling that may take as long as the next ones need to arrive.
		 */
		recordAccepted({hasCallerLeft}: {readonly hasCallerLeft: boolean}): void {
			abandonedInRow = hasCallerLeft ? abandonedInRow + 1 : 0;
			if (hasCallerLeft && (abandonedInRow >= minAbandonedInRow || shouldDrain())) {
				begin();
			}
		},

		/** Returns true if the next connection is to be closed unread; to be called for each one. */
		shouldClose(): boolean {
			hasAccepted = true;
			startCheck();
			endIfOver();
			if (clock.now() - waitingSince! >= maxBacklogMs && shouldDrain()) {
				begin();
			}

			return endsAt !== undefined;
		},
	};
}
