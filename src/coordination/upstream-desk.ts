/**
 * The upstream daemon's side of a request: finds it in the table, starts it
 * when it is new and may run, and follows its frames.
 *
 * @module
 */
import {
	Err, Ok, Work, createFailure, type EventLog, type Failure, type GrantShare, type Result, type RunRequest,
} from '../protocol/mod.js';
import {formatIncarnation, type RequestTable, type TrackedRequest} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {LogFollower} from './log-follower.js';
import type {Self} from './membership.js';
import type {ModelRunner} from './model-runner.js';
import type {ReceiptReporter} from './receipt-reporter.js';
import type {RunRight, ServiceRunner} from './service-runner.js';
import {createWakeUp} from './wake-up.js';
import type {WorkQueue} from './work-queue.js';

/** Options of {@linkcode createUpstreamDesk}. */
export type CreateUpstreamDeskOptions = {
	readonly self: Self;
	readonly table: RequestTable;
	readonly queue: WorkQueue;
	readonly follower: LogFollower;
	readonly reporter: ReceiptReporter;
	/** Set on a daemon before an engine. */
	readonly models?: ModelRunner;
	/** Set on a daemon before a plain service. */
	readonly services?: ServiceRunner;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** One item of a followed request. */
export type FollowedItem =
	| {readonly kind: 'chunk'; readonly sequence: number; readonly chunk: Uint8Array}
	| {readonly kind: 'progress'};

type FinishRunOptions = {
	readonly leave: () => void;
	/** True when running the request again does no harm. */
	readonly mayRepeat: boolean;
};

/** What became of an attempt, for the entry that lost it. */
export type FenceOutcome = {
	readonly state: 'fenced' | 'running' | 'done';
	readonly billed: readonly GrantShare[];
};

/** The upstream daemon's side of requests. */
export type UpstreamDesk = ReturnType<typeof createUpstreamDesk>;

const elsewhereRetryAfter = 1000;

/** @internal */
function formatAttempt(requestId: string, attempt: number): string {
	return `${requestId}/${attempt}`;
}

/** @internal */
function explainRight(right: Exclude<RunRight, {readonly kind: 'mine'}>): Failure {
	if (right.kind === 'refused') {
		return right.failure;
	}

	return createFailure('outcome-unknown', `The log gave the request to upstream daemon "${right.run.daemon}"`, {
		ran: 'unknown', retryAfterMs: elsewhereRetryAfter, heldBy: formatIncarnation(right.run.daemon, right.run.incarnation),
	});
}

/**
 * Creates the desk.
 *
 * @example
 * ```ts
 * const request = await desk.open(runRequest);
 * ```
 *
 * @param options The daemon's table, queue, runners and log
 * @returns The desk
 */
export function createUpstreamDesk(options: CreateUpstreamDeskOptions) {
	const {
		self, table, queue, follower, reporter, clock, events,
	} = options;
	const opening = new Map<string, Promise<Result<TrackedRequest, Failure>>>();
	const deliveries = new Map<string, symbol>();

	function isJoined(): boolean {
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	function explainLeaving(): Failure | undefined {
		return self.isLeaving ? createFailure('leaving', `Upstream daemon "${self.id}" is stopping`, {retryAfterMs: 1000}) : undefined;
	}

	function explainRefusal(run: RunRequest): Failure | undefined {
		// Closing a grant waits for the incarnations on the log; work that an unknown one ran would be missed.
		if (!isJoined()) {
			return createFailure('not-ready', `Upstream daemon "${self.id}" is not on the log yet`, {retryAfterMs: 1000});
		}

		if (table.isFenced(run.requestId, run.attempt)) {
			return createFailure('grant-closed', 'This attempt was given up on and must not start');
		}

		const grant = reporter.findFenced(run.shares, run.knownOffset);
		return grant === undefined ? undefined : createFailure('grant-closed', `Grant "${grant}" is closed`);
	}

	function openTracked(run: RunRequest): TrackedRequest {
		return table.open(run.requestId, {
			attempt: run.attempt, incarnation: self.incarnation, payloadDigest: run.payloadDigest,
			shares: run.shares.map(({grant, amount}) => ({grant, amount})),
		});
	}

	// Runs in a task of its own: the request goes on when the connection that brought it is lost.
	async function finishRun(request: TrackedRequest, work: Promise<void>, {leave, mayRepeat}: FinishRunOptions): Promise<void> {
		try {
			await work;
		} catch (error) {
			request.fail(createFailure('internal', `The upstream daemon failed: ${(error as Error).message}`, {ran: 'unknown'}));
		}

		leave();
		// A failed run that may be repeated is forgotten, so that a retry runs anew; one that may not is kept to be told.
		const isOver = request.end ?? (mayRepeat && request.billed.length === 0 ? undefined : request.failure);
		if (isOver && request.failure?.ran !== 'no') {
			table.close(request);
		} else {
			table.forget(request);
		}
	}

	async function startModel(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const turn = await queue.enter({priority: run.priority, remaining: run.remainingMs});
		if (turn.err) {
			return turn;
		}

		// The queue may have held the request past a stop, a fence or the close of its grant.
		const refusal = explainLeaving() ?? explainRefusal(run);
		if (refusal) {
			turn.val();
			return Err(refusal);
		}

		const request = openTracked(run);
		const work = options.models!.run({
			request, payload: run.payload, priority: run.priority, deadline: clock.now() + run.remainingMs,
		});
		void finishRun(request, work, {leave: turn.val, mayRepeat: true});
		return Ok(request);
	}

	async function startService(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const service = follower.state().configuration.findService(run.target);
		if (!service) {
			return Err(createFailure('unknown-service', `Service "${run.target}" is not configured`));
		}

		const deadline = clock.now() + run.remainingMs;
		if (!service.idempotent) {
			const right = await options.services!.obtainRight(run.requestId, service);
			if (right.kind !== 'mine') {
				return Err(explainRight(right));
			}
		}

		// A stop that began meanwhile is no reason to refuse: the log has given the request to this daemon alone, and would
		// refuse it to every other. The stop waits for what is opening.
		const refusal = explainRefusal(run);
		if (refusal) {
			options.services!.noteNotRun(run.requestId);
			return Err(refusal);
		}

		const request = openTracked(run);
		const work = options.services!.run({
			request, service, payload: run.payload, deadline,
		});
		void finishRun(request, work, {leave: () => undefined, mayRepeat: service.idempotent});
		return Ok(request);
	}

	async function start(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const refusal = explainLeaving() ?? explainRefusal(run);
		if (refusal) {
			return Err(refusal);
		}

		return run.work === Work.MODEL ? startModel(run) : startService(run);
	}

	// Two copies of one request may arrive together; the second waits for the first one's start and attaches.
	async function startOnce(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const running = opening.get(run.requestId);
		if (running) {
			return running;
		}

		const started = start(run);
		opening.set(run.requestId, started);
		try {
			return await started;
		} finally {
			opening.delete(run.requestId);
		}
	}

	// A request that waits for its turn is found too. One whose run record stands on the log and that is not known here may
	// have run, which its caller is told whatever its budget.
	async function findOpening(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
		const running = opening.get(run.requestId);
		if (running) {
			return running;
		}

		const right = options.services?.findRight(run.requestId);
		return Err(right && right.kind !== 'mine'
			? explainRight(right)
			: createFailure('unknown-object', `Upstream daemon "${self.id}" knows no request "${run.requestId}"`));
	}

	return {
		/** Finds the request, or starts it unless it should only attach. */
		async open(run: RunRequest): Promise<Result<TrackedRequest, Failure>> {
			const lookup = table.get(run.requestId);
			if (lookup.kind === 'gone') {
				return Err(createFailure('answer-gone', 'The request ran and its answer is no longer kept', {ran: 'yes'}));
			}

			const found = lookup.kind === 'tracked' ? Ok(lookup.request) : await (run.attachOnly ? findOpening(run) : startOnce(run));
			if (found.err) {
				return found;
			}

			// Checked last: a request that still waited for its turn when this one came is known by its key alone until then.
			const request = found.val;
			if (request.payloadDigest !== run.payloadDigest) {
				return Err(createFailure('key-reused', 'The idempotency key was used with another body'));
			}

			if (run.fromSequence === 0 && run.attempt !== request.attempt) {
				events.write('requestAttached', {request: run.requestId, from: run.from});
			}

			return found;
		},

		/** Follows a request's chunks from a sequence on; tells of progress when nothing else was sent for a second. */
		async * follow(request: TrackedRequest, fromSequence: number): AsyncGenerator<FollowedItem> {
			const wakeUp = createWakeUp(request);
			try {
				let sequence = fromSequence;
				for (;;) {
					const changed = wakeUp.next();
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
				wakeUp.stop();
			}
		},

		/**
		 * Notes that a call brings an attempt's frames to its entry; what it
		 * returns ends the note.
		 *
		 * A run that has ended is not delivered yet: flow control holds back
		 * what an entry has not read, and a stop that counts runs alone closes
		 * the connection over it. An entry whose connection fell silent calls
		 * anew, and the old call may never end; so the newest one counts.
		 */
		beginDelivery({requestId, attempt}: Pick<RunRequest, 'requestId' | 'attempt'>): () => void {
			const key = formatAttempt(requestId, attempt);
			const call = Symbol(key);
			deliveries.set(key, call);
			return () => {
				if (deliveries.get(key) === call) {
					deliveries.delete(key);
				}
			};
		},

		countDeliveries: () => deliveries.size,

		/** Counts the requests taken that do not run yet: they wait for their turn or for the right to run. */
		countOpening: () => opening.size,

		/** Tells an entry what its lost attempt cost, and keeps it from starting when it has not. */
		fence(requestId: string, attempt: number): FenceOutcome {
			// The entry has given up on the attempt and reads none of its frames any more.
			deliveries.delete(formatAttempt(requestId, attempt));
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

		/** Stops a request whose caller has left. */
		cancel(requestId: string, attempt: number): void {
			const lookup = table.get(requestId);
			if (lookup.kind === 'tracked' && lookup.request.attempt === attempt) {
				lookup.request.stopper.abort();
			}
		},
	};
}
