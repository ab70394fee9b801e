/**
 * Picks an upstream daemon for a request, and retries elsewhere where that
 * cannot run it twice.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type FailureType, type Result,
} from '../protocol/mod.js';
import type {AnswerEnd, Member} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {
	isNothingFound, type Attempt, type AttemptOutcome, type AttemptRunner, type RoutedCall,
} from './attempt-runner.js';
import type {LogFollower} from './log-follower.js';
import {rankByRendezvous} from './rendezvous.js';
import type {RetryBudget} from './retry-budget.js';
import type {RouteBook} from './route-book.js';
import type {RoutingPolicy} from './routing-policy.js';

/** Options of {@linkcode createRequestRouter}. */
export type CreateRequestRouterOptions = {
	readonly follower: LogFollower;
	readonly attempts: AttemptRunner;
	readonly book: RouteBook;
	readonly policy: RoutingPolicy;
	readonly retries: RetryBudget;
	readonly clock: Clock;
	readonly events: EventLog;
	/** How long an upstream is waited for when none can be reached, in milliseconds. */
	readonly resumeWithin: number;
};

/** How one sending ended, and how many chunks it brought. */
type Sending = {readonly outcome: AttemptOutcome; readonly chunks: number};

/** Routes requests. */
export type RequestRouter = ReturnType<typeof createRequestRouter>;

/** Runs that break off at their upstream before a request is given up: it may be the request that ends them. */
const cutLimit = 2;
const heldPause = 300;
const memberPause = 50;
/** How long a request with a key waits for tokens before it looks for its earlier run, in milliseconds: a claim takes less. */
const keyedPatience = 500;
const retryAfterMs = 1000;
/** Refusals of one upstream daemon that another one may not share. */
const movableFailures: ReadonlySet<FailureType> = new Set(['overloaded', 'leaving', 'not-ready', 'grant-closed', 'no-upstream']);

/**
 * Creates the router of an entry daemon.
 *
 * @example
 * ```ts
 * for await (const chunk of router.run(call)) {}
 * ```
 *
 * @param options Log, peers, grants and policy
 * @returns The router
 */
