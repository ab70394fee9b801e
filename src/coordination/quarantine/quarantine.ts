/**
 * Quarantine for requests that crash the upstreams running them (poison
 * messages, also called queries of death).
 *
 * Callers retry such a request through any gateway, and each retry crashes
 * another upstream together with all other requests running there. After
 * several consecutive crashes, all gateways refuse the request immediately
 * until a trial run succeeds: a circuit breaker for a single request.
 *
 * A crash alone does not show which request caused it, because it hits every
 * request running at the upstream. Three rules keep harmless requests out of
 * the quarantine: an answer seen by any gateway resets the count; simultaneous
 * crashes count once (`crash-registry.ts`); and a held request is tried again
 * after an interval that doubles with each failed trial.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result,
} from '../../protocol/mod.js';
import type {CrashRegistry, CrashRecord} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {rankByRendezvous} from '../peers/rendezvous.js';

/** Options of {@linkcode createQuarantine}. */
export type CreateQuarantineOptions = {
	readonly crashRegistry: CrashRegistry;
	/** This gateway's name. */
	readonly daemon: string;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when there is a change to advertise to other gateways. */
	readonly onChange: () => void;
	/** Called with the digest of a request during which this gateway saw an upstream crash. */
	readonly onCrash: (digest: string) => void;
};

/** One run of a request at an upstream. */
export type QuarantineRun = {
	/** Records that the upstream's process ended during the run. */
	readonly recordCrash: (upstream: string) => void;
	/** Records that the run returned a complete answer. */
	readonly recordAnswer: () => void;
};

/** A run, as described in log events. */
export type RunDescription = {
	/** ID of the request. */
	readonly request?: string;
	/** IDs of the parts of its prompt that other requests may contain. */
	readonly parts?: string;
};

/** A held request, as shown to operators. */
export type HeldRequest = CrashRecord & {
	/** Milliseconds since the last crash or trial. */
	readonly heldMs: number;
	/** Milliseconds until this gateway may run a trial. */
	readonly trialMs: number;
};

/** Quarantine for requests that crash upstreams. */
export type Quarantine = ReturnType<typeof createQuarantine>;

/** Consecutive crashes after which a request is held back. */
const crashesToHold = 3;
/** Consecutive crashes after which a request is not retried at another upstream and its record is written to the log. */
export const crashesToSuspect = 2;
/** How long a request is held back before its first trial; doubles with each failed trial. */
const firstHoldMs = 30_000;
/** Maximum interval between two trials. */
const maxHoldMs = 1_800_000;
/** How long a changed record is included in gossip; a gateway sends several entries in this time, whatever the size of the fleet. */
const gossipPeriodMs = 10_000;
/** Maximum number of records in one gossip entry; those with the most crashes come first. */
const maxGossipRecords = 12;

/** @internal */
function computeHoldMs(crashes: number): number {
	return Math.min(maxHoldMs, firstHoldMs * (2 ** (crashes - crashesToHold)));
}

/**
 * Creates a quarantine.
 *
 * @example
 * ```ts
 * const admitted = quarantine.admit(digest);
 * if (admitted.ok) {
 * 	const run = quarantine.trackRun(digest);
 * 	run.recordAnswer();
 * }
 * ```
 *
 * @param options The registry of crashes and the other gateways
 * @returns The quarantine
 */
