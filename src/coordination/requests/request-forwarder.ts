/**
 * Forwards an admitted request to upstreams until one of them answers it.
 *
 * A request that is not idempotent is sent again only if nothing was sent yet
 * or the upstream states that it did not run the request.
 *
 * @module
 */
import {createFailure, type EventLog, type Failure} from '../../protocol/mod.js';
import type {StreamOrigin} from '../../state/mod.js';
import type {ByteLimits} from '../../transport/mod.js';
import {StreamAnswerRelay, BufferedAnswerRelay, type AnswerRelay} from '../streams/answer-relay.js';
import type {PartQuarantine} from '../quarantine/part-quarantine.js';
import type {PlacementCandidate} from '../upstreams/placement-policy.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import {hasTimeLeft, minRemainingMs} from '../load/remaining-time.js';
import {createRequestPlacement, type CreateRequestPlacementOptions, type Placement} from '../upstreams/request-placement.js';
import type {RetryBudget} from '../load/retry-budget.js';
import {versionGoneRetryAfterMs} from '../streams/stream-resolver.js';
import type {UpstreamEligibility} from '../upstreams/upstream-eligibility.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {ForwardReport, ForwardRequest, ForwardResult} from './forward-types.js';
import {computeRetryNeededMs, createRetryReservation, type ReachedUpstream} from './retry-reservation.js';
import {
	createUpstreamSender, type CreateUpstreamSenderOptions, type ForwardingState, type ForwardProgress, type SendOutcome,
} from './upstream-sender.js';

/** Options of {@linkcode createRequestForwarder}. */
export type CreateRequestForwarderOptions = CreateRequestPlacementOptions & CreateUpstreamSenderOptions & {
	readonly registry: UpstreamRegistry;
	readonly eligibility: UpstreamEligibility;
	/** Returns the retry budget of a service. */
	readonly findRetryBudget: (service: string) => RetryBudget;
	readonly quarantine: Pick<Quarantine, 'trackRun' | 'isSuspected' | 'mayRetry'>;
	readonly partQuarantine: Pick<PartQuarantine, 'trackRun' | 'isSuspected' | 'mayRetry' | 'admit' | 'admitSend'>;
	readonly events: EventLog;
	/** Returns the time until a stop of the gateway cuts its answers; infinite by default. */
	readonly computeStopRemainingMs?: () => number;
	/** Limits of the process on held bytes; by default each request has limits of its own. */
	readonly limits?: ByteLimits;
};

/** Forwards requests to upstreams. */
export type RequestForwarder = ReturnType<typeof createRequestForwarder>;

/** Why no upstream answered a request, and when its caller may retry if it has not run, in milliseconds. */
type UnansweredReason = {readonly detail: string; readonly retryAfterMs: number; readonly type?: 'overloaded' | 'stream-unresumable' | 'prompt-quarantined' | 'unexpected-error'};

