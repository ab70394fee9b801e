/**
 * Assembles how a gateway records which software version began a stream, and
 * finds it when a caller resumes the stream.
 *
 * @module
 */
import {
	createStreamRecorder, createStreamResolver, type Gossip, type GossipPeer, type StreamAnswer, type StreamQuery,
} from '../coordination/mod.js';
import {
	Err, Ok, createFailure, type EventLog, type Failure, type FindStreamReply, type Result,
} from '../protocol/mod.js';
import {findOnlyOrigin, isFitFor} from '../state/mod.js';
import type {Clock, FleetClient} from '../transport/mod.js';
import {formatRouteKey, type GatewayState} from './gateway-state.js';

/** Options of {@linkcode createGatewayStreams}. */
export type CreateGatewayStreamsOptions = {
	/** This gateway's name. */
	readonly daemon: string;
	readonly state: Pick<GatewayState, 'directory' | 'findRouteTable' | 'versionHistory' | 'routeHistory' | 'readViews' | 'computeViewsAgeMs'>;
	/** Connections to other gateways that carry no other calls, since one that does not answer at once is abandoned. */
	readonly fleet: FleetClient;
	readonly listPeers: () => readonly GossipPeer[];
	readonly gossip: Pick<Gossip, 'announceStream' | 'isPresumedUp'>;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** The streams of a gateway. */
export type GatewayStreams = ReturnType<typeof createGatewayStreams>;

/** Timeouts of the first query to a peer and of the second, which is sent on a new connection. */
const queryTimeoutsMs = [100, 300] as const;
/** A stream lasts no longer than its route's timeout, and its caller resumes it within as long again. */
const lifetimeTimeouts = 2;

/** @internal */
function readStreamAnswer({origin, ageMs, only}: FindStreamReply): StreamAnswer {
	return {
		record: origin && {origin: {service: origin.service, softwareVersion: origin.softwareVersion}, ageMs},
		only: only?.origin && {
			origin: {service: only.origin.service, softwareVersion: only.origin.softwareVersion}, sinceAgeMs: only.sinceAgeMs, viewAgeMs: only.viewAgeMs,
		},
	};
}

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
	const {routeHistory, versionHistory} = state;
	const listPeers = () => options.listPeers().filter(peer => gossip.isPresumedUp(peer.daemon));

	function computeLifetimeMs(): number {
		const routes = state.findRouteTable()?.deployment.routes ?? [];
		return lifetimeTimeouts * Math.max(0, ...routes.filter(({isResumable}) => isResumable).map(({timeout}) => timeout));
	}

	const recorder = createStreamRecorder({
		daemon, listPeers, computeLifetimeMs, clock, events, announce: gossip.announceStream,
	});

	async function queryPeer(peer: GossipPeer, {stream = '', routeKey = ''}: StreamQuery): Promise<Result<StreamAnswer, Failure>> {
		let detail = '';
		for (const timeoutMs of queryTimeoutsMs) {
			try {
				return Ok(readStreamAnswer(await fleet.connect(peer.address).gateway.findStream({stream, route: routeKey}, {timeoutMs})));
			} catch (error) {
				detail = (error as Error).message;
				// A connection can go silent for good while new ones work.
				fleet.connect(peer.address).abandon();
			}
		}

		return Err(createFailure('no-upstream', `Gateway "${peer.daemon}" does not say what it knows of stream "${stream}": ${detail}`));
	}

	// The monotonic clock does not count a suspension of the host, so only a new read shows how old the views are.
	async function describeOnly(routeKey: string): Promise<StreamAnswer['only']> {
		const wasRead = await state.readViews(signal);
		const only = findOnlyOrigin(routeKey, {routeHistory, versionHistory});
		return wasRead && only ? {origin: only.origin, sinceAgeMs: clock.now() - only.since, viewAgeMs: state.computeViewsAgeMs()} : undefined;
	}

	const resolver = createStreamResolver({
		recorder, listPeers, queryPeer, routeHistory, versionHistory, formatRouteKey, computeLifetimeMs, clock, events,
		hasUpstream: origin => state.directory.listLive(origin.service, clock.now()).some(({upstream}) => isFitFor(upstream, origin)),
		readViews: async () => state.readViews(signal),
	});

	return {
		recorder, resolver,

		/** Answers the query of another gateway. */
		async findStream({stream, routeKey}: StreamQuery): Promise<StreamAnswer> {
			const record = stream === undefined ? undefined : recorder.get(stream);
			return record
				? {record: {origin: record.origin, ageMs: clock.now() - record.recordedAt}, only: undefined}
				: {record: undefined, only: routeKey === undefined ? undefined : await describeOnly(routeKey)};
		},
	};
}
