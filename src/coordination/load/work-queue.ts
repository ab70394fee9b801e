/**
 * A priority queue that limits the requests running at an upstream, and refuses
 * requests that would wait past their deadline.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../../protocol/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createWorkQueue}. */
export type CreateWorkQueueOptions = {
	/** Largest number of requests that run concurrently. */
	readonly maxRunning: number;
	/** Largest number of requests that wait. */
	readonly maxWaiting: number;
	readonly clock: Clock;
};

/** Options of {@linkcode WorkQueue.enter}. */
export type EnterOptions = {
	/** Requests of higher priority run first. */
	readonly priority: number;
	/** Time until the request's deadline. */
	readonly remainingMs: number;
};

/** Removes a request from the running ones and starts the next. */
export type LeaveQueue = () => void;

type Waiting = {
	readonly priority: number;
	readonly start: () => void;
};

/** A bounded priority queue. */
export type WorkQueue = ReturnType<typeof createWorkQueue>;

const initialServiceMs = 1000;
const smoothingFactor = 0.1;
const minRetryAfterMs = 1000;

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const entered = await queue.enter({priority: 5, remainingMs: 2000});
 * ```
 *
 * @param options Limits and clock
 * @returns The queue
 */
export function createWorkQueue(options: CreateWorkQueueOptions) {
	const {maxRunning, maxWaiting, clock} = options;
	const waiting: Waiting[] = [];
	let running = 0;
	let averageServiceMs = initialServiceMs;

	function startNext(): void {
		const next = waiting.shift();
		next?.start();
	}

	function startRunning(): LeaveQueue {
		running += 1;
		const startedAt = clock.now();
		return () => {
			running -= 1;
			averageServiceMs += smoothingFactor * (clock.now() - startedAt - averageServiceMs);
			startNext();
		};
	}

	function estimateWaitMs(): number {
		return running < maxRunning ? 0 : (waiting.length + 1) * averageServiceMs / maxRunning;
	}

	function insert(item: Waiting): void {
		const index = waiting.findIndex(other => other.priority < item.priority);
		waiting.splice(index === -1 ? waiting.length : index, 0, item);
	}

	function refuse(waitMs: number): Result<LeaveQueue, Failure> {
		const detail = `The upstream is running ${running} requests and ${waiting.length} are waiting; the expected wait is ${Math.round(waitMs)} ms`;
		return Err(createFailure('overloaded', detail, {retryAfterMs: Math.max(minRetryAfterMs, waitMs)}));
	}

	return {
		/** Waits until the request may run; refuses it at once if the queue is full or the expected wait exceeds its deadline. */
		async enter(enter: EnterOptions): Promise<Result<LeaveQueue, Failure>> {
			if (running < maxRunning) {
				return Ok(startRunning());
			}

			const waitMs = estimateWaitMs();
			if (waiting.length >= maxWaiting || waitMs > enter.remainingMs) {
				return refuse(waitMs);
			}

			const deadline = clock.now() + enter.remainingMs;
			const leave = await new Promise<LeaveQueue>(resolve => {
				insert({
					priority: enter.priority,
					start() {
						resolve(startRunning());
					},
				});
			});
			if (clock.now() > deadline) {
				leave();
				return Err(createFailure('deadline-passed', `The request waited in the queue past its deadline of ${Math.round(enter.remainingMs)} ms`));
			}

			return Ok(leave);
		},

		countRunning: () => running,
		countWaiting: () => waiting.length,
		estimateWaitMs,
	};
}
