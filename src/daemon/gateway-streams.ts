/**
 * Assembles how a gateway records which software version began a stream, and
 * finds it when a caller resumes the stream.
 *
 * @module
 */
import {
	createOriginRecorder, createStartChecker, createStreamQueryClient, createStreamRecorder, createStreamResolver, type CreateStartCheckerOptions, type Gossip, type GossipPeer, type StreamAnswer, type StreamQuery,
} from '../coordination/mod.js';
import type {EventLog, KeyedLog} from '../protocol/mod.js';
import {findOnlyOrigin, isFitFor} from '../state/mod.js';
import type {Clock, FleetClient} from '../transport/mod.js';
import {formatRouteKey, type GatewayState} from './gateway-state.js';

/** Options of {@linkcode createGatewayStreams}. */
export type CreateGatewayStreamsOptions = {
	/** This gateway's name. */
	readonly daemon: string;
	readonly state: Pick<GatewayState, 'directory' | 'recordedOrigins' | 'grantFollower' | 'starts' | 'hasFollowedSince' | 'findRouteTable' | 'versionHistory' | 'routeHistory' | 'readViews' | 'computeViewsAgeMs'>;
	/** Connections to other gateways that carry no other calls, since one that does not answer at once is abandoned. */
	readonly fleet: FleetClient;
	/** Asks the process at an address for its start. */
	readonly fetchStart: CreateStartCheckerOptions['fetchStart'];
	readonly listPeers: () => readonly GossipPeer[];
	/** Log in which the origins that streams can have had are recorded. */
	readonly log: KeyedLog;
	readonly gossip: Pick<Gossip, 'announceStream' | 'isPresumedUp'>;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** The streams of a gateway. */
export type GatewayStreams = ReturnType<typeof createGatewayStreams>;

/** A stream lasts no longer than its route's timeout, and its caller resumes it within as long again. */
const lifetimeTimeouts = 2;

/**
 * Creates the parts.
 *
 * @example
 * ```ts
 * const {recorder, resolver} = createGatewayStreams(options);
 * ```
 *
 * @param options The views of the deployment and the other gateways
 * @returns The recorder, the resolver and the answer to queries of other gateways
 */
export function createGatewayStreams(options: CreateGatewayStreamsOptions) {
	const {
		daemon, state, fleet, gossip, clock, events, signal,
	} = options;
	const {routeHistory, versionHistory, recordedOrigins} = state;
	const listPeers = () => options.listPeers().filter(peer => gossip.isPresumedUp(peer.daemon));

	function computeLifetimeMs(): number {
		const routes = state.findRouteTable()?.deployment.routes ?? [];
		return lifetimeTimeouts * Math.max(0, ...routes.filter(({isResumable}) => isResumable).map(({timeout}) => timeout));
	}

	const recorder = createStreamRecorder({
		daemon, listPeers, computeLifetimeMs, clock, events, announce: gossip.announceStream,
	});

	const queryPeer = createStreamQueryClient({fleet});

	// The monotonic clock does not count a suspension of the host, so only a new read shows how old the views are.
	async function describeOnly(routeKey: string): Promise<StreamAnswer['only']> {
		const wasRead = await state.readViews(signal);
		const only = findOnlyOrigin(routeKey, {routeHistory, versionHistory});
		return wasRead && only ? {origin: only.origin, sinceAgeMs: clock.now() - only.since, viewAgeMs: state.computeViewsAgeMs()} : undefined;
	}

	const readViews = async () => state.readViews(signal);
	const startChecker = createStartChecker({
		starts: state.starts, directory: state.directory, fetchStart: options.fetchStart, readViews, hasFollowedSince: state.hasFollowedSince, clock, events,
	});
	const resolver = createStreamResolver({
		findRecordedOnly: recordedOrigins.findOnly,
		recorder, startChecker, readViews, listPeers, queryPeer, routeHistory, versionHistory, formatRouteKey, computeLifetimeMs, clock, events,
		hasUpstream: origin => state.directory.listLive(origin.service, clock.now()).some(({upstream}) => isFitFor(upstream, origin) && state.starts.mayMatch(upstream)),
	});

	const originRecorder = createOriginRecorder({
		log: options.log, recorded: recordedOrigins, hasReadLog: () => state.grantFollower.getNextOffset() !== undefined, daemon, listPeers: () => listPeers().map(peer => peer.daemon), clock, events,
	});

	return {
		recorder, resolver, startChecker,
		applyOriginsRecord: originRecorder.applyRecord,

		run(): void {
			void originRecorder.run(signal);
		},

		/** Answers the query of another gateway. */
		async findStream({stream, routeKey}: StreamQuery): Promise<StreamAnswer> {
			const record = stream === undefined ? undefined : recorder.get(stream);
			return record
				? {record: {origin: startChecker.describeOrigin(record.origin, record.recordedAt), ageMs: clock.now() - record.recordedAt}, only: undefined}
				: {record: undefined, only: routeKey === undefined ? undefined : await describeOnly(routeKey)};
		},
	};
}
