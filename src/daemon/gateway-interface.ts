/**
 * Serves callers' requests: finds the route and the customer, reserves tokens,
 * forwards the request to an upstream, and settles the tokens used.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	listPartKeys, type Admission, type BudgetManager, type CallerAnswer, type ForwardReport, type ForwardRequest, type Metrics, type PartQuarantine, type Quarantine, type RequestForwarder, type StreamResolver,
} from '../coordination/mod.js';
import {
	Err, Ok, createFailure, type EventLog, type Failure, type GatewayWire, type Result,
} from '../protocol/mod.js';
import type {RouteTable, StreamOrigin, TokenReservation} from '../state/mod.js';
import {
	computeTimerMs, readBody, readDeclaredBytes, readPendingInput, waitUnlessAborted, waitUntilSent, type ByteHolder, type ByteLimits, type Clock, type ReceivedRequest,
} from '../transport/mod.js';
import {createCallerAnswer} from './caller-answer.js';
import {computeRequestDigest} from './request-digest.js';
import {notReadyRetryAfterMs, resolveRequest, type ResolvedRequest} from './request-resolver.js';
import type {StopWindow} from './stop-window.js';

/** Options of {@linkcode createGatewayInterface}. */
export type CreateGatewayInterfaceOptions = {
	readonly wire: GatewayWire;
	readonly findRouteTable: () => RouteTable | undefined;
	/** Reads views of the deployment and the upstreams again that are older than a request that may have waited to be read for this time, in milliseconds. */
	readonly syncViews: (unreadMs: number) => Promise<void>;
	readonly budgetManager: BudgetManager;
	readonly forwarder: RequestForwarder;
	readonly streamResolver: StreamResolver;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly stopWindow: StopWindow;
	readonly admission: Admission;
	readonly quarantine: Pick<Quarantine, 'admit'>;
	readonly partQuarantine: Pick<PartQuarantine, 'admit' | 'tryTrial'>;
	/** Account of the responses. */
	readonly byteLimits?: ByteLimits;
	/** Account of the requests. */
	readonly requestLimits: Pick<ByteLimits, 'openHolder' | 'canHold'>;
	/** Returns the time after which a caller refused by a stopping gateway may retry, in milliseconds. */
	readonly computeStopRetryAfterMs: () => number;
};

/** Log fields of a request that arrived while the gateway was stopping. */
type ArrivalDuringStop = {
	/** Time since the stop began, in milliseconds. */
	readonly stoppingMs: number;
	/** Position of the request on its connection, starting at 1. */
	readonly onConnection: number;
};

/** Time that a request has left when it is admitted, and its deadline on the monotonic clock, in milliseconds. */
type RequestTimeout = {readonly timeoutMs: number; readonly deadline: number};

/** State of a request while it is being served. */
type RequestContext = {
	readonly answer: CallerAnswer;
	readonly abortController: AbortController;
	readonly arrival: ArrivalDuringStop | undefined;
	/** Longest time for which the request may have waited to be read, in milliseconds. */
	readonly unreadMs: number;
	/** Earliest time at which the request can have arrived, in milliseconds of the monotonic clock. */
	readonly arrivedAt: number;
	/** Set once the route and the customer are known. */
	resolved?: ResolvedRequest;
	/** Set if the body was read before the request was admitted. */
	body?: Uint8Array;
	/** Account of the body; set once it is being read. */
	bodyHolder?: ByteHolder;
	/** Digest shared by all repeats of the request; set once the body has been read. */
	digest?: string;
	/** Set once the request is passed on, so that an upstream may run it. */
	isForwarded: boolean;
	/** Set once an unexpected error has ended the exchange. */
	hasFailed: boolean;
	/** Set once the caller has left, unless the gateway closed the connection. */
	hasCallerLeft: boolean;
};

