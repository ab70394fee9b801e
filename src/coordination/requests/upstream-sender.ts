/**
 * Sends a request to one upstream and relays its answer.
 *
 * @module
 */
import type {
	AnswerMetadata, EventLog, GatewayWire, Result, UpstreamRegistration,
} from '../../protocol/mod.js';
import {findKnownStart, type StreamOrigin} from '../../state/mod.js';
import {
	createTimeoutSignal, waitUnlessAborted, type CallFailure, type Clock, type UpstreamResponse, type UpstreamClient,
} from '../../transport/mod.js';
import type {AnswerRelay, RelayOutcome} from '../streams/answer-relay.js';
import type {CrashDetector} from '../quarantine/crash-detector.js';
import type {LimitRecorder} from '../upstreams/limit-recorder.js';
import type {NoticeRecorder} from '../upstreams/notice-recorder.js';
import {computeStartKey, formatPartIds} from '../quarantine/part-keys.js';
import type {PartQuarantine, PartRun} from '../quarantine/part-quarantine.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import {hasTimeLeft} from '../load/remaining-time.js';
import type {Placement} from '../upstreams/request-placement.js';
import type {StartChecker} from '../streams/start-checker.js';
import {createStallTimeout} from '../streams/stall-timeout.js';
import type {StreamRecorder} from '../streams/stream-recorder.js';
import type {TrafficCounter} from '../load/traffic-counter.js';
import type {UpstreamEligibility} from '../upstreams/upstream-eligibility.js';
import type {UpstreamRegistry, UpstreamRequestTracker} from '../upstreams/upstream-registry.js';
import {computeUrgency} from '../upstreams/urgency.js';
import type {ForwardReport, ForwardRequest} from './forward-types.js';
import type {ReachedUpstream, RetryReservation} from './retry-reservation.js';

/** Options of {@linkcode createUpstreamSender}. */
export type CreateUpstreamSenderOptions = {
	readonly wire: GatewayWire;
	readonly client: UpstreamClient;
	readonly registry: Pick<UpstreamRegistry, 'get' | 'trackRequest'>;
	readonly eligibility: Pick<UpstreamEligibility, 'admitSend' | 'listEligible'>;
	readonly limitRecorder: Pick<LimitRecorder, 'recordAnswer'>;
	readonly noticeRecorder: Pick<NoticeRecorder, 'recordAnswer'>;
	readonly traffic: Pick<TrafficCounter, 'record'>;
	readonly quarantine: Pick<Quarantine, 'trackRun'>;
	readonly partQuarantine: Pick<PartQuarantine, 'trackRun' | 'admitSend'>;
	readonly crashDetector: CrashDetector;
	readonly streamRecorder: Pick<StreamRecorder, 'recordEvents'>;
	readonly startChecker: Pick<StartChecker, 'isOfVersion' | 'checkOrigin' | 'settleDoubt' | 'canConfirm' | 'queryStart' | 'recordLost'>;
	readonly events: EventLog;
	readonly clock: Clock;
};

/** Outcome of sending a request to one upstream. */
export type SendOutcome =
	/** `reached` is the upstream that received the request: none, another one at the same address, or the chosen one. `wasWithheld` tells that it was connected to, and the request not written. */
	| {readonly kind: 'not-run'; readonly detail: string; readonly reached: ReachedUpstream; readonly wasWithheld?: boolean}
	| RelayOutcome;

/** Fields of the report that are filled in while the request is being forwarded. */
export type ForwardProgress = {-readonly [Field in 'sends' | 'mayHaveRun' | 'upstream' | 'softwareVersion' | 'firstMs' | 'waitingTokens' | 'cachedTokens' | 'isOnGrace' | 'viewMs']: ForwardReport[Field]};

/** State of a request while it is being forwarded. */
export type ForwardingState = {
	readonly request: ForwardRequest;
	readonly relay: AnswerRelay;
	readonly progress: ForwardProgress;
	/** Ids of the upstreams that were chosen so far. */
	readonly tried: Set<string>;
	/** Ids of those that did not receive the request, and when each may be chosen again, in milliseconds of the clock. */
	readonly unreached: Map<string, number>;
	readonly retries: RetryReservation;
	/** Set once the stream has begun. */
	origin: StreamOrigin | undefined;
	/** When the request was written that began the stream, in milliseconds of the clock; undefined if it began earlier. */
	begunAt: number | undefined;
};

/** Options for receiving an upstream's answer. */
type ReceiveOptions = {
	readonly upstream: string;
	/** When the request was written, in milliseconds of the clock. */
	readonly sentAt: number;
	/** Registration of the upstream at that time. */
	readonly registered: UpstreamRegistration;
	readonly tracker: UpstreamRequestTracker;
	readonly onProgress: (bytes: number) => void;
};

