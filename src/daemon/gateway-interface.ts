/**
 * Serves callers' requests: finds route and customer, reserves tokens, has
 * the request forwarded, and settles what it used.
 *
 * @module
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {
	Admission, BudgetManager, CallerAnswer, ForwardReport, ForwardRequest, Metrics, Quarantine, RequestForwarder,
} from '../coordination/mod.js';
import {
	Err, Ok, createFailure, type GatewayCustomer, type EventLog, type Failure, type GatewayWire, type RequestMetadata, type Result, type Route, type GatewayService,
} from '../protocol/mod.js';
import type {RouteTable, TokenReservation} from '../state/mod.js';
import {
	readPendingInput, readBody, waitUnlessAborted, waitUntilSent, type Clock,
} from '../transport/mod.js';
import {createCallerAnswer} from './caller-answer.js';
import {computeRequestDigest} from './request-digest.js';
import type {StopWindow} from './stop-window.js';

/** Options of {@linkcode createGatewayInterface}. */
export type CreateGatewayInterfaceOptions = {
	readonly wire: GatewayWire;
	readonly findTable: () => RouteTable | undefined;
	readonly keeper: BudgetManager;
	readonly forwarder: RequestForwarder;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly stopWindow: StopWindow;
	readonly admission: Admission;
	readonly quarantine: Pick<Quarantine, 'admit'>;
	/** When a caller may come back whom a stopping gateway refuses, in milliseconds. */
	readonly findLeavingRetryAfter: () => number;
};

/** How a request came to a gateway that is stopping. */
type LateArrival = {
	/** Milliseconds since the stop began. */
	readonly stoppingMs: number;
	/** Which request of its connection it is, from 1. */
	readonly onConnection: number;
};

/** A request whose route and customer are known. */
type Admitted = {
	readonly facts: RequestMetadata;
	readonly route: Route;
	readonly service: GatewayService;
	readonly customer: GatewayCustomer | undefined;
};

/** How long a request may take, and when that ends on the steady clock, in milliseconds. */
type TimeLimit = {readonly span: number; readonly deadline: number};

/** What a request that is being served ends by, and how it came. */
type Serving = {
	readonly answer: CallerAnswer;
	readonly leaving: AbortController;
	readonly arrival: LateArrival | undefined;
	/** What makes it the same request when it is sent again; known once its body is read. */
	digest?: string;
};

/** Serves callers' requests. */
export type GatewayInterface = ReturnType<typeof createGatewayInterface>;

/** When a caller may come back to a gateway that has just started, in milliseconds. */
const notReadyRetryAfter = 1000;
/** Share of a request's time that it may wait for a claim; a store that is slow takes 0.5 s for one. */
const claimShare = 0.15;
/** Requests that one line of the log names; a gateway begins 26 a second at 10,000 over 390 daemons. */
const namedRequests = 20;
const callerLeft = 'The caller has left';
const gatewayEnds = 'This gateway ends';
const deadlinePassed = 'The time limit has passed';

