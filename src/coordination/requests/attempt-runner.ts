/**
 * Runs one attempt of a request at one upstream daemon: reserves tokens, checks
 * the frames, resumes a broken stream, and hands attempts whose cost is unknown
 * to the settler.
 *
 * @module
 */
import {createHash, randomInt} from 'node:crypto';
import {
	Ok, computeDigest, createFailure, isFailureType, runStatusSchema,
	type Done, type EventLog, type Failure, type GrantShare, type Refused, type Result, type RunFrame, type Work,
} from '../../protocol/mod.js';
import type {AnswerEnd, Member, Reservation} from '../../state/mod.js';
import {createTimeoutSignal, type Clock, type FleetClient} from '../../transport/mod.js';
import {isExpectedFrame, isCompleteAnswer} from '../streams/frame-check.js';
import type {GrantManager} from '../budgets/grant-manager.js';
import type {LogFollower} from '../store/log-follower.js';
import type {Membership} from '../peers/membership.js';
import type {RouteRegistry} from '../upstreams/route-registry.js';
import type {Settler} from '../budgets/settler.js';

/** A validated request of a caller, ready to be sent. */
export type RoutedCall = {
	readonly requestId: string;
	/** True if the caller gave an idempotency key and may retry through another entry daemon. */
	readonly isKeyed: boolean;
	readonly work: Work;
	/** Name of the model or service. */
	readonly target: string;
	/** True if a second run does no harm beyond its cost. */
	readonly mayRepeat: boolean;
	readonly budget: string;
	/** Highest possible cost, in tokens. */
	readonly worstCaseTokens: number;
	readonly priority: number;
	readonly payload: Uint8Array;
	/** Digest of the beginning of the prompt. */
	readonly prefix: string;
	/** Clock time of the caller's deadline, in milliseconds. */
	readonly deadline: number;
	/** Timeout for reserving tokens, in milliseconds. */
	readonly tokenTimeoutMs: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Discards the chunks yielded so far; undefined if chunks are passed on to the caller as they arrive. */
	readonly discardChunks?: () => void;
};

/** How one attempt ended. The outcome of a `lost` attempt's run is unknown until the settler has queried it. */
export type AttemptOutcome =
	| {readonly kind: 'done'; readonly end: AnswerEnd}
	| {readonly kind: 'refused'; readonly failure: Failure}
	| {readonly kind: 'lost'; readonly failure: Failure};

/** One attempt to run a request at an upstream daemon. */
export type Attempt = {
	readonly call: RoutedCall;
	readonly member: Readonly<Member>;
	/** Holds no tokens if the attempt may only attach to an earlier run. */
	readonly reservation: Reservation;
	readonly isAttachOnly: boolean;
	readonly number: number;
	/** Sequence number of the next chunk. */
	nextSequence: number;
	/** SHA-256 over the chunks received so far. */
	readonly hash: ReturnType<typeof createHash>;
	/** Total length of the chunks received so far, in bytes. */
	byteLength: number;
	readonly startedAt: number;
};

/** Options of {@linkcode createAttemptRunner}. */
export type CreateAttemptRunnerOptions = {
	readonly follower: LogFollower;
	readonly membership: Membership;
	readonly fleet: FleetClient;
	readonly grants: GrantManager;
	readonly settler: Settler;
	readonly routes: RouteRegistry;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Longest time without a new chunk during which a broken stream is resumed, in milliseconds. */
	readonly resumeTimeoutMs: number;
};

/** Runs attempts at upstream daemons. */
export type AttemptRunner = ReturnType<typeof createAttemptRunner>;

const responseTimeoutMs = 3000;
const resumeDelayMs = 100;
const attemptNumberLimit = 2 ** 31;
const retryAfterMs = 1000;

/** @internal */
function readRefusal(refused: Refused): Failure {
	const ran = runStatusSchema.safeParse(refused.ran);
	return createFailure(isFailureType(refused.code) ? refused.code : 'internal', refused.detail, {
		ran: ran.data ?? 'unknown',
		retryAfterMs: refused.retryAfterMs || undefined,
		heldBy: refused.heldBy || undefined,
	});
}

/** @internal */
function listBilledShares(done: Done, attempt: Attempt): GrantShare[] {
	// The run is billed to the attempt that started it. An attached attempt gets its whole reservation back.
	return done.billedAttempt === attempt.number ? done.billed.map(({grant, amount}) => ({grant, amount})) : [];
}

/**
 * Returns whether an attach-only attempt found no earlier run.
 *
 * @example
 * ```ts
 * isRunNotFound({kind: 'refused', failure: createFailure('unknown-object', 'No such request')}); // true
 * ```
 *
 * @param outcome The outcome of the attempt
 * @returns True if the request may be started at that upstream daemon
 */
