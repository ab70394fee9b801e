/**
 * What an entry daemon answers callers: chat completions and plain services.
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
	readBody, sendFailure, sendJson, waitUntilSent, type Clock,
} from '../transport/mod.js';
import {createCallerIdentity, type Caller} from './caller-identity.js';
import {
	formatCompletion, formatStreamEvent, parseChunk, type ChatChunk,
} from './chat-answer.js';
import {parseChat, parseJson} from './parse-body.js';

/** Options of {@linkcode createCallerInterface}. */
export type CreateCallerInterfaceOptions = {
	readonly self: Self;
	/** True late in a stop, when the balancer has had time to see that this entry is not ready. */
	readonly refusesNew: () => boolean;
	readonly settings: EntrySettings['requests'];
	readonly follower: LogFollower;
	readonly router: RequestRouter;
	readonly metrics: Metrics;
	readonly clock: Clock;
	readonly events: EventLog;
};

type Timing = {firstAt?: number; lastAt?: number; gapMs: number};

const patience = 5000;
const prefixLength = 512;
const keepAliveEvery = 5000;

/**
 * Creates the routes for callers.
 *
 * @example
 * ```ts
 * await startHttpServer(address, createCallerInterface(options).addRoutes);
 * ```
 *
 * @param options Log, router and metrics
 * @returns The routes, and the count of running requests
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

	function noteServed(caller: Caller, timing: Timing, end: AnswerEnd): void {
		const now = clock.now();
		metrics.recordServed({customer: caller.key.customer, class: caller.class}, {
			firstMs: (timing.firstAt ?? now) - caller.startedAt, totalMs: now - caller.startedAt, gapMs: timing.gapMs, tokens: end.promptTokens + end.completionTokens,
		});
	}

	function noteChunk(timing: Timing): void {
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
			requestId: caller.requestId(chat.model),
			isKeyed: caller.isKeyed,
			work: Work.MODEL,
			target: chat.model,
			mayRepeat: true,
			budget: caller.key.budget,
			worstCase: computeMaxPromptTokens(chat) + maxTokens,
			priority: caller.priority,
			payload,
			prefix: computeDigest(JSON.stringify(chat.messages).slice(0, prefixLength)),
			deadline: caller.deadline,
			patience,
			signal: caller.signal,
		});
	}

	// Collects a whole answer, or returns why there is none.
	async function collect(call: RoutedCall, onChunk: (chunk: Uint8Array) => void): Promise<Result<AnswerEnd, Failure>> {
		const run = router.run(call);
		for (let item = await run.next(); ; item = await run.next()) {
			if (item.done) {
				return item.value;
			}

			onChunk(item.value);
		}
	}

	async function answerWhole(call: RoutedCall, caller: Caller, response: ServerResponse): Promise<void> {
		const chunks: ChatChunk[] = [];
		const timing: Timing = {gapMs: 0};
		// The caller has seen nothing yet, so a run lost half-way may be replaced by another.
		const restart = () => {
			chunks.length = 0;
		};

		const result = await collect({...call, discardChunks: restart}, chunk => {
			noteChunk(timing);
			chunks.push(parseChunk(chunk));
		});
		if (result.err) {
			refuse(response, result.val, caller);
			return;
		}

		noteServed(caller, timing, result.val);
		sendJson(response, formatCompletion({id: call.requestId, model: call.target}, {chunks, end: result.val}));
	}

	// Comments keep a quiet stream's connection known to whatever stands between.
	function startKeepAlive(response: ServerResponse): () => void {
		const timer = setInterval(() => {
			if (response.headersSent) {
				response.write(': waiting\n\n');
			}
		}, keepAliveEvery);
		return () => {
			clearInterval(timer);
		};
	}

	// A stream that has begun cannot change its status any more: the failure is its last event, and `[DONE]` is not sent.
	function endStream(response: ServerResponse, result: Result<AnswerEnd, Failure>, caller: Caller): void {
		if (result.ok) {
			response.end('data: [DONE]\n\n');
			return;
		}

		refuse(response, result.val, caller);
		response.end(`data: ${JSON.stringify({error: formatProblem(result.val)})}\n\n`);
	}

	async function answerStream(call: RoutedCall, caller: Caller, {response, wantsUsage}: {response: ServerResponse; wantsUsage: boolean}): Promise<void> {
		const timing: Timing = {gapMs: 0};
		const stopKeepAlive = startKeepAlive(response);
		const result = await collect(call, chunk => {
			noteChunk(timing);
			if (!response.headersSent) {
				response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
			}

			const text = formatStreamEvent(parseChunk(chunk), {wantsUsage});
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
			noteServed(caller, timing, result.val);
		}

		endStream(response, result, caller);
	}

	async function answerChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const caller = identifyCaller(request, response);
		if (caller.err) {
			refuse(response, caller.val);
			return;
		}

		const body = await readBody(request, settings.largestBody);
		const chat = body.andThen(bytes => parseJson(bytes)).andThen(value => parseChat(value));
		const call = chat.andThen(value => buildChatCall(caller.val, value));
		if (chat.err || call.err) {
			refuse(response, (chat.err ? chat : call).val as Failure, caller.val);
			return;
		}

		await (chat.val.stream ? answerStream(call.val, caller.val, {response, wantsUsage: chat.val.stream_options?.include_usage === true}) : answerWhole(call.val, caller.val, response));
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
			requestId: caller.requestId(name),
			isKeyed: caller.isKeyed,
			work: Work.SERVICE,
			target: name,
			mayRepeat: service.idempotent,
			budget: caller.key.budget,
			worstCase: service.cost,
			priority: caller.priority,
			payload,
			prefix: '',
			deadline: caller.deadline,
			patience,
			// A call that may not be repeated goes on when its caller has left, and waits for the caller's retry.
			signal: service.idempotent ? caller.signal : new AbortController().signal,
		});
	}

	async function answerService(request: IncomingMessage, response: ServerResponse, name: string): Promise<void> {
		const caller = identifyCaller(request, response);
		if (caller.err) {
			refuse(response, caller.val);
			return;
		}

		const body = await readBody(request, settings.largestBody);
		const call = body.andThen(bytes => buildServiceCall(caller.val, name, bytes));
		if (call.err) {
			refuse(response, call.val, caller.val);
			return;
		}

		const chunks: Uint8Array[] = [];
		const result = await collect(call.val, chunk => {
			chunks.push(chunk);
		});
		if (result.err) {
			refuse(response, result.val, caller.val);
			return;
		}

		noteServed(caller.val, {gapMs: 0}, result.val);
		response.writeHead(result.val.status, {'content-type': 'application/json'});
		response.end(Buffer.concat(chunks));
	}

	// Counts the request until its answer has been handed to the system, for a stop that cuts none.
	async function track(request: IncomingMessage, response: ServerResponse, answer: Promise<void>): Promise<void> {
		running.add(response);
		if (self.isLeaving) {
			response.setHeader('connection', 'close');
		}

		try {
			await answer;
			await waitUntilSent(request, response);
		} catch (error) {
			refuse(response, createFailure('internal', `The daemon failed: ${(error as Error).message}`, {ran: 'unknown'}));
			response.destroy();
		} finally {
			running.delete(response);
		}
	}

	return {
		addRoutes(service: restana.Service<restana.Protocol.HTTP>): void {
			service.post('/v1/chat/completions', async (request, response) => track(request, response, answerChat(request, response)));
			service.post('/v1/services/:name', async (request, response) => track(request, response, answerService(request, response, request.params.name ?? '')));
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
					sendFailure(response, createFailure(self.isLeaving ? 'leaving' : 'not-ready', `Entry daemon "${self.id}" takes no requests`, {retryAfterMs: 1000}));
				}
			});
		},

		countRunning: () => running.size,
	};
}
