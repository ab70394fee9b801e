/**
 * Quarantine for parts of prompts that crash the upstreams that answer them.
 *
 * Requests that share such a part need not be alike in anything else, so a
 * quarantine for whole requests does not recognise them. Gateways share the
 * crashes that they saw by part, and all decide alike which part is to blame
 * (`part-blame.ts`). Requests with a part that is held back are refused without
 * being sent, until a trial is answered or an operator releases the part.
 *
 * A complete answer shows that a part is sound. Single events do not, because an
 * upstream may crash after the first ones.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result,
} from '../protocol/mod.js';
import {
	announcePart, type PartAnnouncement, type PartCrashRegistry, type TrackedPartRecord,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {decideBlame, type BlameLevel} from './part-blame.js';
import type {PartKey} from './part-keys.js';

/** Options of {@linkcode createPartQuarantine}. */
export type CreatePartQuarantineOptions = {
	readonly registry: PartCrashRegistry;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when there is a change to advertise to other gateways. */
	readonly onChange: () => void;
	/** Called with the digest of a part that is to blame for a crash that this gateway saw. */
	readonly onCrash: (digest: string) => void;
	/**
	 * Claims the next trial of a part for this gateway; resolves with false if
	 * another gateway has it or the log does not answer.
	 */
	readonly claimTrial: (digest: string) => Promise<boolean>;
};

/** One run of a request at an upstream. */
export type PartRun = {
	/** Records that the upstream's process ended during the run. */
	readonly recordCrash: (upstream: {readonly id: string; readonly start: number}, request: string | undefined) => void;
	/** Records that the run returned a complete answer. */
	readonly recordAnswer: () => void;
};

/** A part that is held back, as shown to operators. */
export type HeldPart = {
	readonly digest: string;
	/** ID of the part, if this gateway has received a request with it. */
	readonly part: string | undefined;
	readonly crashes: number;
	readonly trials: number;
	/** Milliseconds since the last crash or trial. */
	readonly heldMs: number;
	/** Milliseconds until the next trial. */
	readonly trialMs: number;
};

/** Quarantine for parts of prompts. */
export type PartQuarantine = ReturnType<typeof createPartQuarantine>;

/** Delays of the first trials after the last crash or trial. The last one keeps trials to two on the first day and one on later days. */
const trialDelaysMs = [30_000, 600_000, 86_400_000] as const;
/** A request with several held parts shows less if its trial fails, so it waits longer than one with a single held part. */
const severalPartsDelayFactor = 2;
/** How long a changed record is included in gossip. */
const gossipPeriodMs = 10_000;
/** Maximum number of records in one gossip entry. */
const maxGossipRecords = 12;
/** Maximum number of parts whose IDs are kept for operators. */
const maxNames = 1000;

/** @internal */
function findTrialDelayMs(trials: number): number {
	return trialDelaysMs[Math.min(trials, trialDelaysMs.length - 1)]!;
}

/**
 * Creates a quarantine.
 *
 * @example
 * ```ts
 * const admitted = quarantine.admit(parts);
 * if (admitted.ok) {
 * 	quarantine.trackRun(parts).recordAnswer();
 * }
 * ```
 *
 * @param options The registry of crashes and the claim of trials
 * @returns The quarantine
 */
