/**
 * Runs model requests at one engine: resumes silent streams, holds the engine
 * to its limit and writes the receipt.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	Err, Ok, chatChunkSchema, createFailure, type EventLog, type Failure, type Result, type Usage,
} from '../protocol/mod.js';
import {allocateShares, sumShares, type TrackedRequest} from '../state/mod.js';
import {
	createBound, isConnectionRefused, type Clock, type EngineCall, type EngineClient,
} from '../transport/mod.js';
import {readLimit} from './engine-limit.js';
import type {ReceiptReporter} from './receipt-reporter.js';

/** One model request to run. */
export type ModelWork = {
	readonly request: TrackedRequest;
	readonly payload: Uint8Array;
	readonly priority: number;
	/** Clock at which the caller's deadline passes. */
	readonly deadline: number;
};

/** Options of {@linkcode createModelRunner}. */
export type CreateModelRunnerOptions = {
	readonly engine: EngineClient;
	readonly reporter: ReceiptReporter;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Runs model requests. */
export type ModelRunner = ReturnType<typeof createModelRunner>;

type Progress = {
	next: number;
	tokens: number;
	limit: number;
	usage?: Usage;
	finishReason: string;
	isOverrun: boolean;
};

const resumePause = 100;
const resumeLimit = 20;
const retryAfterMs = 1000;

/**
 * Creates a runner.
 *
 * @example
 * ```ts
 * await runner.run({request, payload, priority: 5, deadline: clock.now() + 60_000});
 * ```
 *
 * @param options The engine and the receipts
 * @returns The runner
 */
export function createModelRunner(options: CreateModelRunnerOptions) {
	const {
		engine, reporter, clock, events,
	} = options;

	function takeChunk(request: TrackedRequest, progress: Progress, data: string): void {
		const chunk = chatChunkSchema.safeParse(JSON.parse(data));
		if (!chunk.success) {
			events.write('frameDropped', {request: request.id, reason: 'unreadable engine event'});
			return;
		}

		const [choice] = chunk.data.choices;
		const hasText = Boolean(choice?.delta?.content);
		// An engine that generates past its limit would spend more than was reserved: the rest is neither passed on nor billed.
		if (hasText && progress.tokens >= progress.limit) {
			progress.isOverrun = true;
			return;
		}

		progress.tokens += hasText ? 1 : 0;
		progress.usage = chunk.data.usage ?? progress.usage;
		progress.finishReason = choice?.finish_reason ?? progress.finishReason;
		request.push(Buffer.from(data));
	}

	async function readStream(call: EngineCall, request: TrackedRequest, progress: Progress): Promise<Result<undefined, Failure>> {
		const stream = engine.stream(call, progress.next);
		for (let item = await stream.next(); ; item = await stream.next()) {
			if (item.done) {
				return item.value;
			}

			// A resumed stream may repeat events; a gap would lose text, so it counts as a broken stream.
			if (item.value.sequence < progress.next) {
				continue;
			}

			if (item.value.sequence > progress.next) {
				throw new Error(`The engine skipped from event ${progress.next} to ${item.value.sequence}`);
			}

			progress.next += 1;
			takeChunk(request, progress, item.value.data);
			if (progress.isOverrun) {
				events.write('engineOverran', {request: request.id, limit: progress.limit});
				void engine.cancel(request.id);
				return Ok(undefined);
			}
		}
	}

	// A stream that fell silent is resumed on a new connection at the next event, without a second run.
	async function readWhole(work: ModelWork, progress: Progress): Promise<Result<undefined, Failure>> {
		const {request} = work;
		const bound = createBound(work.deadline - clock.now(), [request.stopper.signal]);
		const call: EngineCall = {
			requestId: request.id, body: Buffer.from(work.payload).toString(), priority: work.priority,
			signal: bound.signal,
		};
		let hasBegun = false;
		for (let tries = 0; tries < resumeLimit && clock.now() < work.deadline; tries++) {
			try {
				const outcome = await readStream(call, request, progress);
				bound.clear();
				return outcome;
			} catch (error) {
				if (request.stopper.signal.aborted) {
					bound.clear();
					void engine.cancel(request.id);
					return Err(createFailure('answer-cut', 'The request was cancelled', {ran: 'yes'}));
				}

				const isRefused = isConnectionRefused(error);
				// The engine's process ended under this run, and may have ended because of it: the next one must not run it too.
				if (isRefused && hasBegun) {
					bound.clear();
					return Err(createFailure('answer-cut', `The engine ended at event ${progress.next}`, {ran: progress.next > 0 ? 'yes' : 'unknown', retryAfterMs}));
				}

				hasBegun ||= !isRefused;
				events.write('streamResumed', {
					request: request.id, hop: 'engine', next: progress.next, reason: (error as Error).message,
				});
				await clock.sleep(resumePause * (tries + 1));
			}
		}

		bound.clear();
		void engine.cancel(request.id);
		return Err(createFailure('answer-cut', `The engine's stream broke at event ${progress.next}`, {ran: progress.next > 0 ? 'yes' : 'unknown', retryAfterMs}));
	}

	function computeCost(progress: Progress, reservation: number): number {
		const prompt = progress.usage?.prompt_tokens ?? 0;
		const completion = progress.isOverrun ? progress.tokens : Math.max(progress.tokens, progress.usage?.completion_tokens ?? 0);
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
			completionTokens: progress.isOverrun ? progress.tokens : progress.usage?.completion_tokens ?? progress.tokens,
			finishReason: progress.isOverrun ? 'length' : progress.finishReason,
		});
	}

	return {
		/** Runs one request to its end; the outcome is in the request. */
		async run(work: ModelWork): Promise<void> {
			const {request} = work;
			const progress: Progress = {
				next: 0, tokens: 0, limit: readLimit(work.payload), finishReason: 'stop', isOverrun: false,
			};
			const outcome = await readWhole(work, progress);
			if (outcome.ok) {
				finish(request, progress);
				return;
			}

			// A caller that left is billed for what was generated for it; an answer that the fleet lost is not billed.
			const billed = request.stopper.signal.aborted ? writeReceipt(request, computeCost(progress, sumShares(request.shares))) : [];
			request.fail(outcome.val, billed);
		},
	};
}