/** @internal */
function classifyCallFailure(failure: CallFailure, progress: ForwardProgress): SendOutcome {
	if (failure.kind === 'unsent') {
		return {kind: 'not-run', detail: failure.detail, reached: 'none'};
	}

	progress.mayHaveRun = true;
	return {kind: 'broken', detail: failure.detail, wasConnectionLost: true};
}

/** @internal An answer to another request shows that the connection carries extra answers, so no later answer on it can be trusted. */
function isForOtherRequest(request: ForwardRequest, metadata: AnswerMetadata): boolean {
	return metadata.requestId !== undefined && metadata.requestId !== request.id;
}

/** What is known of a call after it has ended. */
type CallSummary = {
	readonly upstream: UpstreamRegistration;
	readonly called: Result<UpstreamResponse, CallFailure>;
	/** The call was aborted by the gateway or its caller. */
	readonly wasAborted: boolean;
};

/** How a call ended with an exception. */
type UnexpectedCallEnd = {
	readonly error: unknown;
	/** Undefined if the exception came before the call's end. */
	readonly called: Result<UpstreamResponse, CallFailure> | undefined;
	/** The request was about to be written, or has been. */
	readonly wasWritten: boolean;
};

const firstRedirectStatus = 300;

/** @internal The end of an answer without a length is the end of its connection. */
function isDelimitedByClose({headers}: UpstreamResponse): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** @internal An answer with another status than success does not show that the upstream read the prompt. */
function recordPartsAnswered(run: PartRun, called: Result<UpstreamResponse, CallFailure>): void {
	if (called.ok && called.val.status < firstRedirectStatus) {
		run.recordAnswer();
	}
}

/**
 * Creates a sender.
 *
 * @example
 * ```ts
 * const outcome = await sender.send({request, relay, progress}, placement);
 * ```
 *
 * @param options The upstreams, the client and what is recorded of each call
 * @returns The sender
 */
