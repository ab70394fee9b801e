/**
 * Executes requests on an upstream daemon: finds a request in the request
 * table, starts it if it is new and allowed to run, and streams its chunks.
 *
 * @module
 */
import {
	Err, Ok, Work, createFailure, type EventLog, type Failure, type GrantShare, type Result, type RunRequest,
} from '../../protocol/mod.js';
import {formatIncarnationId, type RequestTable, type TrackedRequest} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {createChangeWaiter} from '../store/change-waiter.js';
import type {LogFollower} from '../store/log-follower.js';
import type {Self} from '../peers/membership.js';
import type {ReceiptReporter} from '../store/receipt-reporter.js';
import type {WorkQueue} from '../load/work-queue.js';
import type {ModelRunner} from './model-runner.js';
import type {RunPermit, ServiceRunner} from './service-runner.js';

/** Options of {@linkcode createRequestExecutor}. */
export type CreateRequestExecutorOptions = {
	readonly self: Self;
	readonly table: RequestTable;
	readonly queue: WorkQueue;
	readonly follower: LogFollower;
	readonly reporter: ReceiptReporter;
	/** Set on a daemon that serves a model engine. */
	readonly models?: ModelRunner;
	/** Set on a daemon that serves a plain service. */
	readonly services?: ServiceRunner;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** One item of a request's stream; `progress` is sent while there is no new chunk. */
export type FollowedItem =
	| {readonly kind: 'chunk'; readonly sequence: number; readonly chunk: Uint8Array}
	| {readonly kind: 'progress'};

type FinishRunOptions = {
	readonly leaveQueue: () => void;
	/** True if a second run of the request is harmless. */
	readonly mayRepeat: boolean;
};

/** State and cost of an attempt, as reported to the entry daemon that gave up on it. */
export type FenceOutcome = {
	readonly state: 'fenced' | 'running' | 'done';
	readonly billed: readonly GrantShare[];
};

/** Executes requests on an upstream daemon. */
export type RequestExecutor = ReturnType<typeof createRequestExecutor>;

const heldElsewhereRetryAfterMs = 1000;

/** @internal */
function formatAttemptKey(requestId: string, attempt: number): string {
	return `${requestId}/${attempt}`;
}

/** @internal */
function createPermitFailure(permit: Exclude<RunPermit, {readonly kind: 'mine'}>): Failure {
	if (permit.kind === 'refused') {
		return permit.failure;
	}

	return createFailure('outcome-unknown', `The log assigns the request to upstream daemon "${permit.run.daemon}"`, {
		ran: 'unknown', retryAfterMs: heldElsewhereRetryAfterMs, heldBy: formatIncarnationId(permit.run.daemon, permit.run.incarnation),
	});
}

/**
 * Creates the request executor of an upstream daemon.
 *
 * @example
 * ```ts
 * const request = await executor.open(runRequest);
 * ```
 *
 * @param options The daemon's request table, queue, runners and log
 * @returns The request executor
 */
export function createRequestExecutor(options: CreateRequestExecutorOptions) {
	const {
		self, table, queue, follower, reporter, clock, events,
	} = options;
	const opening = new Map<string, Promise<Result<TrackedRequest, Failure>>>();
	const deliveries = new Map<string, symbol>();

	function isRegistered(): boolean {
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	function findLeavingFailure(): Failure | undefined {
		return self.isLeaving ? createFailure('leaving', `Upstream daemon "${self.id}" is stopping`, {retryAfterMs: 1000}) : undefined;
	}

	function findRefusal(run: RunRequest): Failure | undefined {
		// Closing a grant waits for the incarnations recorded in the log, and would miss work run by an unrecorded one.
		if (!isRegistered()) {
			return createFailure('not-ready', `Upstream daemon "${self.id}" is not registered in the log yet`, {retryAfterMs: 1000});
		}

		if (table.isFenced(run.requestId, run.attempt)) {
			return createFailure('grant-closed', `Attempt ${run.attempt} was abandoned before it started`);
		}

		const grant = reporter.findFencedGrant(run.shares, run.knownOffset);
		return grant === undefined ? undefined : createFailure('grant-closed', `Grant "${grant}" is closed`);
	}

	function trackRequest(run: RunRequest): TrackedRequest {
		return table.open(run.requestId, {
			attempt: run.attempt, incarnation: self.incarnation, payloadDigest: run.payloadDigest,
			shares: run.shares.map(({grant, amount}) => ({grant, amount})),
		});
	}

	// Not awaited by the caller: the request continues to run when the connection that delivered it breaks.
	async function finishRun(request: TrackedRequest, work: Promise<void>, {leaveQueue, mayRepeat}: FinishRunOptions): Promise<void> {
		try {
			await work;
		} catch (error) {
			request.fail(createFailure('internal', `The upstream daemon could not run the request: ${(error as Error).message}`, {ran: 'unknown'}));
		}

		leaveQueue();
		// An unbilled failed run that may be repeated is removed, so that a retry starts a new run. Any other failure is kept,
		// so that a retry receives it instead of running again.
		const finalOutcome = request.end ?? (mayRepeat && request.billed.length === 0 ? undefined : request.failure);
		if (finalOutcome && request.failure?.ran !== 'no') {
			table.close(request);
		} else {
			table.remove(request);
		}
	}

	async function startModel(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const entered = await queue.enter({priority: run.priority, remainingMs: run.remainingMs});
		if (entered.err) {
			return entered;
		}

		// The daemon may have begun to stop, or the attempt may have been fenced or its grant closed, while the request was queued.
		const refusal = findLeavingFailure() ?? findRefusal(run);
		if (refusal) {
			entered.val();
			return Err(refusal);
		}

		const request = trackRequest(run);
		const work = options.models!.run({
			request, payload: run.payload, priority: run.priority, deadline: clock.now() + run.remainingMs,
		});
		void finishRun(request, work, {leaveQueue: entered.val, mayRepeat: true});
		return Ok(request);
	}

	async function startService(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const service = follower.state().configuration.findService(run.target);
		if (!service) {
			return Err(createFailure('unknown-service', `Service "${run.target}" is not configured`));
		}

		const deadline = clock.now() + run.remainingMs;
		if (!service.idempotent) {
			const permit = await options.services!.obtainPermit(run.requestId, service);
			if (permit.kind !== 'mine') {
				return Err(createPermitFailure(permit));
			}
		}

		// A stop that began in the meantime is no reason to refuse: the log assigns the request to this daemon alone, so every
		// other daemon would refuse it. Stopping waits for the requests in `opening`.
		const refusal = findRefusal(run);
		if (refusal) {
			options.services!.markNotRun(run.requestId);
			return Err(refusal);
		}

		const request = trackRequest(run);
		const work = options.services!.run({
			request, service, payload: run.payload, deadline,
		});
		void finishRun(request, work, {leaveQueue: () => undefined, mayRepeat: service.idempotent});
		return Ok(request);
	}

	async function start(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const refusal = findLeavingFailure() ?? findRefusal(run);
		if (refusal) {
			return Err(refusal);
		}

		return run.work === Work.MODEL ? startModel(run) : startService(run);
	}

	// Two copies of a request may arrive concurrently. The second waits until the first has started and attaches to its run.
	async function startOnce(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const pending = opening.get(run.requestId);
		if (pending) {
			return pending;
		}

		const started = start(run);
		opening.set(run.requestId, started);
		try {
			return await started;
		} finally {
			opening.delete(run.requestId);
		}
	}

	// Also finds a request that is still starting. If the log has a run record for a request that is unknown here, the
	// request may have run; the caller receives that outcome even if its budget is used up.
	async function findEarlierRun(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const pending = opening.get(run.requestId);
		if (pending) {
			return pending;
		}

		const permit = options.services?.findPermit(run.requestId);
		return Err(permit && permit.kind !== 'mine'
			? createPermitFailure(permit)
			: createFailure('unknown-object', `Upstream daemon "${self.id}" has no request "${run.requestId}"`));
	}

	return {
		/** Finds the request, or starts it unless the caller only wants to attach to an earlier run. */
		async open(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
			const lookup = table.get(run.requestId);
			if (lookup.kind === 'gone') {
				return Err(createFailure('answer-gone', 'The request ran, but its answer is no longer stored', {ran: 'yes'}));
			}

			const found = lookup.kind === 'tracked' ? Ok(lookup.request) : await (run.attachOnly ? findEarlierRun(run) : startOnce(run));
			if (found.err) {
				return found;
			}

			// Checked last because a request that is still starting is known by its ID alone, without its payload digest.
			const request = found.val;
			if (request.payloadDigest !== run.payloadDigest) {
				return Err(createFailure('key-reused', 'The idempotency key was already used with a different body'));
			}

			if (run.fromSequence === 0 && run.attempt !== request.attempt) {
				events.write('requestAttached', {request: run.requestId, from: run.from});
			}

			return found;
		},

		/** Yields the request's chunks from a sequence number on, and a progress item for each second without a new chunk. */
		async * follow(request: TrackedRequest, fromSequence: number): AsyncGenerator<FollowedItem> {
			const waiter = createChangeWaiter(request);
			try {
				let sequence = fromSequence;
				for (;;) {
					const changed = waiter.wait();
					while (sequence < request.chunks.length) {
						yield {kind: 'chunk', sequence, chunk: request.chunks[sequence]!};
						sequence += 1;
					}

					if (request.isEnded()) {
						return;
					}

					if (await changed === 'quiet') {
						yield {kind: 'progress'};
					}
				}
			} finally {
				waiter.stop();
			}
		},

		/**
		 * Records that a call delivers an attempt's frames to its entry daemon.
		 * Returns a function that ends the record.
		 *
		 * A stop waits for deliveries as well as for runs: after a run has ended,
		 * flow control may still hold back frames that the entry daemon has not
		 * read, and they would be lost if the connection were closed. An entry
		 * daemon whose connection became unresponsive opens a new call, and the old
		 * one may never end; so only an attempt's newest call is counted.
		 */
		beginDelivery({requestId, attempt}: Pick<RunRequest, 'requestId' | 'attempt'>): () => void {
			const key = formatAttemptKey(requestId, attempt);
			const call = Symbol(key);
			deliveries.set(key, call);
			return () => {
				if (deliveries.get(key) === call) {
					deliveries.delete(key);
				}
			};
		},

		countDeliveries: () => deliveries.size,

		/** Counts the accepted requests that do not run yet: those in the queue or waiting for a permit. */
		countOpening: () => opening.size,

		/** Reports the state and cost of an attempt that its entry daemon gave up on, and prevents it from starting later. */
		fence(requestId: string, attempt: number): FenceOutcome {
			// The entry daemon no longer reads frames of an attempt that it gave up on.
			deliveries.delete(formatAttemptKey(requestId, attempt));
			table.fence(requestId, attempt);
			const lookup = table.get(requestId);
			if (lookup.kind === 'unknown' || (lookup.kind === 'gone' && lookup.attempt !== attempt)) {
				return {state: opening.has(requestId) ? 'running' : 'fenced', billed: []};
			}

			if (lookup.kind === 'gone') {
				return {state: 'done', billed: lookup.billed};
			}

			const {request} = lookup;
			if (request.attempt !== attempt) {
				return {state: 'fenced', billed: []};
			}

			return request.isEnded() ? {state: 'done', billed: request.billed} : {state: 'running', billed: []};
		},

		/** Aborts a request whose caller has disconnected. */
		cancel(requestId: string, attempt: number): void {
			const lookup = table.get(requestId);
			if (lookup.kind === 'tracked' && lookup.request.attempt === attempt) {
				lookup.request.abortController.abort();
			}
		},
	};
}
