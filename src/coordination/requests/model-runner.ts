/**
 * Runs model requests at one engine: resumes broken streams, enforces the
 * request's token limit, and writes the receipt.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	Err, Ok, chatChunkSchema, createFailure, type EventLog, type Failure, type Result, type Usage,
} from '../../protocol/mod.js';
import {allocateShares, sumShares, type TrackedRequest} from '../../state/mod.js';
import {
	createTimeoutSignal, isConnectionRefused, type Clock, type EngineCall, type EngineClient,
} from '../../transport/mod.js';
import {readMaxTokens} from '../upstreams/engine-limit.js';
import type {ReceiptReporter} from '../store/receipt-reporter.js';

/** One model request to run. */
export type ModelWork = {
	readonly request: TrackedRequest;
	readonly payload: Uint8Array;
	readonly priority: number;
	/** Clock time of the caller's deadline, in milliseconds. */
	readonly deadline: number;
};

/** Options of {@linkcode createModelRunner}. */
export type CreateModelRunnerOptions = {
	readonly engine: EngineClient;
	readonly reporter: ReceiptReporter;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Runs model requests at one engine. */
export type ModelRunner = ReturnType<typeof createModelRunner>;

type Progress = {
	nextSequence: number;
	tokens: number;
	maxTokens: number;
	usage?: Usage;
	finishReason: string;
	isOverLimit: boolean;
};

const resumeDelayMs = 100;
const maxStreamAttempts = 20;
const retryAfterMs = 1000;

/**
 * Creates a model runner.
 *
 * @example
 * ```ts
 * await runner.run({request, payload, priority: 5, deadline: clock.now() + 60_000});
 * ```
 *
 * @param options Engine client, receipts, clock and events
 * @returns The model runner
 */
export function createModelRunner(options: CreateModelRunnerOptions) {
	const {
		engine, reporter, clock, events,
	} = options;

	function handleEvent(request: TrackedRequest, progress: Progress, data: string): void {
		const chunk = chatChunkSchema.safeParse(JSON.parse(data));
		if (!chunk.success) {
			events.write('frameDropped', {request: request.id, reason: 'unreadable engine event'});
			return;
		}

		const [choice] = chunk.data.choices;
		const hasText = Boolean(choice?.delta?.content);
		// Text that an engine generates beyond the limit would cost more than was reserved. It is neither passed on nor billed.
		if (hasText && progress.tokens >= progress.maxTokens) {
			progress.isOverLimit = true;
			return;
		}

		progress.tokens += hasText ? 1 : 0;
		progress.usage = chunk.data.usage ?? progress.usage;
		progress.finishReason = choice?.finish_reason ?? progress.finishReason;
		request.push(Buffer.from(data));
	}

	async function readStream(call: EngineCall, request: TrackedRequest, progress: Progress): Promise<Result<undefined, Failure>> {
		const stream = engine.stream(call, progress.nextSequence);
		for (let item = await stream.next(); ; item = await stream.next()) {
			if (item.done) {
				return item.value;
			}

			// A resumed stream may repeat events, which are skipped. A gap would lose text, so it is treated as a broken stream.
			if (item.value.sequence < progress.nextSequence) {
				continue;
			}

			if (item.value.sequence > progress.nextSequence) {
				throw new Error(`The engine skipped from event ${progress.nextSequence} to ${item.value.sequence}`);
			}

			progress.nextSequence += 1;
			handleEvent(request, progress, item.value.data);
			if (progress.isOverLimit) {
				events.write('engineOverran', {request: request.id, limit: progress.maxTokens});
				void engine.cancel(request.id);
				return Ok(undefined);
			}
		}
	}

	// Resumes a broken stream on a new connection from the next event, without starting a second run.
	async function readAnswer(work: ModelWork, progress: Progress): Promise<Result<undefined, Failure>> {
		const {request} = work;
		const timeout = createTimeoutSignal(work.deadline - clock.now(), [request.abortController.signal]);
		const call: EngineCall = {
			requestId: request.id, body: Buffer.from(work.payload).toString(), priority: work.priority,
			signal: timeout.signal,
		};
		let hasBegun = false;
		for (let tries = 0; tries < maxStreamAttempts && clock.now() < work.deadline; tries++) {
			try {
				const outcome = await readStream(call, request, progress);
				timeout.clear();
				return outcome;
			} catch (error) {
				if (request.abortController.signal.aborted) {
					timeout.clear();
					void engine.cancel(request.id);
					return Err(createFailure('answer-cut', 'The request was cancelled', {ran: 'yes'}));
				}

				const isRefused = isConnectionRefused(error);
				// A refused connection after the stream had begun means that the engine process ended, possibly because of this
				// request. It must not be started again on the restarted engine.
				if (isRefused && hasBegun) {
					timeout.clear();
					return Err(createFailure('answer-cut', `The engine process ended at event ${progress.nextSequence}`, {ran: progress.nextSequence > 0 ? 'yes' : 'unknown', retryAfterMs}));
				}

				hasBegun ||= !isRefused;
				events.write('streamResumed', {
					request: request.id, hop: 'engine', next: progress.nextSequence, reason: (error as Error).message,
				});
				await clock.sleep(resumeDelayMs * (tries + 1));
			}
		}

		timeout.clear();
		void engine.cancel(request.id);
		return Err(createFailure('answer-cut', `The engine's stream broke at event ${progress.nextSequence}`, {ran: progress.nextSequence > 0 ? 'yes' : 'unknown', retryAfterMs}));
	}

	function computeCost(progress: Progress, reservation: number): number {
		const prompt = progress.usage?.prompt_tokens ?? 0;
		const completion = progress.isOverLimit ? progress.tokens : Math.max(progress.tokens, progress.usage?.completion_tokens ?? 0);
		return Math.min(prompt + completion, reservation);
	}

	function writeReceipt(request: TrackedRequest, cost: number) {
		const billed = allocateShares(request.shares, cost);
		reporter.add(request.incarnation, {request: request.id, attempt: request.attempt, shares: billed});
		return billed;
	}

	function finish(request: TrackedRequest, progress: Progress): void {
		const reservation = sumShares(request.shares);
		const billed = writeReceipt(request, computeCost(progress, reservation));
		request.finish({
			billed,
			promptTokens: progress.usage?.prompt_tokens ?? 0,
			completionTokens: progress.isOverLimit ? progress.tokens : progress.usage?.completion_tokens ?? progress.tokens,
			finishReason: progress.isOverLimit ? 'length' : progress.finishReason,
		});
	}

	return {
		/** Runs one request to its end and stores the outcome in it. */
		async run(work: ModelWork): Promise<void> {
			const {request} = work;
			const progress: Progress = {
				nextSequence: 0, tokens: 0, maxTokens: readMaxTokens(work.payload), finishReason: 'stop', isOverLimit: false,
			};
			const outcome = await readAnswer(work, progress);
			if (outcome.ok) {
				finish(request, progress);
				return;
			}

			// A caller that disconnected is billed for the tokens generated so far. An answer lost through a failure of the
			// system is not billed.
			const billed = request.abortController.signal.aborted ? writeReceipt(request, computeCost(progress, sumShares(request.shares))) : [];
			request.fail(outcome.val, billed);
		},
	};
}
