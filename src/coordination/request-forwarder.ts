/**
 * Takes an admitted request to upstreams until one has answered it.
 *
 * A request that may not be repeated is sent again only after a promise that
 * it has not run, or when nothing was sent.
 *
 * @module
 */
import {
	createFailure, type AnswerFacts, type EventLog, type Failure, type GatewayWire,
} from '../protocol/mod.js';
import {
	type CallFailure, type Clock, type UpstreamAnswer, type UpstreamClient, createBound,
} from '../transport/mod.js';
import {
	StreamAnswerRelay, WholeAnswerRelay, type AnswerRelay, type RelayOutcome,
} from './answer-relay.js';
import type {CrashWatch} from './crash-watch.js';
import type {ForwardReport, ForwardRequest, ForwardResult} from './forward-types.js';
import type {Quarantine} from './quarantine.js';
import type {RetryBudget} from './retry-budget.js';
import {computeUrgency} from './urgency.js';
import {
	LeastRunningPolicy, PromptPlacementPolicy, ServicePlacementPolicy, type PlacementCandidate, type PlacementPolicy,
} from './placement-policy.js';
import type {UpstreamBook, UpstreamVisit} from './upstream-book.js';

/** Options of {@linkcode createRequestForwarder}. */
export type CreateRequestForwarderOptions = {
	readonly wire: GatewayWire;
	readonly client: UpstreamClient;
	readonly book: UpstreamBook;
	/** The retry budget of a service. */
	readonly findRetries: (service: string) => RetryBudget;
	readonly quarantine: Pick<Quarantine, 'begin' | 'isSuspected' | 'maySendOn'>;
	readonly crashes: CrashWatch;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Takes requests to upstreams. */
export type RequestForwarder = ReturnType<typeof createRequestForwarder>;

/** What one sending came to. */
type SendOutcome =
	/** `reached` says which upstream got it: none, one that has the address of the chosen one, or the chosen one. */
	| {readonly kind: 'not-run'; readonly detail: string; readonly reached: 'none' | 'other' | 'chosen'}
	| RelayOutcome;

type Progress = {-readonly [Field in 'sends' | 'mayHaveRun' | 'upstream' | 'firstMs' | 'waitingTokens' | 'cachedTokens' | 'isOnGrace' | 'viewMs']: ForwardReport[Field]};

/** One request on its way. */
type Forwarding = {readonly request: ForwardRequest; readonly relay: AnswerRelay; readonly progress: Progress};

/** What a sending brings to the receipt of its answer. */
type ReceiveOptions = {readonly visit: UpstreamVisit; readonly onProgress: () => void};

/** Less time than this, in milliseconds, is not worth a sending: a round trip alone takes some of it. */
const leastTime = 15;
/** When a caller may come back after every upstream was full or away, in milliseconds. */
const fullRetryAfter = 500;
/** A silent upstream is given up on after this many objectives of the route, when the request may go elsewhere. */
const silenceObjectives = 3;
/** Shortest silence, in milliseconds, that makes an upstream be given up on. */
const leastSilence = 1200;

/**
 * Creates a forwarder.
 *
 * @example
 * ```ts
 * const report = await forwarder.forward(request);
 * ```
 *
 * @param options Upstreams, routing and retries
 * @returns The forwarder
 */
export function createRequestForwarder(options: CreateRequestForwarderOptions) {
	const {
		wire, client, book, findRetries, quarantine, crashes, clock, events,
	} = options;

	const suspectPolicy: PlacementPolicy = new LeastRunningPolicy();
	const promptPolicy: PlacementPolicy = new PromptPlacementPolicy();
	const servicePolicy: PlacementPolicy = new ServicePlacementPolicy();

	function createRelay(request: ForwardRequest): AnswerRelay {
		return request.route.kind === 'stream' ? new StreamAnswerRelay(request, wire) : new WholeAnswerRelay(request, wire);
	}

	function findPolicy({digest, generation}: ForwardRequest): PlacementPolicy {
		if (quarantine.isSuspected(digest)) {
			return suspectPolicy;
		}

		return generation ? promptPolicy : servicePolicy;
	}

	function pickUpstream(request: ForwardRequest, tried: ReadonlySet<string>): PlacementCandidate | undefined {
		const {service, generation} = request;
		const candidates = book.listCandidates({service, generation, without: tried});
		const policy = findPolicy(request);
		return candidates.length === 0 ? undefined : policy.pick({id: request.id ?? '', generation}, candidates);
	}

	// An answer to another request shows that the connection carries extra answers; whatever follows on it is in doubt.
	function isOther(request: ForwardRequest, facts: AnswerFacts): boolean {
		return facts.requestId !== undefined && facts.requestId !== request.id;
	}

	async function receive({request, relay, progress}: Forwarding, answer: UpstreamAnswer, {visit, onProgress}: ReceiveOptions): Promise<SendOutcome> {
		const facts = wire.readAnswer(answer.status, answer.headers);
		if (facts.load) {
			visit.noteLoad(facts.load);
		}

		if (isOther(request, facts)) {
			// It says nothing of this request, which was sent: "not run" would be a false promise, and its tokens uncounted.
			progress.mayHaveRun = true;
			answer.abandon();
			return {kind: 'broken', detail: 'The answer belongs to another request', isTorn: false};
		}

		if (facts.isOtherUpstream) {
			answer.abandon();
			visit.noteMoved();
			return {kind: 'not-run', detail: 'Another upstream has its address', reached: 'other'};
		}

		if (facts.hasNotRun) {
			answer.abandon();
			return {kind: 'not-run', detail: `status ${answer.status}`, reached: 'chosen'};
		}

		progress.mayHaveRun = true;
		if (answer.status < 300 && (!facts.isMarked || answer.headers['content-encoding'] !== undefined)) {
			answer.abandon();
			return {kind: 'broken', detail: 'The answer does not bear the upstream\'s mark or is encoded', isTorn: false};
		}

		return relay.relay(answer, {
			onProgress,
			onFirst() {
				progress.firstMs ??= clock.now() - request.startedAt;
				visit.noteFirst();
			},
		});
	}

	// Ends a sending whose upstream went silent, if the request may go elsewhere. Only progress moves the end.
	function createSilenceBound(request: ForwardRequest, relay: AnswerRelay) {
		const span = Math.max(leastSilence, request.route.objective * silenceObjectives);
		const controller = new AbortController();
		const abort = () => {
			if (relay.canGoOn()) {
				controller.abort(new Error(`The upstream was silent for ${span} ms`));
			}
		};

		let progressAt = clock.now();
		// Set anew only when it fires: a stream makes progress dozens of times a second.
		const look = () => {
			const left = progressAt + span - clock.now();
			if (left > 0) {
				timer = setTimeout(look, left);
			} else {
				abort();
			}
		};

		let timer = setTimeout(look, span);
		return {
			signal: controller.signal,
			noteProgress() {
				progressAt = clock.now();
			},
			clear() {
				clearTimeout(timer);
			},
		};
	}

	async function sendTo(forwarding: Forwarding, id: string): Promise<SendOutcome> {
		const {request, relay, progress} = forwarding;
		const upstream = book.get(id);
		if (!upstream) {
			return {kind: 'not-run', detail: 'The upstream has just left', reached: 'none'};
		}

		const visit = book.start(id, request);
		const run = quarantine.begin(request.digest, request.id);
		const silence = createSilenceBound(request, relay);
		const remaining = request.deadline - clock.now();
		const bound = createBound(remaining, [request.signal, silence.signal]);
		try {
			const called = await client.call({
				address: upstream.address,
				method: request.method,
				path: request.path,
				headers: wire.buildForwardHeaders(request.rawHeaders, {
					requestId: request.id, upstream: id, customer: request.customer, remaining, lastEvent: relay.lastEvent, urgency: computeUrgency(request),
				}),
				body: request.body,
				signal: bound.signal,
				isAlone: !relay.canGoOn(),
				isStillWanted: () => book.isLive(id),
			});
			const outcome = called.ok ? await receive(forwarding, called.val, {visit, onProgress: silence.noteProgress}) : readCallFailure(called.val, progress);
			if (outcome.kind === 'broken' && !request.signal.aborted) {
				visit.noteSilent();
			} else if (outcome.kind === 'not-run' && outcome.reached === 'none') {
				visit.noteSilent();
			} else if (outcome.kind === 'failed') {
				visit.noteFailure();
			} else if (outcome.kind === 'complete') {
				run.noteAnswered();
			}

			// The outcome is known to the quarantine before the request may go on elsewhere.
			if (outcome.kind === 'broken' && outcome.isTorn && !bound.signal.aborted && await crashes.hasCrashed(upstream)) {
				run.noteCrash(id);
			}

			return outcome;
		} finally {
			silence.clear();
			bound.clear();
			visit.end();
		}
	}

	function readCallFailure(failure: CallFailure, progress: Progress): SendOutcome {
		if (failure.kind === 'unsent') {
			return {kind: 'not-run', detail: failure.detail, reached: 'none'};
		}

		progress.mayHaveRun = true;
		return {kind: 'broken', detail: failure.detail, isTorn: true};
	}

	function describeEnd(request: ForwardRequest, progress: Progress, detail: string): Failure {
		const isLate = request.deadline - clock.now() < leastTime;
		if (progress.mayHaveRun) {
			return isLate
				? createFailure('deadline-passed', `No upstream answered in time: ${detail}`, {ran: 'unknown'})
				: createFailure('outcome-unknown', `The upstream did not answer: ${detail}`, {ran: 'unknown'});
		}

		return createFailure('overloaded', `No upstream took the request: ${detail}`, {retryAfterMs: fullRetryAfter});
	}

	function finish({relay, progress}: Forwarding, result: ForwardResult, reason?: string): ForwardReport {
		return {
			result, reason, events: relay.events, ...progress,
		};
	}

	function giveUp(forwarding: Forwarding, detail: string): ForwardReport {
		const {request, progress} = forwarding;
		if (request.answer.hasStarted()) {
			request.answer.cut();
			return finish(forwarding, 'cut', detail);
		}

		const failure = describeEnd(request, progress, detail);
		request.answer.refuse(failure);
		return finish(forwarding, failure.ran === 'no' ? 'refused' : 'failed', detail);
	}

	return {
		/** Takes a request to its end; the caller has its final answer when this resolves. */
		async forward(request: ForwardRequest): Promise<ForwardReport> {
			const relay = createRelay(request);
			const retries = findRetries(request.service.id);
			const progress: Progress = {
				sends: 0, mayHaveRun: false, upstream: undefined, firstMs: undefined, waitingTokens: undefined, cachedTokens: undefined, isOnGrace: undefined, viewMs: undefined,
			};
			const forwarding: Forwarding = {request, relay, progress};
			const tried = new Set<string>();
			let arrivals = 0;
			let passOn: (() => void) | undefined;
			let detail = 'no upstream of the service is known';
			retries.earn();
			for (;;) {
				const candidate = pickUpstream(request, tried);
				const isFirst = arrivals === 0;
				if (candidate === undefined || request.deadline - clock.now() < leastTime || progress.sends >= request.route.attempts || !(isFirst || retries.take())) {
					break;
				}

				const {id} = candidate;
				tried.add(id);
				progress.upstream = id;
				progress.waitingTokens = candidate.waitingTokens;
				progress.cachedTokens = candidate.cachedTokens;
				progress.isOnGrace = candidate.isOnGrace;
				progress.viewMs = book.countViewAge();
				const outcome = await sendTo(forwarding, id);
				// The upstream was not sent to if its connection was refused, or if another one has its address. The route bounds
				// how many may run a request, the retry budget how often one arrives anywhere.
				progress.sends += outcome.kind === 'not-run' && outcome.reached !== 'chosen' ? 0 : 1;
				arrivals += outcome.kind === 'not-run' && outcome.reached === 'none' ? 0 : 1;
				if (request.signal.aborted && outcome.kind !== 'complete') {
					detail = String((request.signal.reason as Error).message);
					break;
				}

				if (outcome.kind === 'complete') {
					return finish(forwarding, 'served');
				}

				if (outcome.kind === 'failed') {
					passOn = outcome.passOn;
					detail = 'the upstream failed';
				} else {
					detail = outcome.detail;
				}

				events.write('requestRetried', {
					request: request.id, upstream: id, outcome: outcome.kind, detail,
				});
				if (outcome.kind !== 'not-run' && !(relay.canGoOn() && quarantine.maySendOn(request.digest))) {
					break;
				}
			}

			if (passOn && !request.answer.hasStarted()) {
				passOn();
				return finish(forwarding, 'passed-on', detail);
			}

			return giveUp(forwarding, detail);
		},
	};
}
