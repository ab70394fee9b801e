/**
 * One sending of a request to one upstream daemon: reserves tokens, checks the
 * frames, resumes a lost stream, and hands what stays unknown to the settler.
 *
 * @module
 */
import {createHash, randomInt} from 'node:crypto';
import {
	Ok, computeDigest, createFailure, isFailureType, ranSchema,
	type Done, type EventLog, type Failure, type GrantShare, type Refused, type Result, type RunFrame, type Work,
} from '../protocol/mod.js';
import type {AnswerEnd, Member, Reservation} from '../state/mod.js';
import {createBound, type Clock, type FleetClient} from '../transport/mod.js';
import {isWantedFrame, isWholeAnswer} from './frame-check.js';
import type {GrantKeeper} from './grant-keeper.js';
import type {LogFollower} from './log-follower.js';
import type {Membership} from './membership.js';
import type {RouteBook} from './route-book.js';
import type {Settler} from './settler.js';

/** A caller's request, checked and ready to be sent. */
export type RoutedCall = {
	readonly requestId: string;
	/** True when the caller named an idempotency key and may ask again through another entry. */
	readonly isKeyed: boolean;
	readonly work: Work;
	/** The model or service. */
	readonly target: string;
	/** True when two runs do no harm but cost. */
	readonly mayRepeat: boolean;
	readonly budget: string;
	/** Worst case, in tokens. */
	readonly worstCase: number;
	readonly priority: number;
	readonly payload: Uint8Array;
	/** Digest of the prompt's beginning. */
	readonly prefix: string;
	/** Clock at which the caller's deadline passes. */
	readonly deadline: number;
	/** Longest wait for tokens, in milliseconds. */
	readonly patience: number;
	/** Aborted when the caller has left. */
	readonly signal: AbortSignal;
	/** Throws away the chunks yielded so far; undefined when the caller has seen them already. */
	readonly restart?: () => void;
};

/** How one attempt ended. */
export type AttemptOutcome =
	| {readonly kind: 'done'; readonly end: AnswerEnd}
	| {readonly kind: 'refused'; readonly failure: Failure}
	| {readonly kind: 'lost'; readonly failure: Failure};

/** One sending of a request. */
export type Attempt = {
	readonly call: RoutedCall;
	readonly member: Readonly<Member>;
	/** Empty for an attempt that only attaches to an earlier run. */
	readonly reservation: Reservation;
	readonly isAttachOnly: boolean;
	readonly number: number;
	/** The next chunk wanted. */
	next: number;
	readonly hash: ReturnType<typeof createHash>;
	length: number;
	readonly startedAt: number;
};

/** Options of {@linkcode createAttemptRunner}. */
export type CreateAttemptRunnerOptions = {
	readonly follower: LogFollower;
	readonly membership: Membership;
	readonly fleet: FleetClient;
	readonly keeper: GrantKeeper;
	readonly settler: Settler;
	readonly book: RouteBook;
	readonly clock: Clock;
	readonly events: EventLog;
	/** How long a lost stream is tried to be resumed, in milliseconds. */
	readonly resumeWithin: number;
};

/** Sends requests to upstream daemons. */
export type AttemptRunner = ReturnType<typeof createAttemptRunner>;

const silenceBound = 3000;
const resumePause = 100;
const attemptLimit = 2 ** 31;
const retryAfterMs = 1000;

/** @internal */
function readRefusal(refused: Refused): Failure {
	const ran = ranSchema.safeParse(refused.ran);
	return createFailure(isFailureType(refused.code) ? refused.code : 'internal', refused.detail, {
		ran: ran.data ?? 'unknown',
		retryAfterMs: refused.retryAfterMs || undefined,
		heldBy: refused.heldBy || undefined,
	});
}

/** @internal */
function listBilled(done: Done, attempt: Attempt): GrantShare[] {
	// Billed to the attempt that started the run; an attached one's own reservation comes back whole.
	return done.billedAttempt === attempt.number ? done.billed.map(({grant, amount}) => ({grant, amount})) : [];
}

