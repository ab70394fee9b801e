/**
 * Decides whether responses ask callers to open a new connection.
 *
 * Answers the load of kept connections: the load balancer moves only new
 * connections away from an overloaded gateway, while callers who keep theirs
 * continue to fill its link.
 *
 * @module
 */

/** Decides whether responses carry `connection: close`. */
export type ConnectionCloseDecision = ReturnType<typeof createConnectionCloseDecision>;

/** Consecutive checks without a 200 after which the load balancer removes a gateway; a caller who reconnects sooner may reach the same gateway. */
const checksUntilOut = 2;

/**
 * Creates the decision.
 *
 * @example
 * ```ts
 * const decision = createConnectionCloseDecision({shouldMoveCallers: () => true});
 * decision.recordCheck(false);
 * decision.recordCheck(false);
 * decision.shouldClose(); // true
 * ```
 *
 * @param options Returns whether the gateway is still too loaded for its open connections
 * @returns The decision
 */
export function createConnectionCloseDecision({shouldMoveCallers}: {readonly shouldMoveCallers: () => boolean}) {
	let failedChecks = 0;

	return {
		/** Records a readiness check of the load balancer, and whether the answer was a 200. */
		recordCheck(isReady: boolean): void {
			failedChecks = isReady ? 0 : failedChecks + 1;
		},

		/** Returns true if the load balancer has taken the gateway out of rotation and the load is still too high. */
		shouldClose: (): boolean => failedChecks >= checksUntilOut && shouldMoveCallers(),
	};
}