/** A request that is ready to be forwarded. */
type ReservedRequest = {
	readonly resolved: ResolvedRequest;
	readonly body: Uint8Array;
	readonly digest: string;
	/** What began the stream that the caller resumes; undefined for a new request. */
	readonly origin: StreamOrigin | undefined;
	/** Undefined if the request needs no tokens. */
	readonly reservation: TokenReservation | undefined;
	/** When the request was admitted, and when its final answer is due, in milliseconds of the monotonic clock. */
	readonly startedAt: number;
	readonly deadline: number;
	/** Time that the reservation took, in milliseconds. */
	readonly reserveMs: number;
};

/**
 * Why a request ended without a whole answer: its caller left, the gateway
 * closed its connections at the end of a stop, an unexpected error ended the
 * exchange, or the answer was cut because it could not be completed.
 */
type UnansweredCause = 'caller-left' | 'gateway-closing' | 'unexpected-error' | 'answer-cut';

/** The interface for callers of a gateway. */
export type GatewayInterface = ReturnType<typeof createGatewayInterface>;

/** Share of a request's timeout that it may wait for a claim; a slow store takes 0.5 s per claim. */
const claimTimeoutShare = 0.15;
/** Maximum number of request IDs in one log line; a gateway starts 26 requests per second when 390 daemons share 10,000. */
const maxLoggedRequests = 20;
const callerDisconnected = 'The caller disconnected';
const gatewayClosing = 'This gateway is shutting down';
const connectionClosed = 'The connection closed with an earlier answer';
const requestTimedOut = 'The request timed out';

/** @internal */
function findUnansweredCause({hasFailed, hasCallerLeft, wasCut, isClosing}: Readonly<Record<'hasFailed' | 'hasCallerLeft' | 'wasCut' | 'isClosing', boolean>>): UnansweredCause {
	if (hasFailed) {
		return 'unexpected-error';
	}

	// An answer whose caller has left is cut as well.
	if (hasCallerLeft) {
		return 'caller-left';
	}

	if (wasCut) {
		return 'answer-cut';
	}

	return isClosing ? 'gateway-closing' : 'caller-left';
}

/** @internal Counts the tokens that a request used: its prompt once if it may have run, and the delivered output. */
function computeUsedTokens(request: ForwardRequest, report: ForwardReport): number {
	const {generation, service} = request;
	if (!generation || !report.mayHaveRun) {
		return 0;
	}

	const perEvent = service.engine?.tokensPerEvent ?? 1;
	return generation.promptTokens + Math.min(generation.maxOutputTokens, report.events * perEvent);
}

/**
 * Creates the interface for callers.
 *
 * @example
 * ```ts
 * await startCallerServer(address, createGatewayInterface(options).serve);
 * ```
 *
 * @param options Components of the gateway
 * @returns The interface
 */
