/**
 * HTTP interface of an entry daemon for callers: chat completions and plain
 * services.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type restana from 'restana';
import type {
	LogFollower, Metrics, RequestRouter, RoutedCall, Self,
} from '../coordination/mod.js';
import {
	Err, Ok, Work, computeMaxPromptTokens, computeDigest, createFailure, formatProblem,
	type ChatRequest, type EntrySettings, type EventLog, type Failure, type Result,
} from '../protocol/mod.js';
import type {AnswerEnd} from '../state/mod.js';
import {
	readBody, sendFailure, sendJson, waitUntilSent, type ByteLimits, type Clock,
} from '../transport/mod.js';
import {createCallerIdentity, type Caller} from './caller-identity.js';
import {
	formatCompletion, formatStreamEvent, parseChunk, type ChatChunk,
} from './chat-answer.js';
import {parseChat, parseJson} from './parse-body.js';

/** Options of {@linkcode createCallerInterface}. */
export type CreateCallerInterfaceOptions = {
	readonly self: Self;
	/** Returns true late in a stop, when the load balancer has had time to notice that this entry daemon is not ready. */
	readonly isRefusingNew: () => boolean;
	readonly settings: EntrySettings['requests'];
	readonly follower: LogFollower;
	readonly router: RequestRouter;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Account of the bodies. */
	readonly requestLimits: Pick<ByteLimits, 'openHolder'>;
};

/** Clock times of the first and the latest chunk, and the longest time between two chunks. */
type Timing = {firstAt?: number; lastAt?: number; gapMs: number};

const tokenTimeoutMs = 5000;
/** Length of the prompt prefix by which similar prompts are routed to the same upstream daemon. */
const prefixCharacters = 512;
const keepAliveIntervalMs = 5000;
/** Time after which a caller whose body does not fit into the memory may try again. */
const bodyRetryAfterMs = 1000;

/**
 * Creates the routes for callers.
 *
 * @example
 * ```ts
 * await startHttpServer(address, createCallerInterface(options).addRoutes);
 * ```
 *
 * @param options Log, router and metrics
 * @returns The routes, and a function that counts the running requests
 */
