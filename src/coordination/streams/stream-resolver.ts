/**
 * Finds the software version that began a stream which its caller resumes: from
 * this gateway's records, from those of the stream's witnesses,
 * or because its service has had one version only for as long as the stream can
 * have lasted. If none of them shows it, the version is unknown and the stream is
 * refused; it is never guessed.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result, type Route,
} from '../../protocol/mod.js';
import {
	findOnlyOrigin, type FindOnlyOriginOptions, type OnlyOrigin, type StreamOrigin,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {GossipPeer} from '../peers/gossip-receivers.js';
import type {StartChecker} from './start-checker.js';
import type {StreamRecorder} from './stream-recorder.js';
import {queriedCount, selectWitnesses} from './stream-witnesses.js';

/** A query to another gateway. */
export type StreamQuery = {
	/** Undefined if the caller does not name it. */
	readonly stream: string | undefined;
	/** Key of the route whose only origin is wanted if there is no record; undefined if it is not wanted. */
	readonly routeKey: string | undefined;
};

/** What another gateway answers. Ages are in milliseconds, because gateways share no clock. */
export type StreamAnswer = {
	/** Its record of the stream. */
	readonly record: {readonly origin: StreamOrigin; readonly ageMs: number} | undefined;
	/** The only origin of the route's streams, for how long it has been the only one, and how old the data is that shows it. */
	readonly only: {readonly origin: StreamOrigin; readonly sinceAgeMs: number; readonly viewAgeMs: number} | undefined;
};

/** A stream that a caller resumes. */
export type ResumedStream = {
	/** ID of the caller's attempt, for log events. */
	readonly request: string | undefined;
	/** ID of the attempt that received the first event; undefined if the caller does not name it. */
	readonly stream: string | undefined;
	readonly route: Route;
};

