/**
 * Grace period in which an upstream whose registration was removed may still
 * get requests.
 *
 * Upstreams cannot renew their registrations while the store is unavailable, so
 * the registrations of live upstreams may expire and be removed. Most of these
 * upstreams register again within two seconds of the store's recovery; without
 * a grace period, a service could have no upstream until then. A registration is
 * also removed when its upstream leaves, and such an upstream serves only for a
 * short time. The log record is the same in both cases.
 *
 * @module
 */
import type {LogOutage} from '../store/keyed-follower.js';

/** Options of {@linkcode createExpiryGrace}. */
export type CreateExpiryGraceOptions = {
	/** Interval at which an upstream renews its registration, in milliseconds. */
	readonly heartbeatIntervalMs: number;
};

/** Computes the grace period of upstreams whose registrations were removed. */
export type ExpiryGrace = ReturnType<typeof createExpiryGrace>;

/** Upstreams whose registrations expired register again within this time of the store's recovery. */
const recoveryGraceMs = 2000;
/** A registration expires after three heartbeat intervals, and its last renewal may precede the outage by up to one. */
const minOutageHeartbeats = 2;

/**
 * Creates the grace period of one gateway.
 *
 * Prevents requests from reaching an upstream long after it has left. A grace
 * period that starts when a removal is read, or that any recent failed read
 * grants, can outlast the time for which a leaving upstream still serves. This
 * one starts when the last failed read was sent, so it ends at most
 * `recoveryGraceMs` after the store's recovery, however late a removal is read.
 * An outage too short for a registration to expire grants none.
 *
 * @example
 * ```ts
 * const grace = createExpiryGrace({heartbeatIntervalMs: 1200});
 * grace.recordOutage({lastSuccessAt: 0, lastFailureAt: 5000, recoveredAt: 5200});
 * grace.findGraceEnd(5300); // 7000
 * ```
 *
 * @param options The interval at which upstreams renew their registrations
 * @returns The grace period
 */
export function createExpiryGrace({heartbeatIntervalMs}: CreateExpiryGraceOptions) {
	let graceEnd = Number.NEGATIVE_INFINITY;

	return {
		/** Records an outage of the store that has just ended. */
		recordOutage({lastSuccessAt, lastFailureAt, recoveredAt}: LogOutage): void {
			if (recoveredAt - lastSuccessAt >= heartbeatIntervalMs * minOutageHeartbeats) {
				graceEnd = lastFailureAt + recoveryGraceMs;
			}
		},

		/** Returns when the grace period ends for a registration found removed at `now`; undefined if there is none. */
		findGraceEnd: (now: number): number | undefined => now < graceEnd ? graceEnd : undefined,
	};
}