export function createRequestRouter(options: CreateRequestRouterOptions) {
	const {
		follower, attempts, book, policy, retries, clock, events,
	} = options;

	function findMember(daemon: string): Readonly<Member> | undefined {
		return follower.state().placement.get(daemon);
	}

	function pickByKey(call: RoutedCall, tried: ReadonlySet<string>): Readonly<Member> | undefined {
		const {placement, runs} = follower.state();
		const run = runs.get(call.requestId);
		if (run && !tried.has(run.daemon)) {
			return placement.get(run.daemon);
		}

		const candidates = book.listCandidates(call.target, tried).map(candidate => candidate.daemon);
		const [first] = rankByRendezvous(call.requestId, candidates);
		return first === undefined ? undefined : placement.get(first);
	}

	function pickMember(call: RoutedCall, tried: ReadonlySet<string>): Readonly<Member> | undefined {
		if (call.isKeyed || !call.mayRepeat) {
			return pickByKey(call, tried);
		}

		const candidates = book.listCandidates(call.target, tried);
		return candidates.length === 0 ? undefined : findMember(policy.pick({prefix: call.prefix}, candidates).daemon);
	}

	function mayTryElsewhere(call: RoutedCall, outcome: AttemptOutcome, chunks: number): boolean {
		const isSeen = chunks > 0 && call.restart === undefined;
		if (outcome.kind === 'done' || isSeen || call.signal.aborted || clock.now() >= call.deadline) {
			return false;
		}

		if (outcome.kind === 'refused') {
			const {failure} = outcome;
			return failure.heldBy !== undefined || (failure.ran === 'no' && movableFailures.has(failure.type)) || (call.mayRepeat && failure.type === 'answer-cut');
		}

		// A lost non-idempotent call goes on at another executor only when the log can tell which of the two may run it.
		return call.mayRepeat || follower.isLogUp();
	}

	// The log gave the request to another executor: ask that one, while it lives.
	async function followHolder(call: RoutedCall, heldBy: string, tried: Set<string>): Promise<Failure | undefined> {
		const [daemon = '', incarnation = ''] = heldBy.split('/');
		if (!follower.state().placement.isCurrent(daemon, incarnation)) {
			events.write('outcomeUnknown', {request: call.requestId, upstream: daemon});
			return createFailure('outcome-unknown', `Upstream daemon "${daemon}" was lost while it had the request`, {ran: 'unknown'});
		}

		tried.delete(daemon);
		await clock.sleep(heldPause, call.signal);
		return undefined;
	}

	// All upstreams can fall silent together when a switch is replaced; heartbeats find the new ways within their bound.
	async function waitForMember(call: RoutedCall, tried: Set<string>, last: Failure | undefined): Promise<Readonly<Member> | undefined> {
		const until = Math.min(call.deadline, clock.now() + options.resumeWithin);
		for (;;) {
			const member = pickMember(call, tried);
			const isPointless = last !== undefined && last.type !== 'no-upstream' && last.type !== 'answer-cut';
			if (member !== undefined || isPointless || clock.now() >= until || call.signal.aborted) {
				return member;
			}

			tried.clear();
			await clock.sleep(memberPause, call.signal);
		}
	}

	function explainNoMember(call: RoutedCall, last: Failure | undefined): Failure {
		const run = follower.state().runs.get(call.requestId);
		if (!call.mayRepeat && run) {
			return createFailure('outcome-unknown', `Upstream daemon "${run.daemon}" was lost while it had the request`, {ran: 'unknown'});
		}

		return last ?? createFailure('no-upstream', `No upstream for "${call.target}" can be reached`, {retryAfterMs});
	}

	// A later refusal must not hide that an earlier attempt may have run.
	function worsen(call: RoutedCall, failure: Failure, mayHaveRun: boolean): Failure {
		return mayHaveRun && failure.ran === 'no' && !call.mayRepeat
			? createFailure('outcome-unknown', failure.detail, {ran: 'unknown'})
			: failure;
	}

	async function * runAttempt(attempt: Attempt): AsyncGenerator<Uint8Array, Sending> {
		const {daemon} = attempt.member;
		book.noteStart(daemon);
		const outcome = yield * attempts.run(attempt);
		book.noteEnd(daemon);
		return {outcome, chunks: attempt.next};
	}

	// Finds the run that a request repeats; undefined when there is none.
	async function * attachTo(call: RoutedCall, member: Readonly<Member>): AsyncGenerator<Uint8Array, Sending | undefined> {
		const attempt = attempts.attach(call, member);
		const sending = attempt && (yield * runAttempt(attempt));
		if (!sending || !isNothingFound(sending.outcome)) {
			return sending;
		}

		const failure = createFailure('answer-cut', `The run at upstream daemon "${member.daemon}" ended after ${sending.chunks} chunks`, {ran: 'yes', retryAfterMs});
		return sending.chunks > 0 ? {...sending, outcome: {kind: 'refused', failure}} : undefined;
	}

	// A repeat may lack tokens for a second run, which it does not need if the first one is known.
	async function * sendTo(call: RoutedCall, member: Readonly<Member>): AsyncGenerator<Uint8Array, Result<Sending, Failure>> {
		const first = await attempts.start(call, member, call.isKeyed ? keyedPatience : call.patience);
		if (first.ok || !call.isKeyed) {
			return first.err ? first : Ok(yield * runAttempt(first.val));
		}

		const attached = yield * attachTo(call, member);
		if (attached) {
			return Ok(attached);
		}

		const started = await attempts.start(call, member);
		return started.err ? started : Ok(yield * runAttempt(started.val));
	}

	return {
		/** Runs a request; yields its chunks and returns how it ended. */
		async * run(call: RoutedCall): AsyncGenerator<Uint8Array, Result<AnswerEnd, Failure>> {
			const tried = new Set<string>();
			let last: Failure | undefined;
			let mayHaveRun = false;
			let cuts = 0;
			retries.earn();
			for (let isFirst = true; ; isFirst = false) {
				if (!isFirst && last?.heldBy === undefined && !retries.take()) {
					return Err(worsen(call, last ?? createFailure('overloaded', 'The retry budget is used up', {retryAfterMs}), mayHaveRun));
				}

				const member = await waitForMember(call, tried, last);
				if (!member) {
					return Err(worsen(call, explainNoMember(call, last), mayHaveRun));
				}

				const sent = yield * sendTo(call, member);
				if (sent.err) {
					return Err(worsen(call, sent.val, mayHaveRun));
				}

				const {outcome, chunks} = sent.val;
				if (outcome.kind === 'done') {
					return Ok(outcome.end);
				}

				if (outcome.kind === 'lost') {
					mayHaveRun = true;
				}

				last = outcome.failure;
				if (last.type !== 'grant-closed') {
					tried.add(member.daemon);
				}

				cuts += outcome.kind === 'refused' && last.type === 'answer-cut' ? 1 : 0;
				if (cuts >= cutLimit || !mayTryElsewhere(call, outcome, chunks)) {
					return Err(worsen(call, last, mayHaveRun));
				}

				const lost = last.heldBy === undefined ? undefined : await followHolder(call, last.heldBy, tried);
				if (lost) {
					return Err(lost);
				}

				call.restart?.();
				events.write('requestRetried', {request: call.requestId, after: last.type, upstream: member.daemon});
			}
		},
	};
}