export function createGatewayInterface(options: CreateGatewayInterfaceOptions) {
	const {
		wire, findRouteTable, syncViews, budgetManager, forwarder, streamResolver, metrics, clock, events, stopWindow, admission, quarantine, partQuarantine, byteLimits, requestLimits, computeStopRetryAfterMs,
	} = options;
	const runningRequests = new Set<IncomingMessage>();
	const requestCounts = new WeakMap<Socket, number>();
	const latestResponses = new WeakMap<Socket, ServerResponse>();
	const unanswered = new Map<UnansweredCause, number>();
	let isClosing = false;

	async function reserveTokens(resolved: ResolvedRequest, timeoutMs: number): Promise<Result<TokenReservation | undefined, Failure>> {
		const {metadata: {id, generation}, customer} = resolved;
		return generation && customer?.bought !== undefined
			? budgetManager.acquire(customer.id, generation.promptTokens + generation.maxOutputTokens, {timeoutMs: timeoutMs * claimTimeoutShare, request: id, urgency: getPriority(resolved)})
			: Ok(undefined);
	}

	// A request without the ID of an event asks for a stream from its start, which any version may begin.
	function resolveOrigin({metadata: {id, resumes, lastEventId}, route}: ResolvedRequest): Promise<Result<StreamOrigin, Failure>> | undefined {
		const isResumed = route.kind === 'stream' && (resumes ?? lastEventId) !== undefined;
		return isResumed ? streamResolver.resolve({request: id, stream: resumes, route}) : undefined;
	}

	function checkRemainingTime(deadline: number): Result<undefined, Failure> {
		return stopWindow.hasTimeFor(deadline - clock.now())
			? Ok(undefined)
			: Err(createFailure('leaving', 'This gateway will stop before the request could finish', {retryAfterMs: computeStopRetryAfterMs()}));
	}

	// Guards against a response that is started and then aborted at the end of a stop, which the caller sees as a lost
	// request. Reading the body and reserving the tokens can each take seconds, so the remaining time is checked after each
	// of them, the last time just before the request is sent.
	async function reserveTokensInTime(resolved: ResolvedRequest, {timeoutMs, deadline}: RequestTimeout): Promise<Result<TokenReservation | undefined, Failure>> {
		const before = checkRemainingTime(deadline);
		if (before.err) {
			return before;
		}

		const reservation = await reserveTokens(resolved, timeoutMs);
		const after = checkRemainingTime(deadline);
		if (after.ok || reservation.err) {
			return reservation;
		}

		if (reservation.val) {
			budgetManager.settle(reservation.val, 0);
		}

		return after;
	}

	function countConnectionRequests({socket}: IncomingMessage): number {
		const count = (requestCounts.get(socket) ?? 0) + 1;
		requestCounts.set(socket, count);
		return count;
	}

	function describeArrival(request: IncomingMessage): ArrivalDuringStop | undefined {
		const onConnection = countConnectionRequests(request);
		const elapsed = stopWindow.computeElapsedMs();
		return elapsed === undefined ? undefined : {stoppingMs: Math.round(elapsed), onConnection};
	}

	function recordOutcome(request: ForwardRequest, report: ForwardReport, {reserveMs, arrival, unreadMs}: Pick<RequestContext, 'arrival' | 'unreadMs'> & {readonly reserveMs: number}): void {
		const {route, customer, startedAt} = request;
		events.write('requestEnded', {
			request: request.id, route: route.id, version: findRouteTable()?.version, customer, resumes: request.resumes, lastEventId: request.lastEventId, ...report, used: computeUsedTokens(request, report),
			unreadMs: Math.round(unreadMs), reserveMs: Math.round(reserveMs), ms: Math.round(clock.now() - startedAt), ...arrival,
		});
		const labels = {customer: customer ?? '-', class: route.id};
		if (report.result === 'served') {
			metrics.recordServed(labels, {
				firstMs: report.firstMs ?? 0, totalMs: clock.now() - startedAt, gapMs: 0, tokens: computeUsedTokens(request, report),
			});
		} else {
			metrics.recordRefused(labels, report.mayHaveRun ? 'outcome-unknown' : 'overloaded');
		}
	}

	function refuse({answer, arrival, resolved, digest, unreadMs}: RequestContext, id: string | undefined, failure: Failure): void {
		answer.refuse(failure);
		const customer = resolved?.customer?.id;
		const route = resolved?.route.id;
		events.write('requestRefused', {
			request: id, customer, route, type: failure.type, detail: failure.detail, digest, unreadMs: Math.round(unreadMs), ...arrival,
		});
		if (route !== undefined) {
			metrics.recordRefused({customer: customer ?? '-', class: route}, failure.type);
		}
	}

	// Refuses a request that timed out, or whose caller disconnected, before anything was sent to an upstream.
	function refuseUnsent(context: RequestContext, id: string | undefined): void {
		const {message} = context.abortController.signal.reason as Error;
		refuse(context, id, createFailure('overloaded', `The request was not sent to an upstream: ${message}`, {retryAfterMs: notReadyRetryAfterMs}));
	}

	// Returns tokens whose reservation completed after the request had ended.
	async function releaseLateReservation(pending: Promise<Result<TokenReservation | undefined, Failure>>): Promise<void> {
		const reservation = await pending;
		if (reservation.ok && reservation.val) {
			budgetManager.settle(reservation.val, 0);
		}
	}

	// Admits a request with a held part only as the next trial of that part.
	async function checkParts({parts}: ResolvedRequest): Promise<Result<undefined, Failure>> {
		const admitted = partQuarantine.admit(parts);
		return admitted.err && await partQuarantine.tryTrial(parts) ? Ok(undefined) : admitted;
	}

	function getPriority({route, customer}: ResolvedRequest): number {
		return customer?.priority ?? route.priority;
	}

	function computeTimeoutMs({route, metadata}: ResolvedRequest): number {
		return Math.min(route.timeout, metadata.timeoutMs ?? route.timeout);
	}

	function startRequestTimer({abortController}: RequestContext, timeoutMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			abortController.abort(new Error(requestTimedOut));
		}, computeTimerMs(timeoutMs));
	}

	// Returns undefined if the request was refused.
	async function readBodyOrRefuse(request: IncomingMessage, {metadata}: ResolvedRequest, context: RequestContext): Promise<Uint8Array | undefined> {
		const {signal} = context.abortController;
		const maxBytes = findRouteTable()!.deployment.limits.bodyBytes;
		const declaredBytes = readDeclaredBytes(request);
		// A body that would be cut when it has arrived is refused before it is sent.
		if (declaredBytes <= maxBytes && !requestLimits.canHold(declaredBytes)) {
			refuse(context, metadata.id, createFailure('overloaded', 'This gateway has no memory for a body of this size', {retryAfterMs: notReadyRetryAfterMs}));
			return undefined;
		}

		const holder = requestLimits.openHolder('body', detail => {
			context.abortController.abort(new Error(detail));
		});
		context.bodyHolder = holder;
		const body = await waitUnlessAborted(readBody(request, maxBytes, {signal, holder}), signal);
		if (!body) {
			refuseUnsent(context, metadata.id);
			return undefined;
		}

		if (body.err) {
			refuse(context, metadata.id, body.val);
			return undefined;
		}

		return body.val;
	}

	/**
	 * Waits until the answers to the earlier requests of a pipelining caller are sent, if the request may not be repeated: were
	 * one of them cut, the connection would close with it, and an answer to this one could not be sent any more. The body is
	 * read first, as an unread body stops the reading of the connection, and the close by the caller is then not seen. Returns
	 * false if the request was refused.
	 */
	async function waitForTurn(request: IncomingMessage, previousResponse: ServerResponse | undefined, context: RequestContext): Promise<boolean> {
		const {abortController, arrivedAt} = context;
		const resolved = context.resolved!;
		const {kind, isResumable} = resolved.route;
		if (!previousResponse || previousResponse.writableFinished || kind === 'idempotent' || isResumable) {
			return true;
		}

		const timer = startRequestTimer(context, arrivedAt + computeTimeoutMs(resolved) - clock.now());
		try {
			context.body = await readBodyOrRefuse(request, resolved, context);
			if (context.body === undefined) {
				return false;
			}

			await waitUnlessAborted(waitUntilSent(request, previousResponse), abortController.signal);
		} finally {
			clearTimeout(timer);
		}

		if (request.socket.destroyed) {
			abortController.abort(new Error(connectionClosed));
		}

		if (abortController.signal.aborted) {
			refuseUnsent(context, resolved.metadata.id);
			return false;
		}

		return true;
	}

	async function serveWithAdmission(request: IncomingMessage, resolved: ResolvedRequest, context: RequestContext): Promise<void> {
		const partCheck = await checkParts(resolved);
		if (partCheck.err) {
			refuse(context, resolved.metadata.id, partCheck.val);
			return;
		}

		const permit = admission.admit({
			priority: getPriority(resolved), customer: resolved.customer?.id, route: resolved.route.id, timeoutMs: computeTimeoutMs(resolved), elapsedMs: clock.now() - context.arrivedAt,
		});
		if (permit.err) {
			refuse(context, resolved.metadata.id, permit.val);
			return;
		}

		try {
			await serveAdmitted(request, resolved, context);
		} finally {
			permit.val();
		}
	}

	async function serveAdmitted(request: IncomingMessage, resolved: ResolvedRequest, context: RequestContext): Promise<void> {
		const {
			metadata, route, service, customer, parts,
		} = resolved;
		const {answer, abortController, arrival, unreadMs, arrivedAt} = context;
		const startedAt = clock.now();
		const deadline = arrivedAt + computeTimeoutMs(resolved);
		const timeoutMs = deadline - startedAt;
		const timer = startRequestTimer(context, timeoutMs);
		try {
			const body = context.body ?? await readBodyOrRefuse(request, resolved, context);
			if (body === undefined) {
				return;
			}

			const digest = computeRequestDigest({
				host: request.headers.host, method: request.method, path: request.url, customer: customer?.id, body,
			});
			context.digest = digest;
			const quarantineCheck = quarantine.admit(digest);
			if (quarantineCheck.err) {
				refuse(context, metadata.id, quarantineCheck.val);
				return;
			}

			const pendingOrigin = resolveOrigin(resolved);
			const origin = pendingOrigin && await waitUnlessAborted(pendingOrigin, abortController.signal);
			if (pendingOrigin && !origin) {
				refuseUnsent(context, metadata.id);
				return;
			}

			if (origin?.err) {
				refuse(context, metadata.id, origin.val);
				return;
			}

			const bodyReadAt = clock.now();
			const pendingReservation = reserveTokensInTime(resolved, {timeoutMs, deadline});
			const reservation = await waitUnlessAborted(pendingReservation, abortController.signal);
			const reserveMs = clock.now() - bodyReadAt;
			if (!reservation) {
				void releaseLateReservation(pendingReservation);
				refuseUnsent(context, metadata.id);
				return;
			}

			if (reservation.err) {
				refuse(context, metadata.id, reservation.val);
				return;
			}

			await serveReserved(request, {
				resolved, body, digest, origin: origin?.val, reservation: reservation.val, startedAt, deadline, reserveMs,
			}, context);
		} finally {
			clearTimeout(timer);
		}
	}

	function buildForwardRequest(request: IncomingMessage, {resolved, body, digest, origin, startedAt, deadline}: ReservedRequest, {abortController, answer}: RequestContext): ForwardRequest {
		const {metadata, route, service, customer, parts} = resolved;
		const finalService = origin ? findRouteTable()?.findService(origin.service) ?? service : service;
		return {
			id: metadata.id,
			digest,
			route,
			service: finalService,
			parts: finalService === service ? parts : listPartKeys(finalService.id, metadata.generation),
			customer: customer?.id,
			priority: getPriority(resolved),
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			rawHeaders: request.rawHeaders,
			body: body.length > 0 ? body : undefined,
			generation: metadata.generation,
			lastEventId: metadata.lastEventId,
			resumes: metadata.resumes,
			origin,
			startedAt,
			deadline,
			signal: abortController.signal,
			answer,
		};
	}

	// An exception before the request is forwarded uses no tokens; one after that may have used all that were reserved.
	async function serveReserved(request: IncomingMessage, reserved: ReservedRequest, context: RequestContext): Promise<void> {
		const {resolved, reservation, reserveMs} = reserved;
		const {abortController, arrival, unreadMs} = context;
		let used = 0;
		try {
			// Guards against work for callers who have disconnected: a gateway that is seconds behind would forward every
			// queued request, and upstreams would run abandoned requests while callers who still wait are delayed.
			await readPendingInput();
			if (abortController.signal.aborted) {
				refuseUnsent(context, resolved.metadata.id);
				return;
			}

			// Once the request may have run, it can no longer be refused to free its body.
			if (!context.bodyHolder!.tryProtect()) {
				refuse(context, resolved.metadata.id, createFailure('overloaded', 'The bodies of running requests take the memory of this gateway', {retryAfterMs: notReadyRetryAfterMs}));
				return;
			}

			const forwardRequest = buildForwardRequest(request, reserved, context);
			context.isForwarded = true;
			used = reservation?.amount ?? 0;
			const report = await forwarder.forward(forwardRequest);
			used = computeUsedTokens(forwardRequest, report);
			recordOutcome(forwardRequest, report, {reserveMs, arrival, unreadMs});
		} finally {
			if (reservation) {
				budgetManager.settle(reservation, used);
			}
		}
	}

	// Only this exchange ends, and its caller learns whether the request may have run.
	function failExchange({answer, isForwarded}: RequestContext, error: unknown): void {
		if (answer.hasEnded()) {
			return;
		}

		if (answer.hasStarted()) {
			answer.abort();
			return;
		}

		const detail = `The gateway met an unexpected error: ${(error as Error).message}`;
		answer.refuse(isForwarded
			? createFailure('outcome-unknown', detail, {ran: 'unknown'})
			: createFailure('unexpected-error', detail, {retryAfterMs: notReadyRetryAfterMs}));
	}

	function recordUnanswered(request: IncomingMessage, response: ServerResponse, {answer, isForwarded, hasFailed, hasCallerLeft, unreadMs}: RequestContext): void {
		if (response.writableFinished) {
			return;
		}

		const cause = findUnansweredCause({
			hasFailed, hasCallerLeft, wasCut: answer.wasCut(), isClosing,
		});
		unanswered.set(cause, (unanswered.get(cause) ?? 0) + 1);
		if (cause !== 'caller-left') {
			events.write('requestUnanswered', {
				request: wire.readRequestId(request.headers), cause, wasForwarded: isForwarded, hasStarted: response.headersSent, unreadMs: Math.round(unreadMs),
			});
		}
	}

	return {
		countRunning: () => runningRequests.size,

		/** Returns the number of requests that ended without a whole answer since the start, by cause. */
		countUnanswered: (): ReadonlyMap<string, number> => unanswered,

		/** Returns the number of running requests and the IDs of some of them, as log fields. */
		describeRunning: () => ({running: runningRequests.size, requests: [...runningRequests].slice(0, maxLoggedRequests).map(({headers}) => wire.readRequestId(headers)).join(' ')}),

		/** Records that the gateway closes its connections, so that the close is not attributed to the callers. */
		markClosing(): void {
			isClosing = true;
		},

		/** Serves one request and resolves when its response has been sent; never rejects. */
		async serve(request: IncomingMessage, response: ServerResponse, {unreadMs}: ReceivedRequest): Promise<void> {
			const answer = createCallerAnswer(response, wire, byteLimits);
			const abortController = new AbortController();
			const context: RequestContext = {
				answer, abortController, arrival: describeArrival(request), unreadMs, arrivedAt: clock.now() - unreadMs, isForwarded: false, hasFailed: false, hasCallerLeft: false,
			};
			const abortRequest = () => {
				context.hasCallerLeft ||= !isClosing && !answer.wasCut();
				abortController.abort(new Error(isClosing ? gatewayClosing : callerDisconnected));
			};

			response.on('close', () => {
				if (!response.writableFinished) {
					abortRequest();
				}
			});
			response.on('error', error => {
				events.write('callerLost', {detail: error.message});
			});
			// The end of the caller's side of the socket is seen some event loop iterations before the response closes.
			request.socket.on('end', abortRequest);
			runningRequests.add(request);
			const previousResponse = latestResponses.get(request.socket);
			latestResponses.set(request.socket, response);
			try {
				await syncViews(unreadMs);
				const resolved = resolveRequest(request, {wire, table: findRouteTable()});
				if (resolved.err) {
					refuse(context, wire.readRequestId(request.headers), resolved.val);
				} else {
					context.resolved = resolved.val;
					if (await waitForTurn(request, previousResponse, context)) {
						await serveWithAdmission(request, resolved.val, context);
					}
				}
			} catch (error) {
				events.write('requestFailed', {request: wire.readRequestId(request.headers), detail: (error as Error).stack ?? String(error)});
				context.hasFailed = true;
				failExchange(context, error);
			} finally {
				context.bodyHolder?.close();
				await waitUntilSent(request, response);
				recordUnanswered(request, response, context);
				request.socket.off('end', abortRequest);
				runningRequests.delete(request);
			}
		},
	};
}