/** Options of {@linkcode createStreamResolver}. */
export type CreateStreamResolverOptions = FindOnlyOriginOptions & {
	readonly recorder: Pick<StreamRecorder, 'get'>;
	readonly startChecker: Pick<StartChecker, 'checkOrigin'>;
	/** Lists the other gateways that are presumed to be up. */
	readonly listPeers: () => readonly GossipPeer[];
	/** Queries another gateway; fails if it does not answer in time. */
	readonly queryPeer: (peer: GossipPeer, query: StreamQuery) => Promise<Result<StreamAnswer, Failure>>;
	readonly formatRouteKey: (route: Route) => string;
	/** Returns the only origin that the streams of a route have ever had by the log; by default none is known. */
	readonly findRecordedOnly?: (routeKey: string) => StreamOrigin | undefined;
	/** Returns true if an upstream that may continue streams of an origin gets requests. */
	readonly hasUpstream: (origin: StreamOrigin) => boolean;
	/** Reads the deployment and the registrations of upstreams; false if they could not be read. */
	readonly readViews: () => Promise<boolean>;
	/** Returns the time for which a caller may resume a stream, in milliseconds. */
	readonly computeLifetimeMs: () => number;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Finds the software version that began a stream. */
export type StreamResolver = ReturnType<typeof createStreamResolver>;

/** An origin, the gateway or view that shows it, and the age of that account. */
type Finding = {readonly origin: StreamOrigin; readonly source: string; readonly ageMs: number};

/** The only origin of a route's streams as another gateway saw it, from `since` until its last read. */
type PeerHistory = OnlyOrigin & {readonly until: number; readonly source: string};

/** What the witnesses answered: a record, or what they saw of the route; and the gateways that did not answer. */
type WitnessAnswers = {readonly finding: Finding | undefined; readonly histories: readonly PeerHistory[]; readonly unanswered: readonly string[]};

/** Retry delay for callers whose stream has no upstream of its version left; one that crashed takes some seconds to start again. */
export const versionGoneRetryAfterMs = 2000;
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
		recorder, startChecker, listPeers, queryPeer, formatRouteKey, hasUpstream, readViews, computeLifetimeMs, clock, events,
	} = options;

	function findRecorded(stream: string): Finding | undefined {
		const record = recorder.get(stream);
		return record && {origin: record.origin, source: record.source, ageMs: clock.now() - record.recordedAt};
	}

	const isSameOrigin = (left: StreamOrigin, right: StreamOrigin | undefined) => left.service === right?.service && left.softwareVersion === right.softwareVersion;

	const findOwnOnly = (route: Route): OnlyOrigin | undefined => findOnlyOrigin(formatRouteKey(route), options);

	async function queryWitnesses({request, stream, route}: ResumedStream): Promise<WitnessAnswers> {
		const histories: PeerHistory[] = [];
		const unanswered: string[] = [];
		// Their histories only help where this gateway has seen one origin, but not for long enough.
		const routeKey = findOwnOnly(route) && !findInferred(route, []) ? formatRouteKey(route) : undefined;
		const query = async (peer: GossipPeer): Promise<Finding | undefined> => {
			const sentAt = clock.now();
			const answer = await queryPeer(peer, {stream, routeKey});
			if (answer.err) {
				unanswered.push(peer.daemon);
				return undefined;
			}

			const {record, only} = answer.val;
			if (only) {
				// The answer was written after the query was sent and before now, so both times are estimated to the safe side.
				histories.push({
					origin: only.origin, since: clock.now() - only.sinceAgeMs, until: sentAt - only.viewAgeMs, source: peer.daemon,
				});
			}

			return record && {...record, source: peer.daemon};
		};

		const witnesses = selectWitnesses(stream ?? request ?? '', listPeers(), queriedCount);
		const finding = await findFirst(witnesses.map(async peer => query(peer)));
		return {finding, histories, unanswered};
	}

	// Gateways that have not heard of it may begin streams at an upstream for some time after its registration is gone.
	const computeHistoryMs = () => computeLifetimeMs() * 2;

	// A gateway that has just started relies on the log, or on one that saw the same origin until after that start.
	function findEvidence(route: Route, {origin, since}: OnlyOrigin, histories: readonly PeerHistory[]): string | undefined {
		const minSince = clock.now() - computeHistoryMs();
		if (since <= minSince) {
			return 'only version';
		}

		if (isSameOrigin(origin, options.findRecordedOnly?.(formatRouteKey(route)))) {
			return 'only version, log';
		}

		const history = histories.find(other => isSameOrigin(origin, other.origin) && other.since <= minSince && other.until >= since);
		return history && `only version, ${history.source}`;
	}

	function findInferred(route: Route, histories: readonly PeerHistory[]): Finding | undefined {
		const only = findOwnOnly(route);
		const source = only && findEvidence(route, only, histories);
		return only && source !== undefined ? {origin: only.origin, source, ageMs: Math.min(clock.now() - only.since, computeHistoryMs())} : undefined;
	}

	// Only a read that begins after the caller's request has arrived shows every version that can have begun its stream.
	async function inferOrigin(route: Route, histories: readonly PeerHistory[]): Promise<Finding | 'unread' | undefined> {
		if (!findInferred(route, histories)) {
			return undefined;
		}

		return await readViews() ? findInferred(route, histories) : 'unread';
	}

	// Later, the history of the service may show a single version; until then the answer stays the same.
	function computeRetryAfterMs(route: Route): number {
		const since = findOwnOnly(route)?.since ?? clock.now();
		return Math.max(unansweredRetryAfterMs, Math.ceil(since + computeHistoryMs() - clock.now()));
	}

	function createUnknownFailure({stream, route}: ResumedStream, {unanswered, isUnread}: {readonly unanswered: readonly string[]; readonly isUnread: boolean}): Failure {
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

	function accept({request, stream, route}: ResumedStream, {origin, source, ageMs}: Finding): Result<StreamOrigin, Failure> {
		events.write('streamOriginFound', {
			request, resumes: stream, service: origin.service, softwareVersion: origin.softwareVersion, source, ageMs: Math.round(ageMs),
		});
		if (!route.targets.some(({service, weight}) => service === origin.service && weight > 0)) {
			return Err(createFailure('stream-unresumable', `The route no longer leads to service "${origin.service}", which began the stream`, {retryAfterMs: computeLifetimeMs()}));
		}

		if (origin.softwareVersion === undefined) {
			return Err(createFailure('stream-unresumable', 'The software version that began the stream was not known to the gateway that served it', {retryAfterMs: computeLifetimeMs()}));
		}

		return hasUpstream(origin)
			? Ok(origin)
			: Err(createFailure('stream-unresumable', `No live upstream of version "${origin.softwareVersion}" is registered for service "${origin.service}"`, {retryAfterMs: versionGoneRetryAfterMs}));
	}

	// A recorded version is that of the registration that the recording gateway had read, which may be of an earlier start.
	async function acceptRecorded(resumed: ResumedStream, finding: Finding): Promise<Result<StreamOrigin, Failure>> {
		const {origin, isUnread} = await startChecker.checkOrigin(finding.origin, clock.now() - finding.ageMs);
		return isUnread
			? Err(createFailure('stream-unresumable', 'The upstream that began the stream may have started again, and neither it nor the store says so', {retryAfterMs: unansweredRetryAfterMs}))
			: accept(resumed, {...finding, origin});
	}

	return {
		/** Finds the origin of a stream; fails if it is unknown, if the route no longer leads to its service, or if its version has no upstream. */
		async resolve(resumed: ResumedStream): Promise<Result<StreamOrigin, Failure>> {
			const {stream, route} = resumed;
			const recorded = stream === undefined ? undefined : findRecorded(stream);
			if (recorded) {
				return acceptRecorded(resumed, recorded);
			}

			const shouldQuery = stream !== undefined || !findInferred(route, []);
			const {finding, histories, unanswered} = shouldQuery ? await queryWitnesses(resumed) : {finding: undefined, histories: [], unanswered: []};
			if (finding) {
				return acceptRecorded(resumed, finding);
			}

			const inferred = await inferOrigin(route, histories);
			return inferred === undefined || inferred === 'unread'
				? Err(createUnknownFailure(resumed, {unanswered, isUnread: inferred === 'unread'}))
				: accept(resumed, inferred);
		},
	};
}
