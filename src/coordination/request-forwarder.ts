/**
 * Forwards an admitted request to upstreams until one of them answers it.
 *
 * A request that is not idempotent is sent again only if nothing was sent yet
 * or the upstream states that it did not run the request.
 *
 * @module
 */
import {
	createFailure, type AnswerMetadata, type EventLog, type Failure, type GatewayWire,
} from '../protocol/mod.js';
import {
	type CallFailure, type Clock, type UpstreamResponse, type UpstreamClient, createTimeoutSignal,
} from '../transport/mod.js';
import {
	StreamAnswerRelay, BufferedAnswerRelay, type AnswerRelay, type RelayOutcome,
} from './answer-relay.js';
import type {CrashDetector} from './crash-detector.js';
import type {ForwardReport, ForwardRequest, ForwardResult} from './forward-types.js';
import type {PromptSourceOptions, PromptSourcePolicy} from './prompt-source.js';
import type {Quarantine} from './quarantine.js';
import type {RetryBudget} from './retry-budget.js';
import type {TrafficCounter} from './traffic-counter.js';
import {computeUrgency} from './urgency.js';
import {
	LeastRunningPolicy, PromptPlacementPolicy, ServicePlacementPolicy, type PlacementCandidate, type PlacementPolicy, type PlacementQuery,
} from './placement-policy.js';
import type {UpstreamRegistry, UpstreamRequestTracker} from './upstream-registry.js';