export function createCallerInterface(options: CreateCallerInterfaceOptions) {
	const {
		self, settings, follower, router, metrics, clock, events,
	} = options;
	const {identifyCaller} = createCallerIdentity(options);
	const running = new Set<ServerResponse>();

	function refuse(response: ServerResponse, failure: Failure, caller?: Caller): void {
		if (caller) {
			metrics.recordRefused({customer: caller.key.customer, class: caller.class}, failure.type);
		}

		events.write('requestRefused', {type: failure.type, customer: caller?.key.customer, ran: failure.ran});
		if (!response.headersSent) {
			sendFailure(response, failure);
		}
	}

	function recordServed(caller: Caller, timing: Timing, end: AnswerEnd): void {
		const now = clock.now();
		metrics.recordServed({customer: caller.key.customer, class: caller.class}, {
			firstMs: (timing.firstAt ?? now) - caller.startedAt, totalMs: now - caller.startedAt, gapMs: timing.gapMs, tokens: end.promptTokens + end.completionTokens,
		});
	}

	function recordChunk(timing: Timing): void {
		const now = clock.now();
		timing.firstAt ??= now;
		timing.gapMs = Math.max(timing.gapMs, now - (timing.lastAt ?? now));
		timing.lastAt = now;
	}

	function buildChatCall(caller: Caller, chat: ChatRequest): Result<RoutedCall, Failure> {
		const model = follower.state().configuration.findModel(chat.model);
		if (!model) {
			return Err(createFailure('unknown-model', `Model "${chat.model}" is not configured`));
		}

		const maxTokens = Math.min(chat.max_completion_tokens ?? chat.max_tokens ?? model.maxTokens, model.maxTokens);
		/* eslint-disable @typescript-eslint/naming-convention */
		const payload = Buffer.from(JSON.stringify({
			...chat,
			max_tokens: maxTokens,
			max_completion_tokens: undefined,
			stream: true,
			stream_options: {include_usage: true, continuous_usage_stats: true},
		}));
		/* eslint-enable @typescript-eslint/naming-convention */
		return Ok({
			requestId: caller.createRequestId(chat.model),
			isKeyed: caller.isKeyed,
			work: Work.MODEL,
			target: chat.model,
			mayRepeat: true,
			budget: caller.key.budget,
			worstCaseTokens: computeMaxPromptTokens(chat) + maxTokens,
			priority: caller.priority,
			payload,
			prefix: computeDigest(JSON.stringify(chat.messages).slice(0, prefixCharacters)),
			deadline: caller.deadline,
			tokenTimeoutMs,
			signal: caller.signal,
		});
	}

	// Passes each chunk of the answer to `onChunk`, and returns the end of the answer or the failure.
	async function runCall(call: RoutedCall, onChunk: (chunk: Uint8Array) => void): Promise<Result<AnswerEnd, Failure>> {
		const chunks = router.run(call);
		for (let item = await chunks.next(); ; item = await chunks.next()) {
			if (item.done) {
				return item.value;
			}

			onChunk(item.value);
		}
	}

	async function sendWholeResponse(call: RoutedCall, caller: Caller, response: ServerResponse): Promise<void> {
		const chunks: ChatChunk[] = [];
		const timing: Timing = {gapMs: 0};
		// Nothing has been sent to the caller yet, so a run that fails part-way can be replaced by another one.
		const discardChunks = () => {
			chunks.length = 0;
		};

		const result = await runCall({...call, discardChunks}, chunk => {
			recordChunk(timing);
			chunks.push(parseChunk(chunk));
		});
		if (result.err) {
			refuse(response, result.val, caller);
			return;
		}

		recordServed(caller, timing, result.val);
		sendJson(response, formatCompletion({id: call.requestId, model: call.target}, {chunks, end: result.val}));
	}

	// Sends comments while a stream has no new events, so that proxies do not close its connection as idle.
	function startKeepAlive(response: ServerResponse): () => void {
		const timer = setInterval(() => {
			if (response.headersSent) {
				response.write(': waiting\n\n');
			}
		}, keepAliveIntervalMs);
		return () => {
			clearInterval(timer);
		};
	}

	// The status of a started stream cannot change. A failure is sent as the last event instead, without `[DONE]`.
	function endStream(response: ServerResponse, result: Result<AnswerEnd, Failure>, caller: Caller): void {
		if (result.ok) {
			response.end('data: [DONE]\n\n');
			return;
		}

		refuse(response, result.val, caller);
		response.end(`data: ${JSON.stringify({error: formatProblem(result.val)})}\n\n`);
	}

	async function sendStreamResponse(call: RoutedCall, caller: Caller, {response, shouldIncludeUsage}: {response: ServerResponse; shouldIncludeUsage: boolean}): Promise<void> {
		const timing: Timing = {gapMs: 0};
		const stopKeepAlive = startKeepAlive(response);
		const result = await runCall(call, chunk => {
			recordChunk(timing);
			if (!response.headersSent) {
				response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
			}

			const text = formatStreamEvent(parseChunk(chunk), {shouldIncludeUsage});
			if (text !== undefined) {
				response.write(text);
			}
		});
		stopKeepAlive();
		if (result.err && !response.headersSent) {
			refuse(response, result.val, caller);
			return;
		}

		if (result.ok) {
			recordServed(caller, timing, result.val);
		}

		endStream(response, result, caller);
	}

	async function readHeldBody(request: IncomingMessage, response: ServerResponse): Promise<Result<Uint8Array, Failure>> {
		const controller = new AbortController();
		const holder = options.requestLimits.openHolder('body', () => {
			controller.abort();
		});
		response.once('close', holder.close);
		const body = await readBody(request, settings.largestBody, {signal: controller.signal, holder});
		const wasCut = controller.signal.aborted || (body.ok && !holder.tryProtect());
		return wasCut ? Err(createFailure('overloaded', 'Request bodies take the memory of this daemon', {retryAfterMs: bodyRetryAfterMs})) : body;
	}

	async function handleChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const caller = identifyCaller(request, response);
		if (caller.err) {
			refuse(response, caller.val);
			return;
		}

		const body = await readHeldBody(request, response);
		const chat = body.andThen(bytes => parseJson(bytes)).andThen(value => parseChat(value));
		const call = chat.andThen(value => buildChatCall(caller.val, value));
		if (chat.err || call.err) {
			refuse(response, (chat.err ? chat : call).val as Failure, caller.val);
			return;
		}

		await (chat.val.stream
			? sendStreamResponse(call.val, caller.val, {response, shouldIncludeUsage: chat.val.stream_options?.include_usage === true})
			: sendWholeResponse(call.val, caller.val, response));
	}

	function buildServiceCall(caller: Caller, name: string, payload: Uint8Array): Result<RoutedCall, Failure> {
		const service = follower.state().configuration.findService(name);
		if (!service) {
			return Err(createFailure('unknown-service', `Service "${name}" is not configured`));
		}

		const json = parseJson(payload);
		if (json.err) {
			return json;
		}

		return Ok({
			requestId: caller.createRequestId(name),
			isKeyed: caller.isKeyed,
			work: Work.SERVICE,
			target: name,
			mayRepeat: service.idempotent,
			budget: caller.key.budget,
			worstCaseTokens: service.cost,
			priority: caller.priority,
			payload,
			prefix: '',
			deadline: caller.deadline,
			tokenTimeoutMs,
			// A non-idempotent call continues after its caller has disconnected; the caller's retry receives its answer.
			signal: service.idempotent ? caller.signal : new AbortController().signal,
		});
	}

	async function handleService(request: IncomingMessage, response: ServerResponse, name: string): Promise<void> {
		const caller = identifyCaller(request, response);
		if (caller.err) {
			refuse(response, caller.val);
			return;
		}

		const body = await readHeldBody(request, response);
		const call = body.andThen(bytes => buildServiceCall(caller.val, name, bytes));
		if (call.err) {
			refuse(response, call.val, caller.val);
			return;
		}

		const chunks: Uint8Array[] = [];
		const result = await runCall(call.val, chunk => {
			chunks.push(chunk);
		});
		if (result.err) {
			refuse(response, result.val, caller.val);
			return;
		}

		recordServed(caller.val, {gapMs: 0}, result.val);
		response.writeHead(result.val.status, {'content-type': 'application/json'});
		response.end(Buffer.concat(chunks));
	}

	// Counts the request as running until its response has been handed to the operating system, so that a stop does not
	// truncate it.
	async function trackRequest(request: IncomingMessage, response: ServerResponse, handling: Promise<void>): Promise<void> {
		running.add(response);
		if (self.isLeaving) {
			response.setHeader('connection', 'close');
		}

		try {
			await handling;
			await waitUntilSent(request, response);
		} catch (error) {
			refuse(response, createFailure('internal', `The entry daemon failed to handle the request: ${(error as Error).message}`, {ran: 'unknown'}));
			response.destroy();
		} finally {
			running.delete(response);
		}
	}

	return {
		addRoutes(service: restana.Service<restana.Protocol.HTTP>): void {
			service.post('/v1/chat/completions', async (request, response) => trackRequest(request, response, handleChat(request, response)));
			service.post('/v1/services/:name', async (request, response) => trackRequest(request, response, handleService(request, response, request.params.name ?? '')));
			service.get('/v1/models', (_request, response) => {
				const data = [...follower.state().configuration.listModels()].map(model => ({id: model.name, object: 'model'}));
				sendJson(response, {object: 'list', data});
			});
			service.get('/healthz', (_request, response) => {
				sendJson(response, {alive: true});
			});
			service.get('/readyz', (_request, response) => {
				if (self.isLeaving) {
					response.setHeader('connection', 'close');
				}

				if (follower.isReady() && !self.isLeaving) {
					sendJson(response, {ready: true});
				} else {
					sendFailure(response, createFailure(self.isLeaving ? 'leaving' : 'not-ready', `Entry daemon "${self.id}" does not accept requests`, {retryAfterMs: 1000}));
				}
			});
		},

		countRunning: () => running.size,
	};
}