export function createUpstreamSender(options: CreateUpstreamSenderOptions) {
	const {
		wire, client, registry, eligibility, limitRecorder, noticeRecorder, traffic, quarantine, partQuarantine, crashDetector, streamRecorder, startChecker, events, clock,
	} = options;

	// An upstream that registered again with another version since the request was written may have run it with either.
	function createOrigin({request}: ForwardingState, {upstream, registered}: Pick<ReceiveOptions, 'upstream' | 'registered'>): StreamOrigin {
		const {softwareVersion} = registered;
		const registration = registry.get(upstream);
		const isUnchanged = registration === undefined || registration.softwareVersion === softwareVersion;
		return isUnchanged && softwareVersion !== undefined
			? {service: request.service.id, softwareVersion, start: findKnownStart(registered)}
			: {service: request.service.id, softwareVersion: undefined};
	}

	// A caller names the attempt that received the first event, however often it has resumed the stream since.
	function recordStream({route, id, resumes}: ForwardRequest, origin: StreamOrigin): void {
		const stream = resumes ?? id;
		if (route.isResumable && stream !== undefined) {
			streamRecorder.recordEvents(stream, origin);
		}
	}

	// What a connection's end says of the upstream's start must be known before the stream goes on elsewhere.
	function recordLostConnection(outcome: SendOutcome, {upstream, wasAborted}: Pick<CallSummary, 'upstream' | 'wasAborted'>): void {
		const wasLost = outcome.kind === 'broken' ? outcome.wasConnectionLost : outcome.kind === 'not-run' && outcome.reached === 'none';
		if (wasLost && !wasAborted) {
			startChecker.recordLost(upstream.id);
		}
	}

	// Nobody waits for a check once the caller has gone or the deadline has passed; returns undefined then.
	async function waitForCheck<Value>({signal, deadline}: ForwardRequest, check: Promise<Value>): Promise<Value | undefined> {
		const timeLimit = createTimeoutSignal(deadline - clock.now(), [signal]);
		try {
			return await waitUnlessAborted(check, timeLimit.signal);
		} finally {
			timeLimit.clear();
		}
	}

	async function receive(state: ForwardingState, answer: UpstreamResponse, options: ReceiveOptions): Promise<SendOutcome> {
		const {request, relay, progress} = state;
		const {
			upstream, sentAt, registered, tracker, onProgress,
		} = options;
		const metadata = wire.readAnswer(answer.status, answer.headers);
		// An answer that is not used, because it is late or belongs to another request, comes from the upstream all the same.
		if (!metadata.isWrongUpstream) {
			noticeRecorder.recordAnswer({id: upstream, startedAt: registered.startedAt}, metadata);
		}

		if (metadata.load) {
			tracker.recordLoad(metadata.load);
		}

		if (isForOtherRequest(request, metadata)) {
			// This request was sent and may have run. Reporting "not run" could be false and would leave its tokens uncounted.
			progress.mayHaveRun = true;
			answer.abandon();
			return {kind: 'broken', detail: 'The answer belongs to another request', wasConnectionLost: false};
		}

		if (metadata.isWrongUpstream) {
			answer.abandon();
			tracker.recordMoved();
			return {kind: 'not-run', detail: 'Another upstream now listens at this address', reached: 'other'};
		}

		limitRecorder.recordAnswer(upstream, {metadata, sentAt});

		if (metadata.hasNotRun) {
			answer.abandon();
			return {kind: 'not-run', detail: `status ${answer.status}`, reached: 'chosen'};
		}

		progress.mayHaveRun = true;
		if (answer.status < 300 && (!metadata.hasUpstreamSignature || answer.headers['content-encoding'] !== undefined)) {
			answer.abandon();
			return {kind: 'broken', detail: 'The answer lacks the upstream signature or has a content encoding', wasConnectionLost: false};
		}

		if (state.origin !== undefined && answer.status < 300 && !await waitForCheck(request, startChecker.isOfVersion({registered, sentAt, origin: state.origin}))) {
			answer.abandon();
			return {
				kind: 'broken', detail: 'The upstream may have started again with another software version', wasConnectionLost: false, isOfOtherStart: true,
			};
		}

		return relay.relay(answer, {
			onProgress,
			onFirstEvent() {
				progress.firstMs ??= clock.now() - request.startedAt;
				tracker.recordFirstEvent();
			},
			onStreamBegin() {
				if (state.origin === undefined) {
					state.origin = createOrigin(state, options);
					state.begunAt = sentAt;
				}

				recordStream(request, state.origin);
			},
		});
	}

	// An upstream that got the request may run it, whatever went wrong with its answer here.
	function breakCall({request, progress}: ForwardingState, {error, called, wasWritten}: UnexpectedCallEnd): SendOutcome {
		const {message, stack} = error as Error;
		events.write('requestFailed', {request: request.id, detail: stack ?? message});
		if (called?.ok) {
			called.val.abandon();
		}

		if (!wasWritten) {
			return {kind: 'not-run', detail: `Unexpected error: ${message}`, reached: 'none'};
		}

		progress.mayHaveRun = true;
		return {kind: 'broken', detail: `Unexpected error: ${message}`, wasConnectionLost: false};
	}

	// The process of the upstream may have ended with the connection that delimits the answer, even if the answer seems complete.
	async function hasCrashedDuring(outcome: SendOutcome, {upstream, called, wasAborted}: CallSummary): Promise<boolean> {
		const mayHaveCrashed = outcome.kind === 'complete'
			? called.ok && isDelimitedByClose(called.val)
			: outcome.kind === 'broken' && outcome.wasConnectionLost && !wasAborted;
		return mayHaveCrashed && crashDetector.hasCrashed(upstream);
	}

	return {
		/**
		 * Checks the version with which this gateway recorded a stream, before the
		 * stream goes on at another upstream.
		 */
		async checkOrigin(state: ForwardingState): Promise<void> {
			if (state.origin === undefined || state.begunAt === undefined) {
				return;
			}

			const checked = await waitForCheck(state.request, startChecker.checkOrigin(state.origin, state.begunAt));
			if (!checked) {
				return;
			}

			const {origin, isUnread} = checked;
			state.origin = origin;
			if (!isUnread) {
				recordStream(state.request, origin);
			}
		},

		/**
		 * Excludes the upstreams whose process may have ended, so that a stream that
		 * goes on does not spend its last attempt at one that has started again.
		 */
		async excludeDoubtful({request, origin, tried}: ForwardingState): Promise<void> {
			const eligible = origin === undefined ? [] : eligibility.listEligible(request.service, origin).filter(({upstream}) => !tried.has(upstream.id));
			await Promise.all(eligible.map(async ({upstream}) => {
				if (!await waitForCheck(request, startChecker.settleDoubt(upstream))) {
					tried.add(upstream.id);
				}
			}));
		},

		/** Lists the upstreams that may get a request and whose events would not be believed to go on with its stream. */
		listUnconfirmable({request, origin}: Pick<ForwardingState, 'request' | 'origin'>): string[] {
			const eligible = origin === undefined ? [] : eligibility.listEligible(request.service, origin);
			return eligible.filter(({upstream}) => startChecker.canConfirm(upstream) === false).map(({upstream}) => upstream.id);
		},

		/**
		 * Returns true if the events of an upstream would be believed to go on with a
		 * stream; asks the upstream if that is not known, so that a later call knows.
		 */
		mayContinue(id: string, origin: StreamOrigin | undefined): boolean {
			const upstream = registry.get(id);
			if (upstream === undefined || origin === undefined) {
				return upstream !== undefined;
			}

			const canConfirm = startChecker.canConfirm(upstream);
			if (canConfirm === undefined) {
				void startChecker.queryStart(upstream);
			}

			return canConfirm === true;
		},

		/** Sends a request to one upstream. */
		async send(state: ForwardingState, {candidate: {id}, fetchFrom}: Placement): Promise<SendOutcome> {
			const {request, relay} = state;
			const upstream = registry.get(id);
			if (!upstream) {
				return {kind: 'not-run', detail: 'The upstream is no longer registered', reached: 'none'};
			}

			const tracker = registry.trackRequest(id, request);
			const partRun = partQuarantine.trackRun(request.parts);
			const trackedRun = quarantine.trackRun(request.digest, {request: request.id, parts: formatPartIds(request.parts)});
			const stallTimeout = createStallTimeout({
				objective: request.route.objective,
				tryReserveRetry: () => state.retries.tryReserve({wasWritten, runningMs: wasWritten ? clock.now() - sentAt : 0}),
				onError({message, stack}) {
					events.write('requestFailed', {request: request.id, detail: stack ?? message});
				},
				clock,
			});
			const remaining = request.deadline - clock.now();
			let isWithheld = false;
			let wasWritten = false;
			let called: Result<UpstreamResponse, CallFailure> | undefined;
			let outcome: SendOutcome | undefined;
			let sentAt = clock.now();
			let registered: ReceiveOptions['registered'] = upstream;
			const timeLimit = createTimeoutSignal(remaining, [request.signal, stallTimeout.signal]);
			try {
				called = await client.call({
					address: upstream.address,
					method: request.method,
					path: request.path,
					headers: wire.buildForwardHeaders(request.rawHeaders, {
						requestId: request.id, upstream: id, customer: request.customer, remainingMs: remaining, lastEventId: relay.lastEventId, urgency: computeUrgency(request), fetchFrom,
					}),
					body: request.body,
					signal: timeLimit.signal,
					shouldUseNewConnection: !relay.canRetry(),
					shouldStillSend() {
						isWithheld = !hasTimeLeft(request.deadline, clock.now()) || !eligibility.admitSend(id, request.service, state.origin) || !partQuarantine.admitSend(request.parts);
						sentAt = clock.now();
						registered = registry.get(id) ?? upstream;
						wasWritten = !isWithheld;
						return wasWritten;
					},
				});
				const onProgress = (bytes: number) => {
					stallTimeout.recordProgress();
					partRun.recordProgress();
					traffic.record('answer', {bytes, failureDomain: upstream.failureDomain});
				};

				outcome = called.ok
					? await receive(state, called.val, {
						upstream: id, sentAt, registered, tracker, onProgress,
					})
					: classifyCallFailure(called.val, state.progress);
				if (called.ok || called.val.kind === 'broken') {
					traffic.record('request', {bytes: request.body?.length ?? 0, failureDomain: upstream.failureDomain});
				}

				if (isWithheld) {
					return outcome.kind === 'not-run' ? {...outcome, wasWithheld: true} : outcome;
				}

				if (outcome.kind === 'broken' && !outcome.isOfOtherStart && !request.signal.aborted) {
					tracker.recordUnresponsive();
				} else if (outcome.kind === 'not-run' && outcome.reached === 'none') {
					tracker.recordUnresponsive();
				} else if (outcome.kind === 'failed') {
					tracker.recordFailure();
				}

				recordLostConnection(outcome, {upstream, wasAborted: timeLimit.signal.aborted});
				// The quarantines must know of the crash before the request is sent to another upstream.
				if (await hasCrashedDuring(outcome, {upstream, called, wasAborted: timeLimit.signal.aborted})) {
					trackedRun.recordCrash(id);
					partRun.recordCrash({id, start: computeStartKey(upstream)}, request.id);
				} else if (outcome.kind === 'complete') {
					trackedRun.recordAnswer();
					recordPartsAnswered(partRun, called);
				}

				return outcome;
			} catch (error) {
				return outcome ?? breakCall(state, {error, called, wasWritten});
			} finally {
				stallTimeout.clear();
				timeLimit.clear();
				tracker.end();
			}
		},
	};
}