/** @internal Picks a service by weight; the request's id decides, so that a repeated look picks the same. */
function pickService(route: Route, id: string): string {
	const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
	let hash = 0;
	for (const character of id) {
		hash = ((hash * 31) + character.codePointAt(0)!) % 1_000_003;
	}

	let point = (hash / 1_000_003) * total;
	for (const target of route.targets) {
		point -= target.weight;
		if (point < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)!.service;
}

/** @internal The tokens that a request used: its prompt once if it may have been read, and what was delivered. */
function computeUsed(request: ForwardRequest, report: ForwardReport): number {
	const {generation, service} = request;
	if (!generation || !report.mayHaveRun) {
		return 0;
	}

	const perEvent = service.engine?.tokensPerEvent ?? 1;
	return generation.promptTokens + Math.min(generation.maxOutputTokens, report.events * perEvent);
}

/**
 * Creates the interface to callers.
 *
 * @example
 * ```ts
 * await startCallerServer(address, createGatewayInterface(options).serve);
 * ```
 *
 * @param options Parts of the gateway
 * @returns The interface
 */
export function createGatewayInterface(options: CreateGatewayInterfaceOptions) {
	const {
		wire, findTable, keeper, forwarder, metrics, clock, events, stopWindow, admission, quarantine, findLeavingRetryAfter,
	} = options;
	const running = new Set<IncomingMessage>();
	const served = new WeakMap<Socket, number>();
	let isEnding = false;

	function identify(table: RouteTable, route: Route, key: string | undefined): Result<GatewayCustomer | undefined, Failure> {
		const customer = key === undefined ? undefined : table.findCustomerByKey(key);
		const isAllowed = customer !== undefined || !table.shouldRequireKeys || route.isOpen;
		return isAllowed
			? Ok(customer)
			: Err(createFailure('unknown-key', 'The request carries no key of a customer'));
	}

	function admit(request: IncomingMessage): Result<Admitted, Failure> {
		const table = findTable();
		if (!table) {
			return Err(createFailure('not-ready', 'This gateway has no configuration yet', {retryAfterMs: notReadyRetryAfter}));
		}

		const facts = wire.readRequest(request.headers);
		if (facts.err) {
			return facts;
		}

		const path = (request.url ?? '/').split('?', 1)[0]!;
		const route = table.findRoute(request.headers.host ?? '', path);
		if (!route) {
			return Err(createFailure('unknown-route', `No route has the host "${request.headers.host ?? ''}" and begins "${path}"`));
		}

		const customer = identify(table, route, facts.val.key);
		if (customer.err) {
			return customer;
		}

		const id = pickService(route, facts.val.id ?? '');
		const service = table.findService(id);
		return service
			? Ok({
				facts: facts.val, route, service, customer: customer.val,
			})
			: Err(createFailure('no-upstream', `Service "${id}" is not configured`, {retryAfterMs: notReadyRetryAfter}));
	}

	async function reserve({facts, customer}: Admitted, span: number): Promise<Result<TokenReservation | undefined, Failure>> {
		const {generation} = facts;
		return generation && customer?.bought !== undefined
			? keeper.acquire(customer.id, generation.promptTokens + generation.maxOutputTokens, {timeoutMs: span * claimShare, request: facts.id})
			: Ok(undefined);
	}

	function checkTimeLeft(deadline: number): Result<undefined, Failure> {
		return stopWindow.hasTimeFor(deadline - clock.now())
			? Ok(undefined)
			: Err(createFailure('leaving', 'This gateway stops before the request could end', {retryAfterMs: findLeavingRetryAfter()}));
	}

	// Guards against an answer that is begun and then cut by the end of a stop, which shows as a lost request. The body and
	// the tokens can each take seconds of the stop, so what is left is looked at after both, last before the sending.
	async function reserveInTime(admitted: Admitted, {span, deadline}: TimeLimit): Promise<Result<TokenReservation | undefined, Failure>> {
		const before = checkTimeLeft(deadline);
		if (before.err) {
			return before;
		}

		const reservation = await reserve(admitted, span);
		const after = checkTimeLeft(deadline);
		if (after.ok || reservation.err) {
			return reservation;
		}

		if (reservation.val) {
			keeper.settle(reservation.val, 0);
		}

		return after;
	}

	function countOnConnection({socket}: IncomingMessage): number {
		const count = (served.get(socket) ?? 0) + 1;
		served.set(socket, count);
		return count;
	}

	function describeArrival(request: IncomingMessage): LateArrival | undefined {
		const onConnection = countOnConnection(request);
		const elapsed = stopWindow.countElapsed();
		return elapsed === undefined ? undefined : {stoppingMs: Math.round(elapsed), onConnection};
	}

	function note(request: ForwardRequest, report: ForwardReport, {reserveMs, arrival}: {readonly reserveMs: number; readonly arrival: LateArrival | undefined}): void {
		const {route, customer, startedAt} = request;
		events.write('requestEnded', {
			request: request.id, route: route.id, version: findTable()?.version, customer, ...report, used: computeUsed(request, report),
			reserveMs: Math.round(reserveMs), ms: Math.round(clock.now() - startedAt), ...arrival,
		});
		const labels = {customer: customer ?? '-', class: route.id};
		if (report.result === 'served') {
			metrics.recordServed(labels, {
				firstMs: report.firstMs ?? 0, totalMs: clock.now() - startedAt, gapMs: 0, tokens: computeUsed(request, report),
			});
		} else {
			metrics.recordRefused(labels, report.mayHaveRun ? 'outcome-unknown' : 'overloaded');
		}
	}

	function refuse({answer, arrival, digest}: Serving, id: string | undefined, failure: Failure): void {
		answer.refuse(failure);
		events.write('requestRefused', {
			request: id, type: failure.type, detail: failure.detail, digest, ...arrival,
		});
	}

	// The request has ended by its time limit, or its caller has left, before anything was sent.
	function refuseUnsent(serving: Serving, id: string | undefined): void {
		const {message} = serving.leaving.signal.reason as Error;
		refuse(serving, id, createFailure('overloaded', `Nothing was sent: ${message}`, {retryAfterMs: notReadyRetryAfter}));
	}

	// Gives tokens back that came after the request had ended.
	async function returnLate(pending: Promise<Result<TokenReservation | undefined, Failure>>): Promise<void> {
		const late = await pending;
		if (late.ok && late.val) {
			keeper.settle(late.val, 0);
		}
	}

	function findPriority({route, customer}: Admitted): number {
		return customer?.priority ?? route.priority;
	}

	function findSpan({route, facts}: Admitted): number {
		return Math.min(route.timeout, facts.timeoutMs ?? route.timeout);
	}

	async function serveInTurn(request: IncomingMessage, admitted: Admitted, serving: Serving): Promise<void> {
		const entered = admission.admit({priority: findPriority(admitted), timeoutMs: findSpan(admitted)});
		if (entered.err) {
			refuse(serving, admitted.facts.id, entered.val);
			return;
		}

		try {
			await serveAdmitted(request, admitted, serving);
		} finally {
			entered.val();
		}
	}

	async function serveAdmitted(request: IncomingMessage, admitted: Admitted, serving: Serving): Promise<void> {
		const {facts, route, service, customer} = admitted;
		const {answer, leaving, arrival} = serving;
		const startedAt = clock.now();
		const span = findSpan(admitted);
		const deadline = startedAt + span;
		const timer = setTimeout(() => {
			leaving.abort(new Error(deadlinePassed));
		}, span);
		try {
			const limit = findTable()!.deployment.limits.bodyBytes;
			const body = await waitUnlessAborted(readBody(request, limit), leaving.signal);
			if (!body) {
				refuseUnsent(serving, facts.id);
				return;
			}

			if (body.err) {
				refuse(serving, facts.id, body.val);
				return;
			}

			const digest = computeRequestDigest({
				host: request.headers.host, method: request.method, path: request.url, customer: customer?.id, body: body.val,
			});
			serving.digest = digest;
			const released = quarantine.admit(digest);
			if (released.err) {
				refuse(serving, facts.id, released.val);
				return;
			}

			const readAt = clock.now();
			const pending = reserveInTime(admitted, {span, deadline});
			const reservation = await waitUnlessAborted(pending, leaving.signal);
			const reserveMs = clock.now() - readAt;
			if (!reservation) {
				void returnLate(pending);
				refuseUnsent(serving, facts.id);
				return;
			}

			if (reservation.err) {
				refuse(serving, facts.id, reservation.val);
				return;
			}

			// Guards against work for callers who have left: a gateway that fell behind by seconds would send on each request
			// that it finds waiting, and upstreams would work for nobody while those who still wait are served later.
			await readPendingInput();
			if (leaving.signal.aborted) {
				if (reservation.val) {
					keeper.settle(reservation.val, 0);
				}

				refuseUnsent(serving, facts.id);
				return;
			}

			const forward: ForwardRequest = {
				id: facts.id,
				digest,
				route,
				service,
				customer: customer?.id,
				priority: findPriority(admitted),
				method: request.method ?? 'GET',
				path: request.url ?? '/',
				rawHeaders: request.rawHeaders,
				body: body.val.length > 0 ? body.val : undefined,
				generation: facts.generation,
				lastEventId: facts.lastEventId,
				startedAt,
				deadline,
				signal: leaving.signal,
				answer,
			};
			const report = await forwarder.forward(forward);
			if (reservation.val) {
				keeper.settle(reservation.val, computeUsed(forward, report));
			}

			note(forward, report, {reserveMs, arrival});
		} finally {
			clearTimeout(timer);
		}
	}

	return {
		countRunning: () => running.size,

		/** The running requests, for the log. */
		describeRunning: () => ({running: running.size, requests: [...running].slice(0, namedRequests).map(({headers}) => wire.readRequestId(headers)).join(' ')}),

		/** Notes that connections are now cut, so that callers are not said to have left. */
		noteEnding(): void {
			isEnding = true;
		},

		/** Answers one request and resolves when its answer is sent; never rejects. */
		async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
			const answer = createCallerAnswer(response, wire);
			const leaving = new AbortController();
			response.on('close', () => {
				if (!response.writableFinished) {
					leaving.abort(new Error(isEnding ? gatewayEnds : callerLeft));
				}
			});
			response.on('error', error => {
				events.write('callerLost', {detail: error.message});
			});
			// The end of the caller's side is read before the response closes, which takes further rounds of the event loop.
			const noteEnd = () => {
				leaving.abort(new Error(isEnding ? gatewayEnds : callerLeft));
			};

			request.socket.on('end', noteEnd);
			const serving: Serving = {answer, leaving, arrival: describeArrival(request)};
			running.add(request);
			try {
				const admitted = admit(request);
				if (admitted.err) {
					refuse(serving, wire.readRequestId(request.headers), admitted.val);
				} else {
					await serveInTurn(request, admitted.val, serving);
				}
			} catch (error) {
				// The caller broke off while its body was read, or the gateway is at fault; either way only this request ends.
				events.write('requestFailed', {request: wire.readRequestId(request.headers), detail: (error as Error).stack ?? String(error)});
				answer.abort();
			} finally {
				await waitUntilSent(request, response);
				request.socket.off('end', noteEnd);
				running.delete(request);
			}
		},
	};
}
