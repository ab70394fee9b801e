/**
 * Decides whether a gateway accepts new connections.
 *
 * The load balancer may hand most new connections to one gateway. A request that
 * it reads and refuses counts as an attempt of its caller, who waits before the
 * next one; a connection that is closed unread lets the caller go to another
 * gateway at once. So a gateway without room closes new connections while
 * another one has room. If none has, it reads the requests, so that their callers
 * are told when to come back.
 *
 * @module
 */

/** Options of {@linkcode createConnectionAdmission}. */
export type CreateConnectionAdmissionOptions = {
	/** Returns how many more requests this gateway can run; infinite while it is not overloaded. */
	readonly countRoom: () => number;
	/** Returns true if another gateway that accepts connections has room. */
	readonly hasPeerWithRoom: () => boolean;
};

/** Decides whether a gateway accepts new connections. */
export type ConnectionAdmission = ReturnType<typeof createConnectionAdmission>;

/**
 * Creates the decision.
 *
 * @example
 * ```ts
 * const admission = createConnectionAdmission({countRoom: () => 0, hasPeerWithRoom: () => true});
 * admission.shouldAccept(0); // false
 * ```
 *
 * @param options The room at this gateway and at others
 * @returns The decision
 */
export function createConnectionAdmission({countRoom, hasPeerWithRoom}: CreateConnectionAdmissionOptions) {
	return {
		/** Returns true if the next connection is to be accepted; `awaiting` is the number of accepted connections whose first request has not been read. */
		shouldAccept: (awaiting: number): boolean => countRoom() > awaiting || !hasPeerWithRoom(),
	};
}
