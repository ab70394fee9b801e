/**
 * Routes a request to an upstream daemon, and retries it at another one where
 * this cannot run a non-idempotent request twice.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type FailureType, type Result,
} from '../../protocol/mod.js';
import type {AnswerEnd, Member} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import {rankByRendezvous} from '../peers/rendezvous.js';
import type {RetryBudget} from '../load/retry-budget.js';
import type {RouteRegistry} from '../upstreams/route-registry.js';
import type {RoutingPolicy} from '../upstreams/routing-policy.js';
import {
	isRunNotFound, type Attempt, type AttemptOutcome, type AttemptRunner, type RoutedCall,
} from './attempt-runner.js';

/** Options of {@linkcode createRequestRouter}. */
export type CreateRequestRouterOptions = {
	readonly follower: LogFollower;
	readonly attempts: AttemptRunner;
	readonly routes: RouteRegistry;
	readonly policy: RoutingPolicy;
	readonly retries: RetryBudget;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Longest wait for an upstream daemon when none is reachable, in milliseconds. */
	readonly upstreamWaitMs: number;
};

/** Outcome of one attempt, and the number of chunks received. */
type SendResult = {readonly outcome: AttemptOutcome; readonly chunks: number};

/** Routes requests to upstream daemons. */
export type RequestRouter = ReturnType<typeof createRequestRouter>;

/** Interrupted answers after which a request is no longer retried, because it may itself crash the engines. */
const maxInterruptedAnswers = 2;
const holderRetryDelayMs = 300;
const memberPollIntervalMs = 50;
/** Time that a request with an idempotency key waits for tokens before it looks for an earlier run; a claim takes less. */
const keyedTokenTimeoutMs = 500;
const retryAfterMs = 1000;
/** Refusals that depend on the upstream daemon, so that another one may accept the request. */
const failuresToRetryElsewhere: ReadonlySet<FailureType> = new Set(['overloaded', 'leaving', 'not-ready', 'grant-closed', 'no-upstream']);

/**
 * Creates the request router of an entry daemon.
 *
 * @example
 * ```ts
 * for await (const chunk of router.run(call)) {}
 * ```
 *
 * @param options Log, attempts, routing policy and retry budget
 * @returns The request router
 */