/** Options of {@linkcode createRequestForwarder}. */
export type CreateRequestForwarderOptions = {
	readonly wire: GatewayWire;
	readonly client: UpstreamClient;
	readonly registry: UpstreamRegistry;
	readonly traffic: Pick<TrafficCounter, 'record'>;
	/** Chooses from where an upstream fetches the cached part of a prompt. */
	readonly promptSourcePolicy: PromptSourcePolicy;
	/** Returns the retry budget of a service. */
	readonly findRetryBudget: (service: string) => RetryBudget;
	readonly quarantine: Pick<Quarantine, 'trackRun' | 'isSuspected' | 'mayRetry'>;
	readonly crashDetector: CrashDetector;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Forwards requests to upstreams. */
export type RequestForwarder = ReturnType<typeof createRequestForwarder>;

/** Outcome of sending a request to one upstream. */
type SendOutcome =
	/** `reached` is the upstream that received the request: none, another one at the same address, or the chosen one. */
	| {readonly kind: 'not-run'; readonly detail: string; readonly reached: 'none' | 'other' | 'chosen'}
	| RelayOutcome;

/** Fields of the report that are filled in while the request is being forwarded. */
type ForwardProgress = {-readonly [Field in 'sends' | 'mayHaveRun' | 'upstream' | 'firstMs' | 'waitingTokens' | 'cachedTokens' | 'isOnGrace' | 'viewMs']: ForwardReport[Field]};

/** State of a request while it is being forwarded. */
type ForwardingState = {readonly request: ForwardRequest; readonly relay: AnswerRelay; readonly progress: ForwardProgress};

/** The upstream for a request, and the address of the one from which it fetches the cached part of the prompt. */
type Placement = {readonly candidate: PlacementCandidate; readonly fetchFrom: string | undefined};

/** Why no upstream answered a request, and when its caller may retry if it has not run, in milliseconds. */
type UnansweredReason = {readonly detail: string; readonly retryAfterMs: number};

/** Options for receiving an upstream's answer. */
type ReceiveOptions = {readonly tracker: UpstreamRequestTracker; readonly onProgress: (bytes: number) => void};

/** A request is not sent with less time left than this, because the round trip alone takes part of it. */
const minRemainingMs = 15;
/** Retry-after time for callers when every upstream is overloaded or unavailable. */
const overloadedRetryAfterMs = 500;
/** Time without progress after which a request is retried at another upstream, as a multiple of the route's latency objective. */
const stallTimeoutObjectives = 3;
/** Lower limit of the stall timeout. */
const minStallTimeoutMs = 1200;

/**
 * Creates a request forwarder.
 *
 * @example
 * ```ts
 * const report = await forwarder.forward(request);
 * ```
 *
 * @param options Upstreams, retry budgets, quarantine and crash detection
 * @returns The forwarder
 */
export function createRequestForwarder(options: CreateRequestForwarderOptions) {
	const {
		wire, client, registry, traffic, promptSourcePolicy, findRetryBudget, quarantine, crashDetector, clock, events,
	} = options;

	const suspectPolicy: PlacementPolicy = new LeastRunningPolicy();
	const promptPolicy: PlacementPolicy = new PromptPlacementPolicy();
	const servicePolicy: PlacementPolicy = new ServicePlacementPolicy();

	function createRelay(request: ForwardRequest): AnswerRelay {
		return request.route.kind === 'stream' ? new StreamAnswerRelay(request, wire) : new BufferedAnswerRelay(request, wire);
	}

	function findPolicy({digest, generation}: ForwardRequest): PlacementPolicy {
		if (quarantine.isSuspected(digest)) {
			return suspectPolicy;
		}

		return generation ? promptPolicy : servicePolicy;
	}

	function pickSource({service}: ForwardRequest, query: PlacementQuery, options: PromptSourceOptions): string | undefined {
		const source = query.generation && service.engine?.canFetchPrompts ? promptSourcePolicy.pick(query, options) : undefined;
		return source && registry.get(source.id)?.address;
	}

	function pickUpstream(request: ForwardRequest, tried: ReadonlySet<string>): Placement | undefined {
		const {service, generation} = request;
		const candidates = registry.listCandidates({service, generation, excluded: tried});
		if (candidates.length === 0) {
			return undefined;
		}

		const query = {id: request.id ?? '', generation};
		const candidate = findPolicy(request).pick(query, candidates);
		return {candidate, fetchFrom: pickSource(request, query, {chosen: candidate, candidates})};
	}

	// An answer to another request shows that the connection carries extra answers, so no later answer on it can be trusted.
	function isForOtherRequest(request: ForwardRequest, metadata: AnswerMetadata): boolean {
		return metadata.requestId !== undefined && metadata.requestId !== request.id;
	}

	async function receive({request, relay, progress}: ForwardingState, answer: UpstreamResponse, {tracker, onProgress}: ReceiveOptions): Promise<SendOutcome> {
		const metadata = wire.readAnswer(answer.status, answer.headers);
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

		if (metadata.hasNotRun) {
			answer.abandon();
			return {kind: 'not-run', detail: `status ${answer.status}`, reached: 'chosen'};
		}

		progress.mayHaveRun = true;
		if (answer.status < 300 && (!metadata.hasUpstreamSignature || answer.headers['content-encoding'] !== undefined)) {
			answer.abandon();
			return {kind: 'broken', detail: 'The answer lacks the upstream signature or has a content encoding', wasConnectionLost: false};
		}

		return relay.relay(answer, {
			onProgress,
			onFirstEvent() {
				progress.firstMs ??= clock.now() - request.startedAt;
				tracker.recordFirstEvent();
			},
		});
	}

	// Aborts the call if the upstream makes no progress for the stall timeout and the request can be retried at another one.
	function createStallTimeout(request: ForwardRequest, relay: AnswerRelay) {
		const timeoutMs = Math.max(minStallTimeoutMs, request.route.objective * stallTimeoutObjectives);
		const controller = new AbortController();
		const abort = () => {
			if (relay.canRetry()) {
				controller.abort(new Error(`The upstream made no progress for ${timeoutMs} ms`));
			}
		};

		let lastProgressAt = clock.now();
		// The timer is rescheduled only when it fires, because a stream makes progress dozens of times a second.
		const checkProgress = () => {
			const remainingMs = lastProgressAt + timeoutMs - clock.now();
			if (remainingMs > 0) {
				timer = setTimeout(checkProgress, remainingMs);
			} else {
				abort();
			}
		};

		let timer = setTimeout(checkProgress, timeoutMs);
		return {
			signal: controller.signal,
			recordProgress() {
				lastProgressAt = clock.now();
			},
			clear() {
				clearTimeout(timer);
			},
		};
	}

	async function sendTo(state: ForwardingState, {candidate: {id}, fetchFrom}: Placement): Promise<SendOutcome> {
		const {request, relay} = state;
		const upstream = registry.get(id);
		if (!upstream) {
			return {kind: 'not-run', detail: 'The upstream is no longer registered', reached: 'none'};
		}

		const tracker = registry.trackRequest(id, request);
		const trackedRun = quarantine.trackRun(request.digest, request.id);
		const stallTimeout = createStallTimeout(request, relay);
		const remaining = request.deadline - clock.now();
		let isWithheld = false;
		const timeLimit = createTimeoutSignal(remaining, [request.signal, stallTimeout.signal]);
		try {
			const called = await client.call({
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
					isWithheld = !registry.admitSend(id, request.service);
					return !isWithheld;
				},
			});
			const onProgress = (bytes: number) => {
				stallTimeout.recordProgress();
				traffic.record('answer', {bytes, failureDomain: upstream.failureDomain});
			};

			const outcome = called.ok ? await receive(state, called.val, {tracker, onProgress}) : classifyCallFailure(called.val, state.progress);
			traffic.record('request', {bytes: request.body?.length ?? 0, failureDomain: upstream.failureDomain});
			if (isWithheld) {
				return outcome;
			}

			if (outcome.kind === 'broken' && !request.signal.aborted) {
				tracker.recordUnresponsive();
			} else if (outcome.kind === 'not-run' && outcome.reached === 'none') {
				tracker.recordUnresponsive();
			} else if (outcome.kind === 'failed') {
				tracker.recordFailure();
			} else if (outcome.kind === 'complete') {
				trackedRun.recordAnswer();
			}

			// The quarantine must know of the crash before the request is sent to another upstream.
			if (outcome.kind === 'broken' && outcome.wasConnectionLost && !timeLimit.signal.aborted && await crashDetector.hasCrashed(upstream)) {
				trackedRun.recordCrash(id);
			}

			return outcome;
		} finally {
			stallTimeout.clear();
			timeLimit.clear();
			tracker.end();
		}
	}

	function classifyCallFailure(failure: CallFailure, progress: ForwardProgress): SendOutcome {
		if (failure.kind === 'unsent') {
			return {kind: 'not-run', detail: failure.detail, reached: 'none'};
		}

		progress.mayHaveRun = true;
		return {kind: 'broken', detail: failure.detail, wasConnectionLost: true};
	}

	function describeUnsent({service}: ForwardRequest): UnansweredReason {
		return registry.findBlockage(service) ?? {detail: 'No live upstream is registered for the service', retryAfterMs: overloadedRetryAfterMs};
	}

	function createFinalFailure(request: ForwardRequest, progress: ForwardProgress, {detail, retryAfterMs}: UnansweredReason): Failure {
		const isOutOfTime = request.deadline - clock.now() < minRemainingMs;
		if (progress.mayHaveRun) {
			return isOutOfTime
				? createFailure('deadline-passed', `No upstream answered in time: ${detail}`, {ran: 'unknown'})
				: createFailure('outcome-unknown', `The upstream did not answer: ${detail}`, {ran: 'unknown'});
		}

		return createFailure('overloaded', `No upstream accepted the request: ${detail}`, {retryAfterMs});
	}

	function buildReport({relay, progress}: ForwardingState, result: ForwardResult, reason?: string): ForwardReport {
		return {
			result, reason, events: relay.eventCount, ...progress,
		};
	}

	function finishUnanswered(state: ForwardingState, reason: UnansweredReason): ForwardReport {
		const {request, progress} = state;
		const {detail} = reason;
		if (request.answer.hasStarted()) {
			request.answer.abort();
			return buildReport(state, 'cut', detail);
		}

		const failure = createFinalFailure(request, progress, reason);
		request.answer.refuse(failure);
		return buildReport(state, failure.ran === 'no' ? 'refused' : 'failed', detail);
	}

	return {
		/** Forwards a request. When the promise resolves, the caller has received its final answer. */
		async forward(request: ForwardRequest): Promise<ForwardReport> {
			const relay = createRelay(request);
			const retryBudget = findRetryBudget(request.service.id);
			const progress: ForwardProgress = {
				sends: 0, mayHaveRun: false, upstream: undefined, firstMs: undefined, waitingTokens: undefined, cachedTokens: undefined, isOnGrace: undefined, viewMs: undefined,
			};
			const state: ForwardingState = {request, relay, progress};
			const tried = new Set<string>();
			let deliveries = 0;
			let deliverFailure: (() => void) | undefined;
			let detail = '';
			retryBudget.deposit();
			for (;;) {
				const placement = pickUpstream(request, tried);
				const isFirst = deliveries === 0;
				if (placement === undefined || request.deadline - clock.now() < minRemainingMs || progress.sends >= request.route.attempts || !(isFirst || retryBudget.tryWithdraw())) {
					break;
				}

				const {candidate} = placement;
				const {id} = candidate;
				tried.add(id);
				progress.upstream = id;
				progress.waitingTokens = candidate.waitingTokens;
				progress.cachedTokens = candidate.cachedTokens;
				progress.isOnGrace = candidate.isOnGrace;
				progress.viewMs = registry.getViewAgeMs();
				const outcome = await sendTo(state, placement);
				// The route limits how many upstreams may run a request, so a refused connection or another upstream at the address
				// does not count as a send. The retry budget limits deliveries, which include those to another upstream at the address.
				progress.sends += outcome.kind === 'not-run' && outcome.reached !== 'chosen' ? 0 : 1;
				deliveries += outcome.kind === 'not-run' && outcome.reached === 'none' ? 0 : 1;
				if (request.signal.aborted && outcome.kind !== 'complete') {
					detail = String((request.signal.reason as Error).message);
					break;
				}

				if (outcome.kind === 'complete') {
					return buildReport(state, 'served');
				}

				if (outcome.kind === 'failed') {
					deliverFailure = outcome.deliver;
					detail = 'The upstream answered with a server error';
				} else {
					detail = outcome.detail;
				}

				events.write('requestRetried', {
					request: request.id, upstream: id, outcome: outcome.kind, detail,
				});
				if (outcome.kind !== 'not-run' && !(relay.canRetry() && quarantine.mayRetry(request.digest))) {
					break;
				}
			}

			if (deliverFailure && !request.answer.hasStarted()) {
				deliverFailure();
				return buildReport(state, 'passed-on', detail);
			}

			return finishUnanswered(state, tried.size === 0 ? describeUnsent(request) : {detail, retryAfterMs: overloadedRetryAfterMs});
		},
	};
}