/**
 * Tells whether an attempt that only attaches found no earlier run.
 *
 * @example
 * ```ts
 * isNothingFound({kind: 'refused', failure: createFailure('unknown-object', 'No such request')}); // true
 * ```
 *
 * @param outcome How the attempt ended
 * @returns True when the request may be started there
 */
export function isNothingFound(outcome: AttemptOutcome): boolean {
	return outcome.kind === 'refused' && outcome.failure.type === 'unknown-object';
}

/**
 * Creates the runner of an entry daemon.
 *
 * @example
 * ```ts
 * const attempt = await attempts.start(call, member);
 * ```
 *
 * @param options Log, peers and grants
 * @returns The runner
 */
export function createAttemptRunner(options: CreateAttemptRunnerOptions) {
	const {
		follower, membership, fleet, keeper, settler, book, clock, events,
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
			fromSequence: attempt.next,
			from: membership.self.id,
			knownOffset: follower.state().next(),
			attachOnly: attempt.isAttachOnly,
		}, {signal});
	}

	function isWanted(attempt: Attempt, frame: RunFrame): boolean {
		const isWantedHere = isWantedFrame(frame, {requestId: attempt.call.requestId, attempt: attempt.number, sequence: attempt.next});
		if (!isWantedHere) {
			events.write('frameDropped', {request: attempt.call.requestId, sequence: frame.sequence, expected: attempt.next});
		}

		return isWantedHere;
	}

	function takeDone(attempt: Attempt, done: Done): AttemptOutcome {
		const digest = attempt.hash.copy().digest('hex');
		keeper.settle(attempt.reservation, listBilled(done, attempt));
		if (!isWholeAnswer(done, {chunks: attempt.next, length: attempt.length, digest})) {
			return {kind: 'refused', failure: createFailure('answer-cut', `The answer has ${attempt.next} of ${done.chunks} chunks or another digest`, {ran: 'yes', retryAfterMs})};
		}

		return {
			kind: 'done',
			end: {
				chunks: done.chunks, length: done.length, digest, promptTokens: done.promptTokens, completionTokens: done.completionTokens,
				billed: done.billed.map(({grant, amount}) => ({grant, amount})), finishReason: done.finishReason, status: done.status,
			},
		};
	}

	// Reads one connection until the answer ended, or returns undefined when it broke or fell silent.
	async function * readConnection(attempt: Attempt): AsyncGenerator<Uint8Array, AttemptOutcome | undefined> {
		const {call} = attempt;
		const silence = new AbortController();
		const bound = createBound(call.deadline - clock.now(), [silence.signal, call.signal]);
		let timer = setTimeout(() => {
			silence.abort();
		}, silenceBound);
		try {
			for await (const frame of openStream(attempt, bound.signal)) {
				clearTimeout(timer);
				timer = setTimeout(() => {
					silence.abort();
				}, silenceBound);
				if (!isWanted(attempt, frame)) {
					continue;
				}

				const {body} = frame;
				if (body.case === 'refused') {
					keeper.settle(attempt.reservation, []);
					return {kind: 'refused', failure: readRefusal(body.value)};
				}

				if (body.case === 'done') {
					return takeDone(attempt, body.value);
				}

				if (body.case === 'chunk') {
					if (attempt.next === 0) {
						book.noteFirst(attempt.member.daemon, clock.now() - attempt.startedAt);
					}

					attempt.next += 1;
					attempt.length += body.value.length;
					attempt.hash.update(body.value);
					yield body.value;
				}
			}
		} catch {
			// The connection broke; the caller of this function resumes or gives up.
		} finally {
			clearTimeout(timer);
			bound.clear();
		}

		return undefined;
	}

	// A silent connection is abandoned: others may work, and the next call opens one.
	function noteBroken(attempt: Attempt): void {
		fleet.connect(attempt.member.address).abandon();
		events.write('streamResumed', {
			request: attempt.call.requestId, hop: 'upstream daemon', upstream: attempt.member.daemon, next: attempt.next,
		});
	}

	function loseAttempt(attempt: Attempt): AttemptOutcome {
		const {call, member, reservation, number} = attempt;
		settler.add({
			requestId: call.requestId, attempt: number, reservation, daemon: member.daemon, incarnation: member.incarnation,
		});
		if ((call.signal.aborted || clock.now() >= call.deadline) && !call.isKeyed && call.mayRepeat) {
			void cancelUpstream(attempt);
		}

		events.write('upstreamLost', {request: call.requestId, upstream: member.daemon, chunks: attempt.next});
		const isCut = attempt.next > 0;
		if (clock.now() >= call.deadline) {
			return {kind: 'lost', failure: createFailure('deadline-passed', `The deadline passed after ${attempt.next} chunks`, {ran: isCut ? 'yes' : 'unknown'})};
		}

		return {
			kind: 'lost',
			failure: createFailure(isCut ? 'answer-cut' : 'no-upstream', `Upstream daemon "${member.daemon}" was lost after ${attempt.next} chunks`, {ran: isCut ? 'yes' : 'unknown', retryAfterMs}),
		};
	}

	async function cancelUpstream({call, member, number}: Attempt): Promise<void> {
		try {
			await fleet.connect(member.address).upstream.cancel({requestId: call.requestId, attempt: number}, {timeoutMs: silenceBound});
		} catch {
			// The settler asks again what it cost.
		}
	}

	async function * runAttempt(attempt: Attempt): AsyncGenerator<Uint8Array, AttemptOutcome> {
		const {call, member} = attempt;
		let brokenAt: number | undefined;
		for (;;) {
			const before = attempt.next;
			const outcome = yield * readConnection(attempt);
			if (outcome) {
				return outcome;
			}

			brokenAt = attempt.next > before ? clock.now() : brokenAt ?? clock.now();
			const isOver = clock.now() >= call.deadline || clock.now() - brokenAt > options.resumeWithin;
			// A keyed request may be running there, and a run elsewhere would be a second one: it is given the whole bound.
			const mayMove = call.mayRepeat && !call.isKeyed && attempt.next === 0 && !membership.isAlive(member.daemon);
			if (call.signal.aborted || isOver || mayMove || !isCurrent(member)) {
				return loseAttempt(attempt);
			}

			noteBroken(attempt);
			await clock.sleep(resumePause, call.signal);
		}
	}

	async function startAttempt(call: RoutedCall, member: Readonly<Member>, patience = call.patience): Promise<Result<Attempt, Failure>> {
		const reserved = await keeper.acquire(call.budget, call.worstCase, {patience: Math.min(patience, call.deadline - clock.now()), signal: call.signal});
		if (reserved.err) {
			return reserved;
		}

		return Ok(createAttempt(call, member, {reservation: reserved.val, isAttachOnly: false}));
	}

	// What has run has been paid for: reserving its worst case again would refuse the answer once the budget is used up.
	function attachToRun(call: RoutedCall, member: Readonly<Member>): Attempt | undefined {
		if (!call.isKeyed) {
			return undefined;
		}

		const {budget} = call;
		return createAttempt(call, member, {
			isAttachOnly: true, reservation: {
				budget, amount: 0, shares: [], settled: false,
			},
		});
	}

	function createAttempt(call: RoutedCall, member: Readonly<Member>, {reservation, isAttachOnly}: Pick<Attempt, 'reservation' | 'isAttachOnly'>): Attempt {
		return {
			call, member, reservation, isAttachOnly, number: randomInt(1, attemptLimit), next: 0,
			hash: createHash('sha256'), length: 0, startedAt: clock.now(),
		};
	}

	return {
		/** Reserves tokens for one sending; the patience is the call's unless it is given, in milliseconds. */
		start: startAttempt,
		/** Begins a sending without tokens, which finds an earlier run or nothing; undefined for a call without a key. */
		attach: attachToRun,
		/** Sends; yields the answer's chunks and returns how it ended. */
		run: runAttempt,
	};
}
