/**
 * Summarizes each second in which a gateway limited requests, closed
 * connections unread, or accepted some whose callers had left.
 *
 * A connection that is closed unread leaves no other trace: its request has no
 * ID here, and its caller only sees a closed connection.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import type {PeerRoom} from './peer-room.js';

/** Counters of a gateway since its start, and its current limit. */
export type PressureCounters = {
	/** Connections accepted. */
	readonly connections: number;
	/** Connections closed unread. */
	readonly dropped: number;
	/** Connections handed over to other gateways. */
	readonly relayed: number;
	/** Connections whose callers had left before they were accepted. */
	readonly abandoned: number;
	/** Requests begun. */
	readonly requests: number;
	/** Requests refused by the limit on running requests. */
	readonly refused: number;
	/** Time in which the event loop was busy, in milliseconds. */
	readonly busyMs: number;
	/** Connections that are handed over now. */
	readonly relaying: number;
	/** Other gateways that take connections now. */
	readonly offers: number;
	/** Requests that run now. */
	readonly running: number;
	/** Maximum number of running requests; infinite while there is no limit. */
	readonly limit: number;
};

/** What happened since the previous summary. */
export type PressureSummary = {
	readonly ms: number;
	readonly running: number;
	/** Undefined while there is no limit. */
	readonly limit: number | undefined;
	readonly lagMs: number;
	readonly busyPercent: number;
	readonly accepted: number;
	readonly closedUnread: number;
	readonly handedOver: number;
	readonly relaying: number;
	readonly offers: number;
	readonly abandoned: number;
	readonly begun: number;
	readonly refused: number;
	readonly peers: number;
	readonly withRoom: number;
	readonly domainPeers: number;
	readonly domainWithRoom: number;
};

/** Options of {@linkcode createPressureCounter}. */
export type CreatePressureCounterOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly readCounters: () => PressureCounters;
	/** Counts the other gateways that are not leaving, and those of them that have room. */
	readonly countPeers: () => PeerRoom;
	/** Counts the same in the own failure domain. */
	readonly countDomainPeers: () => PeerRoom;
	/** Called with each second in which requests were limited, or connections closed unread or abandoned. */
	readonly onSummary: (summary: PressureSummary) => void;
};

/** Summarizes seconds. */
export type PressureCounter = ReturnType<typeof createPressureCounter>;

/** Length of a summary: callers wait one second for a new connection to be read. */
const intervalMs = 1000;
const percentPerShare = 100;

/**
 * Creates a counter.
 *
 * @example
 * ```ts
 * const pressure = createPressureCounter({clock, readCounters, countPeers, countDomainPeers, onSummary});
 * pressure.recordLag(80);
 * ```
 *
 * @param options The clock, the counters, the other gateways and the callback
 * @returns The counter
 */
export function createPressureCounter({clock, readCounters, countPeers, countDomainPeers, onSummary}: CreatePressureCounterOptions) {
	let since = clock.now();
	let before = readCounters();
	let maxLagMs = 0;

	function summarize(ms: number, after: PressureCounters): PressureSummary {
		const peers = countPeers();
		const domainPeers = countDomainPeers();
		return {
			ms: Math.round(ms),
			running: after.running,
			limit: Number.isFinite(after.limit) ? Math.floor(after.limit) : undefined,
			lagMs: Math.round(maxLagMs),
			busyPercent: Math.round((after.busyMs - before.busyMs) / ms * percentPerShare),
			accepted: after.connections - before.connections,
			closedUnread: after.dropped - before.dropped,
			handedOver: after.relayed - before.relayed,
			relaying: after.relaying,
			offers: after.offers,
			abandoned: after.abandoned - before.abandoned,
			begun: after.requests - before.requests,
			refused: after.refused - before.refused,
			peers: peers.total,
			withRoom: peers.withRoom,
			domainPeers: domainPeers.total,
			domainWithRoom: domainPeers.withRoom,
		};
	}

	return {
		/** Records the largest lag of the event loop in a window that just ended, in milliseconds, and summarizes the second if it is over. */
		recordLag(lagMs: number): void {
			maxLagMs = Math.max(maxLagMs, lagMs);
			const ms = clock.now() - since;
			if (ms < intervalMs) {
				return;
			}

			const after = readCounters();
			if (Number.isFinite(after.limit) || after.dropped > before.dropped || after.refused > before.refused || after.abandoned > before.abandoned) {
				onSummary(summarize(ms, after));
			}

			since = clock.now();
			before = after;
			maxLagMs = 0;
		},
	};
}