/** Retry-after time for callers when every upstream is overloaded or unavailable. */
const overloadedRetryAfterMs = 500;
/** Time after which a request that waits for an upstream looks for one again. */
const placementCheckIntervalMs = 100;
/** Time after which a waiting request tries an upstream again that it could not connect to. */
const reconnectDelayMs = 1000;

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
		wire, registry, eligibility, findRetryBudget, quarantine, partQuarantine, clock, events, limits, computeStopRemainingMs = () => Number.POSITIVE_INFINITY,
	} = options;
	const requestPlacement = createRequestPlacement(options);
	const sender = createUpstreamSender(options);

	function createRelay(request: ForwardRequest): AnswerRelay {
		return request.route.kind === 'stream' ? new StreamAnswerRelay(request, wire, limits) : new BufferedAnswerRelay(request, wire, limits);
	}

	function createState(request: ForwardRequest): ForwardingState {
		const progress: ForwardProgress = {
			sends: 0, mayHaveRun: false, upstream: undefined, softwareVersion: undefined, firstMs: undefined, waitingTokens: undefined, cachedTokens: undefined, isOnGrace: undefined, viewMs: undefined,
		};
		const relay = createRelay(request);
		const tried = new Set<string>();
		const {service, route} = request;
		const state: ForwardingState = {
			request, relay, progress, tried, unreached: new Map(), origin: request.origin, begunAt: undefined,
			retries: createRetryReservation({
				attempts: route.attempts, findBudget: () => findRetryBudget(service.id),
				mayRetry: () => mayRetryElsewhere(request, relay),
				hasCandidate() {
					const placement = pickConfirmable(state);
					return placement !== undefined && sender.mayContinue(placement.candidate.id, state.origin);
				},
				computeRemainingMs: () => Math.min(request.deadline - clock.now(), computeStopRemainingMs()),
				computeNeededMs: runningMs => computeRetryNeededMs({objective: route.objective, runningMs, hasBegun: relay.eventCount > 0}),
				// An answer later than the objective is no better than that of the silent upstream.
				minWaitRemainingMs: Math.max(minRemainingMs, route.objective),
			}),
		};
		return state;
	}

	function recordCandidate(progress: ForwardProgress, {id, waitingTokens, cachedTokens, isOnGrace}: PlacementCandidate): void {
		progress.upstream = id;
		progress.softwareVersion = registry.get(id)?.softwareVersion;
		progress.waitingTokens = waitingTokens;
		progress.cachedTokens = cachedTokens;
		progress.isOnGrace = isOnGrace;
		progress.viewMs = registry.getViewAgeMs();
	}

	function findReached(outcome: SendOutcome): ReachedUpstream {
		return outcome.kind === 'not-run' ? outcome.reached : 'chosen';
	}

	// The last answer may have said when requests are taken again.
	function describeLast(detail: string, {request: {service}, origin}: ForwardingState): UnansweredReason {
		return {
			detail: origin ? `${detail}; only upstreams of version "${origin.softwareVersion ?? 'unknown'}" may continue the stream` : detail,
			retryAfterMs: eligibility.findBlockage(service, origin)?.retryAfterMs ?? overloadedRetryAfterMs,
		};
	}

	function describeOutcome(outcome: Exclude<SendOutcome, {readonly kind: 'complete'}>): string {
		return outcome.kind === 'failed' ? 'The upstream answered with a server error' : outcome.detail;
	}

	function describeUnsent({request: {service}, origin}: ForwardingState): UnansweredReason {
		const blockage = eligibility.findBlockage(service, origin);
		if (blockage !== undefined || origin === undefined) {
			return blockage ?? {detail: 'No live upstream is registered for the service', retryAfterMs: overloadedRetryAfterMs};
		}

		return {
			detail: `No live upstream of version "${origin.softwareVersion ?? 'unknown'}" is registered for the service`, retryAfterMs: versionGoneRetryAfterMs, type: 'stream-unresumable',
		};
	}

	// A part may have been held back since the request was admitted.
	function describeHeld({parts}: ForwardRequest): UnansweredReason | undefined {
		const admitted = partQuarantine.admit(parts);
		return admitted.err ? {detail: admitted.val.detail, retryAfterMs: admitted.val.retryAfterMs ?? overloadedRetryAfterMs, type: 'prompt-quarantined'} : undefined;
	}

	function mayRetryElsewhere({digest, parts}: ForwardRequest, relay: AnswerRelay): boolean {
		return relay.canRetry() && quarantine.mayRetry(digest) && partQuarantine.mayRetry(parts, {hasBegun: relay.eventCount > 0});
	}

	function createFinalFailure(request: ForwardRequest, progress: ForwardProgress, {detail, retryAfterMs, type = 'overloaded'}: UnansweredReason): Failure {
		const isOutOfTime = !hasTimeLeft(request.deadline, clock.now());
		if (progress.mayHaveRun) {
			return isOutOfTime
				? createFailure('deadline-passed', `No upstream answered in time: ${detail}`, {ran: 'unknown'})
				: createFailure('outcome-unknown', `The upstream did not answer: ${detail}`, {ran: 'unknown'});
		}

		return createFailure(type, `No upstream accepted the request: ${detail}`, {retryAfterMs});
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

	// What went wrong outside of a call to an upstream ends the request with what is known of it.
	function finishUnexpected(state: ForwardingState, error: unknown): ForwardReport {
		const {request} = state;
		const {message, stack} = error as Error;
		const detail = `Unexpected error: ${message}`;
		events.write('requestFailed', {request: request.id, detail: stack ?? message});
		return request.answer.hasEnded()
			? buildReport(state, 'served', detail)
			: finishUnanswered(state, {detail, retryAfterMs: overloadedRetryAfterMs, type: 'unexpected-error'});
	}

	// An upstream whose events are not believed costs the stream an attempt.
	function pickConfirmable({request, tried, origin}: Pick<ForwardingState, 'request' | 'tried' | 'origin'>): Placement | undefined {
		return requestPlacement.pick(request, new Set([...tried, ...sender.listUnconfirmable({request, origin})]), origin);
	}

	function tryBeginCall(state: ForwardingState): Placement | undefined {
		const {request, retries} = state;
		const placement = pickConfirmable(state) ?? requestPlacement.pick(request, state.tried, state.origin);
		return placement !== undefined && hasTimeLeft(request.deadline, clock.now()) && retries.tryBegin() ? placement : undefined;
	}

	// The call before was given up for an upstream or a retry that is no longer free.
	async function waitForPlacement(state: ForwardingState): Promise<Placement | undefined> {
		const {request, tried, unreached, retries} = state;
		let placement: Placement | undefined;
		while (placement === undefined && retries.shouldWait() && !request.signal.aborted) {
			await clock.sleep(placementCheckIntervalMs, request.signal);
			for (const [id, mayReturnAt] of unreached) {
				if (mayReturnAt <= clock.now()) {
					unreached.delete(id);
					tried.delete(id);
				}
			}

			placement = request.signal.aborted ? undefined : tryBeginCall(state);
		}

		return placement;
	}

	async function forwardUntilAnswered(state: ForwardingState): Promise<ForwardReport> {
		const {
			request, relay, progress, tried, unreached, retries,
		} = state;
		let deliverFailure: (() => void) | undefined;
		// Holds if upstreams were excluded and none was sent to.
		let detail = 'The processes of its upstreams may have ended';
		let held: UnansweredReason | undefined;
		findRetryBudget(request.service.id).deposit();
		for (;;) {
			held = describeHeld(request);
			if (held) {
				break;
			}

			if (state.origin !== undefined) {
				await sender.excludeDoubtful(state);
			}

			const placement = tryBeginCall(state) ?? await waitForPlacement(state);
			if (request.signal.aborted) {
				detail = String((request.signal.reason as Error).message);
				break;
			}

			if (placement === undefined) {
				break;
			}

			const {id} = placement.candidate;
			tried.add(id);
			recordCandidate(progress, placement.candidate);
			const outcome = await sender.send(state, placement);
			const reached = findReached(outcome);
			retries.finish(reached, {wasRejected: outcome.kind === 'not-run'});
			if (reached === 'none') {
				const wasWithheld = outcome.kind === 'not-run' && outcome.wasWithheld === true;
				unreached.set(id, clock.now() + (wasWithheld ? 0 : reconnectDelayMs));
			}

			progress.sends += reached === 'chosen' ? 1 : 0;
			if (request.signal.aborted && outcome.kind !== 'complete') {
				detail = String((request.signal.reason as Error).message);
				break;
			}

			if (outcome.kind === 'complete') {
				return buildReport(state, 'served');
			}

			detail = describeOutcome(outcome);
			if (outcome.kind === 'failed') {
				deliverFailure = outcome.deliver;
			}

			events.write('requestRetried', {
				request: request.id, upstream: id, softwareVersion: progress.softwareVersion, outcome: outcome.kind, events: relay.eventCount, detail,
			});
			if (outcome.kind !== 'not-run' && !mayRetryElsewhere(request, relay)) {
				break;
			}

			await sender.checkOrigin(state);
		}

		if (deliverFailure && !request.answer.hasStarted()) {
			deliverFailure();
			return buildReport(state, 'passed-on', detail);
		}

		const reason = held ?? (tried.size === 0 ? describeUnsent(state) : describeLast(detail, state));
		return finishUnanswered(state, reason);
	}

	return {
		/** Forwards a request. When the promise resolves, the caller has received its final answer. */
		async forward(request: ForwardRequest): Promise<ForwardReport> {
			const state = createState(request);
			try {
				return await forwardUntilAnswered(state);
			} catch (error) {
				return finishUnexpected(state, error);
			} finally {
				state.retries.release();
				state.relay.close();
			}
		},
	};
}