export function isRunNotFound(outcome: AttemptOutcome): boolean {
	return outcome.kind === 'refused' && outcome.failure.type === 'unknown-object';
}

/**
 * Creates the attempt runner of an entry daemon.
 *
 * @example
 * ```ts
 * const attempt = await attempts.start(call, member);
 * ```
 *
 * @param options Log, peers, grants and timeouts
 * @returns The attempt runner
 */
export function createAttemptRunner(options: CreateAttemptRunnerOptions) {
	const {
		follower, membership, fleet, grants, settler, routes, clock, events,
	} = options;

	function isCurrent(member: Readonly<Member>): boolean {
		const peer = membership.get(member.daemon);
		return follower.state().placement.isCurrent(member.daemon, member.incarnation)
			&& (!peer || peer.isSuspected || peer.incarnation === '' || peer.incarnation === member.incarnation);
	}

	function openStream(attempt: Attempt, signal: AbortSignal): AsyncIterable<RunFrame> {
		const {call, member, reservation, number} = attempt;
		return fleet.connect(member.address).upstream.run({
			requestId: call.requestId,
			attempt: number,
			work: call.work,
			target: call.target,
			shares: [...reservation.shares],
			remainingMs: Math.max(1, Math.round(call.deadline - clock.now())),
			priority: call.priority,
			payload: call.payload,
			payloadDigest: computeDigest(call.payload),
			fromSequence: attempt.nextSequence,
			from: membership.self.id,
			knownOffset: follower.state().getNextOffset(),
			attachOnly: attempt.isAttachOnly,
		}, {signal});
	}

	function checkFrame(attempt: Attempt, frame: RunFrame): boolean {
		const isExpected = isExpectedFrame(frame, {requestId: attempt.call.requestId, attempt: attempt.number, sequence: attempt.nextSequence});
		if (!isExpected) {
			events.write('frameDropped', {request: attempt.call.requestId, sequence: frame.sequence, expected: attempt.nextSequence});
		}

		return isExpected;
	}

	function handleDone(attempt: Attempt, done: Done): AttemptOutcome {
		const digest = attempt.hash.copy().digest('hex');
		grants.settle(attempt.reservation, listBilledShares(done, attempt));
		if (!isCompleteAnswer(done, {chunks: attempt.nextSequence, length: attempt.byteLength, digest})) {
			return {kind: 'refused', failure: createFailure('answer-cut', `The answer is incomplete or corrupted: got ${attempt.nextSequence} of ${done.chunks} chunks`, {ran: 'yes', retryAfterMs})};
		}

		return {
			kind: 'done',
			end: {
				chunks: done.chunks, length: done.length, digest, promptTokens: done.promptTokens, completionTokens: done.completionTokens,
				billed: done.billed.map(({grant, amount}) => ({grant, amount})), finishReason: done.finishReason, status: done.status,
			},
		};
	}

	// Reads one connection until the attempt ends. Returns undefined if the connection breaks or becomes unresponsive.
	async function * readConnection(attempt: Attempt): AsyncGenerator<Uint8Array, AttemptOutcome | undefined> {
		const {call} = attempt;
		const unresponsive = new AbortController();
		const timeout = createTimeoutSignal(call.deadline - clock.now(), [unresponsive.signal, call.signal]);
		let timer = setTimeout(() => {
			unresponsive.abort();
		}, responseTimeoutMs);
		try {
			for await (const frame of openStream(attempt, timeout.signal)) {
				clearTimeout(timer);
				timer = setTimeout(() => {
					unresponsive.abort();
				}, responseTimeoutMs);
				if (!checkFrame(attempt, frame)) {
					continue;
				}

				const {body} = frame;
				if (body.case === 'refused') {
					grants.settle(attempt.reservation, []);
					return {kind: 'refused', failure: readRefusal(body.value)};
				}

				if (body.case === 'done') {
					return handleDone(attempt, body.value);
				}

				if (body.case === 'chunk') {
					if (attempt.nextSequence === 0) {
						routes.recordFirstChunk(attempt.member.daemon, clock.now() - attempt.startedAt);
					}

					attempt.nextSequence += 1;
					attempt.byteLength += body.value.length;
					attempt.hash.update(body.value);
					yield body.value;
				}
			}
		} catch {
			// The connection broke; `runAttempt` resumes the stream or gives up.
		} finally {
			clearTimeout(timer);
			timeout.clear();
		}

		return undefined;
	}

	// Drops the connection even if it is only unresponsive: a new one, opened by the next call, may work.
	function abandonConnection(attempt: Attempt): void {
		fleet.connect(attempt.member.address).abandon();
		events.write('streamResumed', {
			request: attempt.call.requestId, hop: 'upstream daemon', upstream: attempt.member.daemon, next: attempt.nextSequence,
		});
	}

	function giveUpAttempt(attempt: Attempt): AttemptOutcome {
		const {call, member, reservation, number} = attempt;
		settler.add({
			requestId: call.requestId, attempt: number, reservation, daemon: member.daemon, incarnation: member.incarnation,
		});
		if ((call.signal.aborted || clock.now() >= call.deadline) && !call.isKeyed && call.mayRepeat) {
			void cancelUpstream(attempt);
		}

		events.write('upstreamLost', {request: call.requestId, upstream: member.daemon, chunks: attempt.nextSequence});
		const isInterrupted = attempt.nextSequence > 0;
		if (clock.now() >= call.deadline) {
			return {kind: 'lost', failure: createFailure('deadline-passed', `The deadline passed after ${attempt.nextSequence} chunks`, {ran: isInterrupted ? 'yes' : 'unknown'})};
		}

		return {
			kind: 'lost',
			failure: createFailure(isInterrupted ? 'answer-cut' : 'no-upstream', `Upstream daemon "${member.daemon}" stopped responding after ${attempt.nextSequence} chunks`, {
				ran: isInterrupted ? 'yes' : 'unknown', retryAfterMs,
			}),
		};
	}

	async function cancelUpstream({call, member, number}: Attempt): Promise<void> {
		try {
			await fleet.connect(member.address).upstream.cancel({requestId: call.requestId, attempt: number}, {timeoutMs: responseTimeoutMs});
		} catch {
			// The settler queries the attempt's cost in any case.
		}
	}

	async function * runAttempt(attempt: Attempt): AsyncGenerator<Uint8Array, AttemptOutcome> {
		const {call, member} = attempt;
		let brokenAt: number | undefined;
		for (;;) {
			const previousSequence = attempt.nextSequence;
			const outcome = yield * readConnection(attempt);
			if (outcome) {
				return outcome;
			}

			brokenAt = attempt.nextSequence > previousSequence ? clock.now() : brokenAt ?? clock.now();
			const isTimedOut = clock.now() >= call.deadline || clock.now() - brokenAt > options.resumeTimeoutMs;
			// A request with an idempotency key may still be running there, and moving it would start a second run. It is
			// therefore resumed until the timeout.
			const mayMove = call.mayRepeat && !call.isKeyed && attempt.nextSequence === 0 && !membership.isAlive(member.daemon);
			if (call.signal.aborted || isTimedOut || mayMove || !isCurrent(member)) {
				return giveUpAttempt(attempt);
			}

			abandonConnection(attempt);
			await clock.sleep(resumeDelayMs, call.signal);
		}
	}

	async function startAttempt(call: RoutedCall, member: Readonly<Member>, tokenTimeoutMs = call.tokenTimeoutMs): Promise<Result<Attempt, Failure>> {
		const reserved = await grants.acquire(call.budget, call.worstCaseTokens, {timeoutMs: Math.min(tokenTimeoutMs, call.deadline - clock.now()), signal: call.signal});
		if (reserved.err) {
			return reserved;
		}

		return Ok(createAttempt(call, member, {reservation: reserved.val, isAttachOnly: false}));
	}

	// Reserves nothing, because an earlier run has already been paid for. Reserving its worst case again would withhold the
	// answer once the budget is used up.
	function createAttachAttempt(call: RoutedCall, member: Readonly<Member>): Attempt | undefined {
		if (!call.isKeyed) {
			return undefined;
		}

		const {budget} = call;
		return createAttempt(call, member, {
			isAttachOnly: true, reservation: {
				budget, amount: 0, shares: [], isSettled: false,
			},
		});
	}

	function createAttempt(call: RoutedCall, member: Readonly<Member>, {reservation, isAttachOnly}: Pick<Attempt, 'reservation' | 'isAttachOnly'>): Attempt {
		return {
			call, member, reservation, isAttachOnly, number: randomInt(1, attemptNumberLimit), nextSequence: 0,
			hash: createHash('sha256'), byteLength: 0, startedAt: clock.now(),
		};
	}

	return {
		/** Reserves tokens for one attempt and creates it; the timeout for the tokens is the call's unless it is given. */
		start: startAttempt,
		/** Creates an attempt without tokens that can only attach to an earlier run; undefined if the call has no idempotency key. */
		attach: createAttachAttempt,
		/** Runs the attempt; yields the chunks of the answer and returns the outcome. */
		run: runAttempt,
	};
}