export function createRequestRouter(options: CreateRequestRouterOptions) {
	const {
		follower, attempts, routes, policy, retries, clock, events,
	} = options;

	function findMember(daemon: string): Readonly<Member> | undefined {
		return follower.state().placement.get(daemon);
	}

	function pickByRequestId(call: RoutedCall, tried: ReadonlySet<string>): Readonly<Member> | undefined {
		const {placement, runs} = follower.state();
		const run = runs.get(call.requestId);
		if (run && !tried.has(run.daemon)) {
			return placement.get(run.daemon);
		}

		const candidates = routes.listCandidates(call.target, tried).map(candidate => candidate.daemon);
		const [first] = rankByRendezvous(call.requestId, candidates);
		return first === undefined ? undefined : placement.get(first);
	}

	function pickMember(call: RoutedCall, tried: ReadonlySet<string>): Readonly<Member> | undefined {
		if (call.isKeyed || !call.mayRepeat) {
			return pickByRequestId(call, tried);
		}

		const candidates = routes.listCandidates(call.target, tried);
		return candidates.length === 0 ? undefined : findMember(policy.pick({prefix: call.prefix}, candidates).daemon);
	}

	function mayRetryElsewhere(call: RoutedCall, outcome: AttemptOutcome, chunks: number): boolean {
		const wasDelivered = chunks > 0 && call.discardChunks === undefined;
		if (outcome.kind === 'done' || wasDelivered || call.signal.aborted || clock.now() >= call.deadline) {
			return false;
		}

		if (outcome.kind === 'refused') {
			const {failure} = outcome;
			return failure.heldBy !== undefined || (failure.ran === 'no' && failuresToRetryElsewhere.has(failure.type)) || (call.mayRepeat && failure.type === 'answer-cut');
		}

		// A non-idempotent request whose attempt was lost is sent to another upstream daemon only if the log is available to
		// decide which of the two may run it.
		return call.mayRepeat || follower.isLogUp();
	}

	// The log assigns the request to another upstream daemon: allows a retry there, or returns a failure if that daemon's
	// incarnation is no longer current.
	async function prepareRetryAtHolder(call: RoutedCall, heldBy: string, tried: Set<string>): Promise<Failure | undefined> {
		const [daemon = '', incarnation = ''] = heldBy.split('/');
		if (!follower.state().placement.isCurrent(daemon, incarnation)) {
			events.write('outcomeUnknown', {request: call.requestId, upstream: daemon});
			return createFailure('outcome-unknown', `Upstream daemon "${daemon}" failed while the request was assigned to it`, {ran: 'unknown'});
		}

		tried.delete(daemon);
		await clock.sleep(holderRetryDelayMs, call.signal);
		return undefined;
	}

	// All upstream daemons can become unresponsive at once, for example while a network switch is replaced. Heartbeats
	// find working connections again within their time limit, so the router waits for an upstream instead of failing at once.
	async function waitForMember(call: RoutedCall, tried: Set<string>, last: Failure | undefined): Promise<Readonly<Member> | undefined> {
		const until = Math.min(call.deadline, clock.now() + options.upstreamWaitMs);
		for (;;) {
			const member = pickMember(call, tried);
			const isWaitUseless = last !== undefined && last.type !== 'no-upstream' && last.type !== 'answer-cut';
			if (member !== undefined || isWaitUseless || clock.now() >= until || call.signal.aborted) {
				return member;
			}

			tried.clear();
			await clock.sleep(memberPollIntervalMs, call.signal);
		}
	}

	function createNoMemberFailure(call: RoutedCall, last: Failure | undefined): Failure {
		const run = follower.state().runs.get(call.requestId);
		if (!call.mayRepeat && run) {
			return createFailure('outcome-unknown', `Upstream daemon "${run.daemon}" became unreachable while the request was assigned to it`, {ran: 'unknown'});
		}

		return last ?? createFailure('no-upstream', `No upstream for "${call.target}" is reachable`, {retryAfterMs});
	}

	// A later refusal must not hide that an earlier attempt of a non-idempotent request may have run.
	function preserveUnknownOutcome(call: RoutedCall, failure: Failure, mayHaveRun: boolean): Failure {
		return mayHaveRun && failure.ran === 'no' && !call.mayRepeat
			? createFailure('outcome-unknown', failure.detail, {ran: 'unknown'})
			: failure;
	}

	async function * runAttempt(attempt: Attempt): AsyncGenerator<Uint8Array, SendResult> {
		const {daemon} = attempt.member;
		routes.recordStart(daemon);
		const outcome = yield * attempts.run(attempt);
		routes.recordEnd(daemon);
		return {outcome, chunks: attempt.nextSequence};
	}

	// Attaches to an earlier run of the request; undefined if there is none.
	async function * attachToEarlierRun(call: RoutedCall, member: Readonly<Member>): AsyncGenerator<Uint8Array, SendResult | undefined> {
		const attempt = attempts.attach(call, member);
		const sent = attempt && (yield * runAttempt(attempt));
		if (!sent || !isRunNotFound(sent.outcome)) {
			return sent;
		}

		const failure = createFailure('answer-cut', `The run at upstream daemon "${member.daemon}" ended after ${sent.chunks} chunks`, {ran: 'yes', retryAfterMs});
		return sent.chunks > 0 ? {...sent, outcome: {kind: 'refused', failure}} : undefined;
	}

	// A retry with an idempotency key may find too few tokens for a second run, and needs none if its first run is found.
	async function * sendToMember(call: RoutedCall, member: Readonly<Member>): AsyncGenerator<Uint8Array, Result<SendResult, Failure>> {
		const first = await attempts.start(call, member, call.isKeyed ? keyedTokenTimeoutMs : call.tokenTimeoutMs);
		if (first.ok || !call.isKeyed) {
			return first.err ? first : Ok(yield * runAttempt(first.val));
		}

		const attached = yield * attachToEarlierRun(call, member);
		if (attached) {
			return Ok(attached);
		}

		const started = await attempts.start(call, member);
		return started.err ? started : Ok(yield * runAttempt(started.val));
	}

	return {
		/** Runs a request; yields the chunks of the answer and returns its end or the failure. */
		async * run(call: RoutedCall): AsyncGenerator<Uint8Array, Result<AnswerEnd, Failure>> {
			const tried = new Set<string>();
			let last: Failure | undefined;
			let mayHaveRun = false;
			let interruptedAnswers = 0;
			retries.deposit();
			for (let isFirst = true; ; isFirst = false) {
				if (!isFirst && last?.heldBy === undefined && !retries.tryWithdraw()) {
					return Err(preserveUnknownOutcome(call, last ?? createFailure('overloaded', 'The retry budget is used up', {retryAfterMs}), mayHaveRun));
				}

				const member = await waitForMember(call, tried, last);
				if (!member) {
					return Err(preserveUnknownOutcome(call, createNoMemberFailure(call, last), mayHaveRun));
				}

				const sent = yield * sendToMember(call, member);
				if (sent.err) {
					return Err(preserveUnknownOutcome(call, sent.val, mayHaveRun));
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

				interruptedAnswers += outcome.kind === 'refused' && last.type === 'answer-cut' ? 1 : 0;
				if (interruptedAnswers >= maxInterruptedAnswers || !mayRetryElsewhere(call, outcome, chunks)) {
					return Err(preserveUnknownOutcome(call, last, mayHaveRun));
				}

				const holderFailure = last.heldBy === undefined ? undefined : await prepareRetryAtHolder(call, last.heldBy, tried);
				if (holderFailure) {
					return Err(holderFailure);
				}

				call.discardChunks?.();
				events.write('requestRetried', {request: call.requestId, after: last.type, upstream: member.daemon});
			}
		},
	};
}