export function createPartQuarantine(options: CreatePartQuarantineOptions) {
	const {
		registry, clock, events, onChange,
	} = options;
	let blame = new Map<string, BlameLevel>();
	/** IDs of parts with crashes, by digest. */
	const names = new Map<string, string>();
	/** Trials that this gateway has claimed and not begun. */
	const permits = new Set<string>();
	const pendingClaims = new Set<string>();
	/** When each record was last included in gossip, so that more records than fit take turns. */
	const announcedAt = new Map<string, number>();

	const isHeld = ({digest}: Pick<PartKey, 'digest'>): boolean => blame.get(digest) === 'held';
	const listHeldOf = (parts: readonly PartKey[]): PartKey[] => blame.size === 0 ? [] : parts.filter(part => isHeld(part));

	function computeTrialMs(digest: string, heldCount = 1): number {
		const record = registry.get(digest);
		const delayMs = findTrialDelayMs(record?.trials ?? 0) * (heldCount > 1 ? severalPartsDelayFactor : 1);
		return Math.max(0, (record?.changedAt ?? clock.now()) + delayMs - clock.now());
	}

	function reportLevel(digest: string, fields: {readonly cause: string; readonly request?: string; readonly upstream?: string}): void {
		events.write('partSuspected', {
			digest, part: names.get(digest), crashes: registry.get(digest)?.crashes.length ?? 0, trials: registry.get(digest)?.trials ?? 0, level: blame.get(digest) ?? 'none', ...fields,
		});
	}

	// Each record may change which other parts are to blame.
	function updateBlame(fields: {readonly cause: string; readonly request?: string; readonly upstream?: string}): void {
		const previous = blame;
		blame = decideBlame(registry.list(), {wasAnswered: registry.wasAnswered});
		for (const digest of new Set([...previous.keys(), ...blame.keys()])) {
			if (previous.get(digest) !== blame.get(digest)) {
				reportLevel(digest, fields);
			}
		}

		onChange();
	}

	function rememberName({digest, id}: PartKey): void {
		names.set(digest, id);
		if (names.size > maxNames) {
			names.delete(names.keys().next().value!);
		}
	}

	function createRefusal(held: readonly PartKey[]): Failure {
		const {digest, id} = held[0]!;
		return createFailure('prompt-quarantined', `Request was not run: upstreams crashed ${registry.get(digest)?.crashes.length ?? 0} times while answering prompts with part "${id}"`, {
			retryAfterMs: Math.max(...held.map(part => computeTrialMs(part.digest, held.length))),
		});
	}

	// A part that has crashed an upstream and has never been answered may well be the cause.
	const isDoubtful = ({digest}: PartKey): boolean => blame.has(digest) || (!registry.wasAnswered(digest) && (registry.get(digest)?.crashes.length ?? 0) > 0);

	function merge(record: PartAnnouncement, source: string): void {
		if (registry.merge(record, clock.now())) {
			updateBlame({cause: source});
		}
	}

	// Records that other gateways may not have yet come first; of those, parts that may be the cause.
	function compareForGossip(left: TrackedPartRecord, right: TrackedPartRecord): number {
		const rank = ({digest}: TrackedPartRecord) => (blame.has(digest) ? 2 : 0) + (registry.wasAnswered(digest) ? 0 : 1);
		return rank(right) - rank(left) || (announcedAt.get(left.digest) ?? 0) - (announcedAt.get(right.digest) ?? 0);
	}

	return {
		/** Admits or refuses a request. One with a held part is admitted only if this gateway may begin a trial of each. */
		admit(parts: readonly PartKey[]): Result<undefined, Failure> {
			const held = listHeldOf(parts);
			return held.every(({digest}) => permits.has(digest)) ? Ok(undefined) : Err(createRefusal(held));
		},

		/** Claims the trials that a refused request may begin; resolves with true if it is to be admitted. */
		async tryTrial(parts: readonly PartKey[]): Promise<boolean> {
			const held = listHeldOf(parts).filter(({digest}) => !permits.has(digest));
			const isDue = held.every(({digest}) => !pendingClaims.has(digest) && computeTrialMs(digest, held.length) === 0);
			if (!isDue) {
				return false;
			}

			for (const {digest} of held) {
				pendingClaims.add(digest);
				try {
					if (!await options.claimTrial(digest)) {
						return false;
					}
				} finally {
					pendingClaims.delete(digest);
				}

				permits.add(digest);
				reportLevel(digest, {cause: 'trial'});
			}

			return true;
		},

		/** Returns true if a request may be written to an upstream now, and begins the trials of its held parts. */
		admitSend(parts: readonly PartKey[]): boolean {
			const held = listHeldOf(parts);
			const isAdmitted = held.every(({digest}) => permits.has(digest));
			if (isAdmitted) {
				for (const {digest} of held) {
					permits.delete(digest);
				}
			}

			return isAdmitted;
		},

		/** Returns true if a request whose run was interrupted may be retried at another upstream. */
		mayRetry: (parts: readonly PartKey[], {hasBegun}: {readonly hasBegun: boolean}): boolean => registry.isEmpty() || !parts.some(part => blame.has(part.digest) || (!hasBegun && isDoubtful(part))),

		/** Returns true if a request should run where few others do. */
		isSuspected: (parts: readonly PartKey[]): boolean => !registry.isEmpty() && parts.some(part => isDoubtful(part)),

		/** Starts tracking a run. */
		trackRun: (parts: readonly PartKey[]): PartRun => ({
			recordCrash({id: upstream, start}, request) {
				const changed = parts.filter(({digest}) => registry.recordCrash(digest, {upstream: start, now: clock.now()}));
				if (changed.length === 0) {
					return;
				}

				for (const part of changed) {
					rememberName(part);
				}

				updateBlame({cause: 'crash', request, upstream});
				for (const {digest} of changed.filter(part => blame.has(part.digest))) {
					options.onCrash(digest);
				}
			},
			recordAnswer() {
				const changed = parts.filter(({digest}) => registry.recordAnswer(digest, clock.now()));
				if (changed.length > 0) {
					updateBlame({cause: 'answered'});
				}
			},
		}),

		/** Merges a record received from another gateway or read from the log. */
		merge,

		/** Returns true if a part is to blame for crashes. */
		isBlamed: (digest: string): boolean => blame.has(digest),

		/** Returns true if the next trial of a held part may begin. */
		isTrialDue: (digest: string): boolean => isHeld({digest}) && computeTrialMs(digest) === 0,

		/** Returns recently changed records, to be included in the next gossip entry. */
		listRecent(): PartAnnouncement[] {
			if (registry.isEmpty()) {
				return [];
			}

			const now = clock.now();
			const recent = registry.list().filter(({changedAt}) => now - changedAt < gossipPeriodMs).sort(compareForGossip).slice(0, maxGossipRecords);
			for (const {digest} of recent) {
				announcedAt.set(digest, now);
			}

			return recent.map(record => announcePart(record, now));
		},

		/** Returns all records, to be sent to a gateway that has just started. */
		listAll: (): PartAnnouncement[] => registry.list().map(record => announcePart(record, clock.now())),

		listHeld(): HeldPart[] {
			const now = clock.now();
			return registry.list().filter(record => isHeld(record)).map(({digest, crashes, trials, changedAt}) => ({
				digest, part: names.get(digest), crashes: crashes.length, trials, heldMs: Math.round(now - changedAt), trialMs: Math.round(computeTrialMs(digest)),
			}));
		},

		/** Returns the number of parts that are to blame, held or not. */
		countBlamed: (): number => blame.size,

		/** Releases a part on behalf of an operator; returns false if no crashes are recorded for it. */
		release(digest: string): boolean {
			const wasReleased = registry.recordAnswer(digest, clock.now());
			if (wasReleased) {
				updateBlame({cause: 'released'});
			}

			return wasReleased;
		},

		prune(): void {
			registry.prune(clock.now());
			for (const digest of announcedAt.keys()) {
				if (registry.get(digest) === undefined) {
					announcedAt.delete(digest);
				}
			}
		},
	};
}
