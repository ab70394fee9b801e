/**
 * Finds the software version that began a stream which its caller takes up: from
 * this gateway's records, from those of the gateways that are told of the stream,
 * or because its service has had one version only for as long as the stream can
 * have lasted. If none of them shows it, the version is unknown and the stream is
 * refused; it is never guessed.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result, type Route,
} from '../protocol/mod.js';
import type {StreamOrigin, ValueHistory} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {GossipPeer} from './gossip-receivers.js';
import type {StreamRecorder} from './stream-recorder.js';
import {queriedCount, selectWitnesses} from './stream-witnesses.js';

/** What another gateway answers about a stream; `ageMs` is the age of its record in milliseconds. */
export type StreamAnswer = {readonly origin: StreamOrigin; readonly ageMs: number};

/** A stream that a caller takes up. */
export type TakenUpStream = {
	/** ID of the caller's attempt, for log events. */
	readonly request: string | undefined;
	/** ID of the attempt that received the first event; undefined if the caller does not name it. */
	readonly stream: string | undefined;
	readonly route: Route;
};

/** Options of {@linkcode createStreamResolver}. */
export type CreateStreamResolverOptions = {
	readonly recorder: Pick<StreamRecorder, 'get'>;
	/** Lists the other gateways that are presumed to be up. */
	readonly listPeers: () => readonly GossipPeer[];
	/** Queries another gateway; undefined if it does not know the stream, an error if it does not answer in time. */
	readonly queryPeer: (peer: GossipPeer, stream: string) => Promise<Result<StreamAnswer | undefined, Failure>>;
	/** The software versions of each service. */
	readonly versionHistory: Pick<ValueHistory, 'findOnly'>;
	/** The services of each route, by route key. */
	readonly routeHistory: Pick<ValueHistory, 'findOnly'>;
	readonly formatRouteKey: (route: Route) => string;
	/** Reads the deployment and the registrations of upstreams; false if they could not be read. */
	readonly readViews: () => Promise<boolean>;
	/** Returns the time for which a caller may take up a stream, in milliseconds. */
	readonly computeLifetimeMs: () => number;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Finds the software version that began a stream. */
export type StreamResolver = ReturnType<typeof createStreamResolver>;

/** An origin, the gateway or view that shows it, and the age of that account. */
type Finding = {readonly origin: StreamOrigin; readonly source: string; readonly ageMs: number};

/** What the witnesses answered: a finding, or the gateways that did not answer. */
type WitnessAnswers = {readonly finding: Finding | undefined; readonly unanswered: readonly string[]};

/** Retry delay where a gateway or the store did not answer and may do so soon. */
const unansweredRetryAfterMs = 1000;

/** @internal Resolves with the first value that is not undefined, or with undefined once all promises have resolved to it. */
async function findFirst<Value>(promises: ReadonlyArray<Promise<Value | undefined>>): Promise<Value | undefined> {
	const settle = async (promise: Promise<Value | undefined>, index: number) => ({index, value: await promise});
	const pending = new Map(promises.map((promise, index) => [index, settle(promise, index)]));
	while (pending.size > 0) {
		const {index, value} = await Promise.race(pending.values());
		if (value !== undefined) {
			return value;
		}

		pending.delete(index);
	}

	return undefined;
}

/**
 * Creates a resolver.
 *
 * @example
 * ```ts
 * const origin = await resolver.resolve({request: 'b-1', stream: 'a-1', route});
 * ```
 *
 * @param options The records of this gateway and of others, and the histories of services and routes
 * @returns The resolver
 */
export function createStreamResolver(options: CreateStreamResolverOptions) {
	const {
		recorder, listPeers, queryPeer, versionHistory, routeHistory, formatRouteKey, readViews, computeLifetimeMs, clock, events,
	} = options;

	function findRecorded(stream: string): Finding | undefined {
		const record = recorder.get(stream);
		return record && {origin: record.origin, source: record.source, ageMs: clock.now() - record.recordedAt};
	}

	async function queryWitnesses(stream: string): Promise<WitnessAnswers> {
		const unanswered: string[] = [];
		const query = async (peer: GossipPeer): Promise<Finding | undefined> => {
			const answer = await queryPeer(peer, stream);
			if (answer.err) {
				unanswered.push(peer.daemon);
				return undefined;
			}

			return answer.val && {...answer.val, source: peer.daemon};
		};

		const finding = await findFirst(selectWitnesses(stream, listPeers(), queriedCount).map(async peer => query(peer)));
		return {finding, unanswered};
	}

	// The only service of a route and the only version of that service, and since when both have been the only ones.
	function findOnlyOrigin(route: Route): {readonly origin: StreamOrigin; readonly since: number} | undefined {
		const service = routeHistory.findOnly(formatRouteKey(route));
		const version = service && versionHistory.findOnly(service.value);
		return service && version && {origin: {service: service.value, softwareVersion: version.value}, since: Math.max(service.since, version.since)};
	}

	// Gateways that have not heard of it may begin streams at an upstream for some time after its registration is gone.
	const computeHistoryMs = () => computeLifetimeMs() * 2;

	// Only a read that begins after the caller has come back shows every version that can have begun its stream.
	async function inferOrigin(route: Route): Promise<Finding | 'unread' | undefined> {
		const maxSince = clock.now() - computeHistoryMs();
		const isOnly = () => (findOnlyOrigin(route)?.since ?? Number.POSITIVE_INFINITY) <= maxSince;
		if (!isOnly()) {
			return undefined;
		}

		if (!await readViews()) {
			return 'unread';
		}

		const only = findOnlyOrigin(route);
		return only && isOnly() ? {origin: only.origin, source: 'only version', ageMs: clock.now() - only.since} : undefined;
	}

	// Later, the history of the service may show a single version; until then the answer stays the same.
	function computeRetryAfterMs(route: Route): number {
		const since = findOnlyOrigin(route)?.since ?? clock.now();
		return Math.max(unansweredRetryAfterMs, Math.ceil(since + computeHistoryMs() - clock.now()));
	}

	function createUnknownFailure({stream, route}: TakenUpStream, {unanswered, isUnread}: {readonly unanswered: readonly string[]; readonly isUnread: boolean}): Failure {
		const reasons = [
			stream === undefined ? 'the caller names no attempt that began it' : `no gateway that answered knows "${stream}"`,
			...unanswered.length > 0 ? [`no answer from ${unanswered.join(', ')}`] : [],
			isUnread ? 'the store does not answer' : 'the service may have had several versions',
		];
		const mayBeKnownSoon = unanswered.length > 0 || isUnread;
		return createFailure('stream-unresumable', `The software version that began the stream is unknown: ${reasons.join('; ')}`, {
			retryAfterMs: mayBeKnownSoon ? unansweredRetryAfterMs : computeRetryAfterMs(route),
		});
	}

	function accept({request, stream, route}: TakenUpStream, {origin, source, ageMs}: Finding): Result<StreamOrigin, Failure> {
		events.write('streamTakenUp', {
			request, resumes: stream, service: origin.service, softwareVersion: origin.softwareVersion, source, ageMs: Math.round(ageMs),
		});
		if (!route.targets.some(({service, weight}) => service === origin.service && weight > 0)) {
			return Err(createFailure('stream-unresumable', `The route no longer leads to service "${origin.service}", which began the stream`, {retryAfterMs: computeLifetimeMs()}));
		}

		return origin.softwareVersion === undefined
			? Err(createFailure('stream-unresumable', 'The software version that began the stream was not known to the gateway that served it', {retryAfterMs: computeLifetimeMs()}))
			: Ok(origin);
	}

	return {
		/** Finds the origin of a stream; fails if it is unknown, or if the route no longer leads to its service. */
		async resolve(takenUp: TakenUpStream): Promise<Result<StreamOrigin, Failure>> {
			const {stream, route} = takenUp;
			const recorded = stream === undefined ? undefined : findRecorded(stream);
			if (recorded) {
				return accept(takenUp, recorded);
			}

			const {finding, unanswered} = stream === undefined ? {finding: undefined, unanswered: []} : await queryWitnesses(stream);
			if (finding) {
				return accept(takenUp, finding);
			}

			const inferred = await inferOrigin(route);
			return inferred === undefined || inferred === 'unread'
				? Err(createUnknownFailure(takenUp, {unanswered, isUnread: inferred === 'unread'}))
				: accept(takenUp, inferred);
		},
	};
}