export function createQuarantine(options: CreateQuarantineOptions) {
	const {
		crashRegistry, daemon, clock, events, onChange,
	} = options;

	const isHeld = (digest: string): boolean => crashRegistry.count(digest) >= crashesToHold;

	// Gateways run trials one after the other; otherwise a request could crash one upstream per gateway. All compute the same
	// order, and each waits one hold interval longer than the gateway before it, which may never receive the request.
	function computeTrialDelayMs({digest, crashes, changedAt}: CrashRecord & {readonly changedAt: number}): number {
		const rank = rankByRendezvous(digest, [daemon, ...options.listPeers()]).indexOf(daemon);
		return changedAt + (computeHoldMs(crashes) * (1 + rank)) - clock.now();
	}

	function reportChange(record: CrashRecord | undefined, cause: string, fields: RunDescription & {readonly upstream?: string} = {}): void {
		if (record) {
			const {digest, crashes} = record;
			events.write('requestSuspected', {
				...fields, digest, crashes, isHeld: crashes >= crashesToHold, cause,
			});
		}

		onChange();
	}

	function createRefusal({crashes}: CrashRecord): Failure {
		return createFailure('quarantined', `Request was not run: upstreams crashed ${crashes} times in a row while running it`);
	}

	return {
		/** Admits or refuses a request; a held request whose hold interval has passed is admitted as a trial. */
		admit(digest: string): Result<undefined, Failure> {
			const record = crashRegistry.get(digest);
			if (!record || record.crashes < crashesToHold) {
				return Ok(undefined);
			}

			if (computeTrialDelayMs(record) > 0) {
				return Err(createRefusal(record));
			}

			crashRegistry.recordTrial(digest, clock.now());
			reportChange(crashRegistry.get(digest), 'trial');
			return Ok(undefined);
		},

		/** Returns true if a request whose run was interrupted may be retried at another upstream. */
		mayRetry: (digest: string): boolean => crashRegistry.count(digest) < crashesToSuspect,

		/** Returns true if a request is likely to crash upstreams. A single crash is not enough, because it also hits requests that did not cause it. */
		isSuspected: (digest: string): boolean => crashRegistry.count(digest) >= crashesToSuspect,

		/** Starts tracking a run; the description is only used in log events. */
		trackRun(digest: string, description: RunDescription = {}): QuarantineRun {
			const recordAtStart = crashRegistry.get(digest);
			return {
				recordCrash(upstream) {
					if (crashRegistry.recordCrash(digest, {before: recordAtStart, now: clock.now()})) {
						reportChange(crashRegistry.get(digest), 'crash', {...description, upstream});
						options.onCrash(digest);
					}
				},
				recordAnswer() {
					if (crashRegistry.recordAnswer(digest, clock.now())) {
						reportChange(crashRegistry.get(digest), 'answered', {request: description.request});
					}
				},
			};
		},

		/** Merges a record received from another gateway or read from the log. */
		merge(record: CrashRecord, source: string): void {
			const wasHeld = isHeld(record.digest);
			if (!crashRegistry.merge(record, clock.now())) {
				return;
			}

			// The gateway that saw a crash has logged it. Others log only when the request becomes held or is released.
			if (isHeld(record.digest) === wasHeld) {
				onChange();
			} else {
				reportChange(crashRegistry.get(record.digest), source);
			}
		},

		/** Returns the recently changed records, to be included in the next gossip entry. */
		listRecent(): CrashRecord[] {
			const now = clock.now();
			return crashRegistry.isEmpty() ? [] : crashRegistry.list().filter(({changedAt}) => now - changedAt < gossipPeriodMs).slice(0, maxGossipRecords);
		},

		/** Returns all records, to be sent to a gateway that has just started. */
		listAll: (): CrashRecord[] => crashRegistry.list(),

		listHeld(): HeldRequest[] {
			const now = clock.now();
			return crashRegistry.list().filter(({crashes}) => crashes >= crashesToHold).map(record => ({
				digest: record.digest, round: record.round, crashes: record.crashes,
				heldMs: Math.round(now - record.changedAt), trialMs: Math.max(0, Math.round(computeTrialDelayMs(record))),
			}));
		},

		/** Releases a request on behalf of an operator; returns false if no crashes are recorded for it. */
		release(digest: string): boolean {
			const wasReleased = crashRegistry.recordAnswer(digest, clock.now());
			if (wasReleased) {
				reportChange(crashRegistry.get(digest), 'released');
			}

			return wasReleased;
		},

		prune(): void {
			crashRegistry.prune(clock.now());
		},
	};
}
