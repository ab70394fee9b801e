/**
 * Bounds the requests that run at an upstream, and refuses early those that
 * would wait past their deadline.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type Failure, type Result,
} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createWorkQueue}. */
export type CreateWorkQueueOptions = {
	/** Requests that run at once. */
	readonly capacity: number;
	/** Requests that may wait. */
	readonly limit: number;
	readonly clock: Clock;
};

/** Options of {@linkcode WorkQueue.enter}. */
export type EnterOptions = {
	/** Requests of higher priority go first. */
	readonly priority: number;
	/** Milliseconds until the request's deadline. */
	readonly remaining: number;
};

/** Ends one request's turn. */
export type LeaveQueue = () => void;

type Waiting = {
	readonly priority: number;
	readonly start: () => void;
};

/** A bounded queue. */
export type WorkQueue = ReturnType<typeof createWorkQueue>;

const initialServiceTime = 1000;
const learningRate = 0.1;
const shortestRetryAfter = 1000;

/**
 * Creates a queue.
 *
 * @example
 * ```ts
 * const turn = await queue.enter({priority: 5, remaining: 2000});
 * ```
 *
 * @param options Bounds and clock
 * @returns The queue
 */
export function createWorkQueue(options: CreateWorkQueueOptions) {
	const {capacity, limit, clock} = options;
	const waiting: Waiting[] = [];
	let running = 0;
	let serviceTime = initialServiceTime;

	function startNext(): void {
		const next = waiting.shift();
		next?.start();
	}

	function beginTurn(): LeaveQueue {
		running += 1;
		const startedAt = clock.now();
		return () => {
			running -= 1;
			serviceTime += learningRate * (clock.now() - startedAt - serviceTime);
			startNext();
		};
	}

	function estimateWait(): number {
		return running < capacity ? 0 : (waiting.length + 1) * serviceTime / capacity;
	}

	function insert(item: Waiting): void {
		const index = waiting.findIndex(other => other.priority < item.priority);
		waiting.splice(index === -1 ? waiting.length : index, 0, item);
	}

	function refuse(wait: number): Result<LeaveQueue, Failure> {
		const detail = `The upstream runs ${running} requests and ${waiting.length} wait; the wait would be about ${Math.round(wait)} ms`;
		return Err(createFailure('overloaded', detail, {retryAfterMs: Math.max(shortestRetryAfter, wait)}));
	}

	return {
		/** Waits for a turn; refuses at once when the queue is full or the wait would pass the deadline. */
		async enter(enter: EnterOptions): Promise<Result<LeaveQueue, Failure>> {
			if (running < capacity) {
				return Ok(beginTurn());
			}

			const wait = estimateWait();
			if (waiting.length >= limit || wait > enter.remaining) {
				return refuse(wait);
			}

			const deadline = clock.now() + enter.remaining;
			const turn = await new Promise<LeaveQueue>(resolve => {
				insert({
					priority: enter.priority,
					start() {
						resolve(beginTurn());
					},
				});
			});
			if (clock.now() > deadline) {
				turn();
				return Err(createFailure('deadline-passed', `The request waited past its deadline of ${Math.round(enter.remaining)} ms`));
			}

			return Ok(turn);
		},

		countRunning: () => running,
		countWaiting: () => waiting.length,
		estimateWait,
	};
}
