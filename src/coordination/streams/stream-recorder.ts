/**
 * Records which software version began each stream, at this gateway and at two
 * others, the witnesses, so that the caller can resume it at any gateway.
 *
 * Each witness gets one datagram when the first event arrives, before the event is
 * forwarded. If one is lost, the other witness and this gateway have the record.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import {createStreamRecords, type StreamOrigin, type StreamRecord} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {GossipPeer} from '../peers/gossip-receivers.js';
import {selectWitnesses, witnessCount} from './stream-witnesses.js';

/** What a gateway announces of a stream. */
export type StreamAnnouncement = {
	/** ID of the attempt that received the first event. */
	readonly stream: string;
	readonly origin: StreamOrigin;
	/** Time for which the caller may resume the stream, in milliseconds. */
	readonly lifetimeMs: number;
	/** The gateway that has sent events of the stream. */
	readonly source: string;
};

/** Options of {@linkcode createStreamRecorder}. */
export type CreateStreamRecorderOptions = {
	/** This gateway's name. */
	readonly daemon: string;
	/** Lists the other gateways that are presumed to be up. */
	readonly listPeers: () => readonly GossipPeer[];
	readonly announce: (announcement: StreamAnnouncement, receivers: readonly GossipPeer[]) => void;
	/** Returns the time for which a caller may resume a stream, in milliseconds. */
	readonly computeLifetimeMs: () => number;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Maximum number of records; default 10 000. */
	readonly maxRecords?: number;
};

/** Records which software version began each stream. */
export type StreamRecorder = ReturnType<typeof createStreamRecorder>;

/** Seven times what a gateway keeps for a minute if 390 gateways begin 3,000 streams per second. */
const defaultMaxRecords = 10_000;
const minEvictionReportIntervalMs = 10_000;
/** Longest ID that is recorded, in characters; keeps the memory of all records under 5 MB. */
const maxIdLength = 128;

/**
 * Creates a recorder.
 *
 * @example
 * ```ts
 * recorder.recordEvents('a-1', {service: 'model', softwareVersion: 'v1.1'});
 * recorder.get('a-1')?.origin.softwareVersion; // 'v1.1'
 * ```
 *
 * @param options The other gateways and how they are notified
 * @returns The recorder
 */
export function createStreamRecorder(options: CreateStreamRecorderOptions) {
	const {daemon, clock, events} = options;
	let evictions = 0;
	let reportedAt = Number.NEGATIVE_INFINITY;
	const records = createStreamRecords({
		maxRecords: options.maxRecords ?? defaultMaxRecords,
		onEvicted(remainingMs) {
			evictions += 1;
			if (clock.now() - reportedAt >= minEvictionReportIntervalMs) {
				reportedAt = clock.now();
				events.write('streamRecordEvicted', {evictions, remainingMs: Math.round(remainingMs)});
			}
		},
	});

	function merge({stream, origin, lifetimeMs, source}: StreamAnnouncement): void {
		const now = clock.now();
		if (stream.length <= maxIdLength) {
			records.put(stream, {
				origin, source, recordedAt: now, expiresAt: now + lifetimeMs,
			});
		}
	}

	return {
		/** Records that this gateway is about to send the first event that it has of a stream to the caller. */
		recordEvents(stream: string, origin: StreamOrigin): void {
			const announcement = {
				stream, origin, lifetimeMs: options.computeLifetimeMs(), source: daemon,
			};
			merge(announcement);
			if (stream.length <= maxIdLength) {
				options.announce(announcement, selectWitnesses(stream, options.listPeers(), witnessCount));
			}
		},

		/** Records what another gateway announces. */
		merge,

		get: (stream: string): StreamRecord | undefined => records.get(stream, clock.now()),
		count: (): number => records.count(),
		/** Returns the number of records that were evicted before they expired. */
		countEvictions: (): number => evictions,
		prune(): void {
			records.prune(clock.now());
		},
	};
}
