/**
 * How often gateways send gossip, depending on the size of the fleet.
 *
 * Every gateway receives the entries of all others, so the number of entries
 * that it receives per second is the number of gateways times the rate of each.
 * The rate falls as the fleet grows, which keeps the traffic of each gateway
 * constant.
 *
 * @module
 */

/** Intervals and timeouts of gossip. */
export type GossipRate = {
	/** Interval between two own entries while the state changes. */
	readonly entryIntervalMs: number;
	/** Interval between two own entries while the state does not change. */
	readonly idleEntryIntervalMs: number;
	readonly datagramIntervalMs: number;
	/** Interval between datagrams while there are entries that did not fit into the last one. */
	readonly backlogIntervalMs: number;
	/** A gateway whose last entry is older than this is considered unresponsive. */
	readonly viewTimeoutMs: number;
	/** True if entries reach some gateways only when others forward them. */
	readonly isForwarding: boolean;
};

/** Number of gateways that each datagram is sent to. */
export const fanOut = 3;
/** Contribution of each gateway to the entry interval where entries are forwarded: the whole fleet sends 50 new entries per second. */
const intervalPerGatewayMs = 20;
/** Limits of the interval between datagrams; the upper one is a third of the shortest latency objective of streams. */
const datagramIntervalRangeMs = {min: 50, max: 150} as const;
/** Minimum interval between entries of a gateway whose state does not change. */
const minIdleIntervalMs = 500;
/** View timeout where every gateway sends to every other one directly: three idle intervals. */
const directViewTimeoutMs = 1500;
/** Consecutive entries that may fail to arrive where entries are forwarded: about one in ten does not reach a given gateway. */
const maxMissedEntries = 6;

/**
 * Computes how often gossip is sent.
 *
 * @example
 * ```ts
 * computeGossipRate(4).entryIntervalMs; // 50
 * computeGossipRate(68).entryIntervalMs; // 1360
 * ```
 *
 * @param gatewayCount Number of gateways in the fleet, including this one
 * @returns The intervals and timeouts
 */
export function computeGossipRate(gatewayCount: number): GossipRate {
	const isForwarding = gatewayCount - 1 > fanOut;
	const entryIntervalMs = isForwarding ? gatewayCount * intervalPerGatewayMs : datagramIntervalRangeMs.min;
	const idleEntryIntervalMs = Math.max(minIdleIntervalMs, entryIntervalMs);
	return {
		entryIntervalMs,
		idleEntryIntervalMs,
		datagramIntervalMs: Math.min(datagramIntervalRangeMs.max, entryIntervalMs),
		backlogIntervalMs: Math.min(datagramIntervalRangeMs.max, entryIntervalMs) / 2,
		viewTimeoutMs: isForwarding ? maxMissedEntries * idleEntryIntervalMs : directViewTimeoutMs,
		isForwarding,
	};
}
