/**
 * Holds back requests that crash the upstreams that run them (poison messages,
 * or queries of death).
 *
 * Such a request is sent again by its caller, through any gateway, and ends
 * another upstream each time together with whatever else runs there. After
 * some crashes in a row it is refused at once, by all gateways, until a trial
 * shows that it runs well (a circuit breaker for one request).
 *
 * Standing under a crash proves little: all that runs at an upstream does when
 * another request crashes it. Three things keep a sound request from being
 * held back: an answer, seen by any gateway, ends the row; crashes count one
 * after the other and not at the same time (`crash-book.ts`); and a held
 * request is tried again after a span that doubles.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result,
} from '../protocol/mod.js';
import type {CrashRegistry, CrashRecord} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@linkcode createQuarantine}. */
export type CreateQuarantineOptions = {
	readonly book: CrashRegistry;
	/** This gateway's name. */
	readonly daemon: string;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when there is something to tell other gateways. */
	readonly onChange: () => void;
	/** Called with a request under which an upstream of this gateway has crashed. */
	readonly onCrash: (digest: string) => void;
};

/** One run of a request at an upstream. */
export type QuarantineRun = {
	/** Notes that the upstream's process ended under the run. */
	readonly noteCrash: (upstream: string) => void;
	/** Notes that the run brought a whole answer. */
	readonly noteAnswered: () => void;
};

/** A request that is held back, for operators. */
export type HeldRequest = CrashRecord & {
	/** Milliseconds since the last crash or trial. */
	readonly heldMs: number;
	/** Milliseconds until this gateway may try it. */
	readonly trialMs: number;
};

/** Holds back requests that crash upstreams. */
export type Quarantine = ReturnType<typeof createQuarantine>;

/** Crashes in a row after which a request is held back. */
const holdAfter = 3;
/** Crashes in a row after which a request is sent to one upstream only, and not on to the next, and is kept on the log. */
export const sendOnceAfter = 2;
/** How long a request is held back before its first trial, in milliseconds; doubled with each trial that fails. */
const firstHold = 30_000;
/** Longest time between two trials, in milliseconds. */
const longestHold = 1_800_000;
/** Changes are told to other gateways for so long, in milliseconds: several of a gateway's entries in a fleet of any size. */
const toldFor = 10_000;
/** Records that one entry tells, those with most crashes first. */
const recordsTold = 12;

/** @internal */
function computeHold(crashes: number): number {
	return Math.min(longestHold, firstHold * (2 ** (crashes - holdAfter)));
}

/**
 * Creates a quarantine that holds nothing back.
 *
 * @example
 * ```ts
 * const admitted = quarantine.admit(digest);
 * if (admitted.ok) {
 * 	const run = quarantine.begin(digest);
 * 	run.noteAnswered();
 * }
 * ```
 *
 * @param options What is known of crashes, and the other gateways
 * @returns The quarantine
 */
export function createQuarantine(options: CreateQuarantineOptions) {
	const {
		book, daemon, clock, events, onChange,
	} = options;

	const isHeld = (digest: string): boolean => book.count(digest) >= holdAfter;

	// Gateways take turns at trials, in an order that all agree on, so that one request ends one upstream and not one for
	// each gateway. The second in the order has its turn if the request has not come to the first.
	function countUntilTrial({digest, crashes, changedAt}: CrashRecord & {readonly changedAt: number}): number {
		const rank = rankByRendezvous(digest, [daemon, ...options.listPeers()]).indexOf(daemon);
		return changedAt + (computeHold(crashes) * (1 + rank)) - clock.now();
	}

	function tell(record: CrashRecord | undefined, cause: string, facts: {readonly request?: string; readonly upstream?: string} = {}): void {
		if (record) {
			const {digest, crashes} = record;
			events.write('requestSuspected', {
				...facts, digest, crashes, isHeld: crashes >= holdAfter, cause,
			});
		}

		onChange();
	}

	function refuse({crashes}: CrashRecord): Failure {
		return createFailure('quarantined', `This request has not run: ${crashes} upstreams in a row crashed while they ran it before`);
	}

	return {
		/** Takes a request, or refuses it; one that has been held back for long enough is taken as a trial. */
		admit(digest: string): Result<undefined, Failure> {
			const known = book.get(digest);
			if (!known || known.crashes < holdAfter) {
				return Ok(undefined);
			}

			if (countUntilTrial(known) > 0) {
				return Err(refuse(known));
			}

			book.recordTrial(digest, clock.now());
			tell(book.get(digest), 'trial');
			return Ok(undefined);
		},

		/** True if a request may go on at another upstream after it was broken off at one. */
		maySendOn: (digest: string): boolean => book.count(digest) < sendOnceAfter,

		/** True if a request is likely to crash the next upstream too: one crash strikes all that stands beside its cause. */
		isSuspected: (digest: string): boolean => book.count(digest) >= sendOnceAfter,

		/** Begins a run; the request's id is for the log. */
		begin(digest: string, request?: string): QuarantineRun {
			const before = book.get(digest);
			return {
				noteCrash(upstream) {
					if (book.recordCrash(digest, {before, now: clock.now()})) {
						tell(book.get(digest), 'crash', {request, upstream});
						options.onCrash(digest);
					}
				},
				noteAnswered() {
					if (book.recordAnswer(digest, clock.now())) {
						tell(book.get(digest), 'answered', {request});
					}
				},
			};
		},

		/** Takes what another gateway or the log knows. */
		take(record: CrashRecord, source: string): void {
			const wasHeld = isHeld(record.digest);
			if (!book.merge(record, clock.now())) {
				return;
			}

			// The gateway that has seen a crash logs it; the others only what changes for their callers.
			if (isHeld(record.digest) === wasHeld) {
				onChange();
			} else {
				tell(book.get(record.digest), source);
			}
		},

		/** What other gateways are told with the next entry. */
		listNews(): CrashRecord[] {
			const now = clock.now();
			return book.isEmpty() ? [] : book.list().filter(({changedAt}) => now - changedAt < toldFor).slice(0, recordsTold);
		},

		/** What a gateway that has just started is told. */
		listAll: (): CrashRecord[] => book.list(),

		/** The requests that are held back. */
		listHeld(): HeldRequest[] {
			const now = clock.now();
			return book.list().filter(({crashes}) => crashes >= holdAfter).map(known => ({
				digest: known.digest, round: known.round, crashes: known.crashes,
				heldMs: Math.round(now - known.changedAt), trialMs: Math.max(0, Math.round(countUntilTrial(known))),
			}));
		},

		/** Lets a request go, for an operator; false if nothing is known against it. */
		release(digest: string): boolean {
			const isKnown = book.recordAnswer(digest, clock.now());
			if (isKnown) {
				tell(book.get(digest), 'released');
			}

			return isKnown;
		},

		prune(): void {
			book.prune(clock.now());
		},
	};
}
