/**
 * Quarantine for parts of prompts that crash the upstreams that answer them.
 *
 * Requests that share such a part need not be alike in anything else, so a
 * quarantine for whole requests does not recognise them. Gateways share the
 * crashes that they saw by part, and all decide alike which parts are to blame
 * (`part-blame.ts`). Requests with parts that are held back are refused without
 * being sent, until a trial is answered or an operator releases the parts.
 *
 * A complete answer shows that a part is sound. Single events do not, because an
 * upstream may crash after the first ones; an answer that goes on for a while only
 * makes its parts less likely to be the cause.
 *
 * @module
 */
import {
	Err, Ok, createFailure, type EventLog, type Failure, type Result,
} from '../../protocol/mod.js';
import {
	announcePart, type PartAnnouncement, type PartCrashRegistry, type TrackedPartRecord,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {createPartAnnouncements} from './part-announcements.js';
import {
	decideBlame, type BlamedGroup, type BlameLevel, type LastRead,
} from './part-blame.js';
import type {PartKey} from './part-keys.js';
import {createPartTrials} from './part-trials.js';

/** Options of {@linkcode createPartQuarantine}. */
export type CreatePartQuarantineOptions = {
	readonly registry: PartCrashRegistry;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when there is a change to advertise to other gateways; `isUrgent` if only this gateway knows of it. */
	readonly onChange: (change: {readonly isUrgent: boolean}) => void;
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
	/** Records that data of the answer has arrived. */
	readonly recordProgress: () => void;
};

/** A part that is held back, as shown to operators. */
export type HeldPart = {
	readonly digest: string;
	/** ID of the part, if this gateway has received a request with it. */
	readonly part: string | undefined;
	readonly crashes: number;
	readonly trials: number;
	/** Number of other parts without which it is not held back, because one of them may be to blame instead. */
	readonly together: number;
	/** Milliseconds since the last crash or trial. */
	readonly heldMs: number;
	/** Milliseconds until the next trial. */
	readonly trialMs: number;
};

/** Quarantine for parts of prompts. */
export type PartQuarantine = ReturnType<typeof createPartQuarantine>;

/** Maximum number of parts whose IDs are kept for operators. */
const maxNames = 1000;
/** Causes of changes that no other gateway can know of yet. */
const observedCauses: ReadonlySet<string> = new Set(['crash', 'answered', 'released']);
/** Number of parts that a gateway must have seen upstreams read before it can judge one that it has not. */
const minReadParts = 20;
/** A part that was read within this time is part of many requests. */
const recentReadMs = 10_000;
/** Time for which an answer must go on before its parts count as read; an upstream crashes as it begins the answer. */
const minProgressMs = 500;
/** Interval at which an answer that goes on renews this. */
const progressIntervalMs = 1000;
/** Maximum number of recently read parts that are sent to a gateway that has just started. */
const maxSentReads = 500;

/** @internal */
function listDigests(parts: readonly PartKey[]): string[] {
	return parts.map(({digest}) => digest);
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
	const announcements = createPartAnnouncements({registry, findLevel: digest => levels.get(digest), clock});
	const trials = createPartTrials({
		registry, clock, claim: options.claimTrial,
		onClaimed(digest) {
			reportLevel(digest, {cause: 'trial'});
		},
	});
	let groups: readonly BlamedGroup[] = [];
	/** Level of each part in a group. */
	let levels = new Map<string, BlameLevel>();
	/** IDs of parts with crashes, by digest. */
	const names = new Map<string, string>();
	let wasInformed = false;
	const isHeld = ({digest}: Pick<PartKey, 'digest'>): boolean => levels.get(digest) === 'held';

	// Lists the parts of the groups that a prompt contains completely.
	function listBlamedOf(parts: readonly PartKey[], level?: BlameLevel): PartKey[] {
		if (groups.length === 0) {
			return [];
		}

		const digests = new Set(parts.map(({digest}) => digest));
		const contained = groups.filter(group => (level === undefined || group.level === level) && group.digests.every(digest => digests.has(digest)));
		const blamed = new Set(contained.flatMap(group => group.digests));
		return parts.filter(({digest}) => blamed.has(digest));
	}

	const listHeldOf = (parts: readonly PartKey[]): PartKey[] => listBlamedOf(parts, 'held');

	function findLastRead(digest: string): LastRead {
		const readAt = registry.getReadAt(digest);
		if (readAt === undefined) {
			return registry.countRead() >= minReadParts ? 'never' : 'unknown';
		}

		return clock.now() - readAt < recentReadMs ? 'recently' : 'earlier';
	}

	function reportLevel(digest: string, fields: {readonly cause: string; readonly request?: string; readonly upstream?: string}): void {
		events.write('partSuspected', {
			digest, part: names.get(digest), crashes: registry.get(digest)?.crashes.length ?? 0, trials: registry.get(digest)?.trials ?? 0, level: levels.get(digest) ?? 'none', ...fields,
		});
	}

	// Each record may change which other parts are to blame.
	function updateBlame(fields: {readonly cause: string; readonly request?: string; readonly upstream?: string}): void {
		const previous = levels;
		groups = decideBlame(registry.list(), {findLastRead});
		levels = new Map(groups.flatMap(({level, digests}) => digests.map(digest => [digest, level])));
		for (const digest of new Set([...previous.keys(), ...levels.keys()])) {
			if (previous.get(digest) !== levels.get(digest)) {
				reportLevel(digest, fields);
			}
		}

		trials.dropExcept(digest => isHeld({digest}));
		onChange({isUrgent: observedCauses.has(fields.cause)});
	}

	// Judges the records again once this gateway has seen enough answers.
	function noteReads(): void {
		if (wasInformed || registry.countRead() < minReadParts) {
			return;
		}

		wasInformed = true;
		if (!registry.isEmpty()) {
			updateBlame({cause: 'read'});
		}
	}

	function rememberName({digest, id}: PartKey): void {
		names.set(digest, id);
		if (names.size > maxNames) {
			names.delete(names.keys().next().value!);
		}
	}

	function createRefusal(held: readonly PartKey[]): Failure {
		const {digest, id} = held[0]!;
		return createFailure('prompt-quarantined', `Upstreams crashed ${registry.get(digest)?.crashes.length ?? 0} times while answering prompts with part "${id}"`, {
			retryAfterMs: Math.max(...held.map(part => trials.computeWaitMs(part.digest, held.length))),
		});
	}

	// A part that has crashed an upstream and was never read may well be the cause, unless this gateway has just started.
	const isDoubtful = ({digest}: PartKey): boolean => findLastRead(digest) === 'never' && (registry.get(digest)?.crashes.length ?? 0) > 0;

	function recordCrash(parts: readonly PartKey[], {upstream, start, request}: {readonly upstream: string; readonly start: number; readonly request: string | undefined}): void {
		const changed = parts.filter(({digest}) => registry.recordCrash(digest, {upstream: start, now: clock.now()}));
		if (changed.length === 0) {
			return;
		}

		for (const part of changed) {
			rememberName(part);
			announcements.recordObserved(part.digest);
		}

		updateBlame({cause: 'crash', request, upstream});
		for (const {digest} of changed.filter(part => levels.has(part.digest))) {
			options.onCrash(digest);
		}
	}

	function merge(record: PartAnnouncement, source: string): void {
		if (registry.merge(record, clock.now())) {
			updateBlame({cause: source});
		}
	}

	return {
		/** Admits or refuses a request. One with a held part is admitted only if this gateway may begin a trial of each. */
		admit(parts: readonly PartKey[]): Result<undefined, Failure> {
			const held = listHeldOf(parts);
			const isAdmitted = trials.mayBegin(listDigests(held));
			if (parts.length > 0) {
				trials.recordAdmission(isAdmitted);
			}

			return isAdmitted ? Ok(undefined) : Err(createRefusal(held));
		},

		/** Claims the trials that a refused request may begin; resolves with true if it is to be admitted. */
		async tryTrial(parts: readonly PartKey[]): Promise<boolean> {
			// A crash would not show which part is to blame.
			const hasOtherSuspect = parts.some(part => !isHeld(part) && (registry.get(part.digest)?.crashes.length ?? 0) > 0);
			return !hasOtherSuspect && trials.claimAll(listDigests(listHeldOf(parts)));
		},

		/** Returns true if a request may be written to an upstream now, and begins the trials of its held parts. */
		admitSend(parts: readonly PartKey[]): boolean {
			const held = listDigests(listHeldOf(parts));
			const isAdmitted = trials.mayBegin(held);
			if (isAdmitted) {
				trials.begin(held);
			}

			return isAdmitted;
		},

		/** Returns true if a request whose run was interrupted may be retried at another upstream. */
		mayRetry: (parts: readonly PartKey[], {hasBegun}: {readonly hasBegun: boolean}): boolean => registry.isEmpty() || (listBlamedOf(parts).length === 0 && (hasBegun || !parts.some(part => isDoubtful(part)))),

		/** Returns true if a request should run where few others do. */
		isSuspected: (parts: readonly PartKey[]): boolean => !registry.isEmpty() && (listBlamedOf(parts).length > 0 || parts.some(part => isDoubtful(part))),

		/** Starts tracking a run. */
		trackRun(parts: readonly PartKey[]): PartRun {
			let firstProgressAt: number | undefined;
			let nextReadAt = Number.NEGATIVE_INFINITY;
			return {
				recordCrash({id: upstream, start}, request) {
					recordCrash(parts, {upstream, start, request});
				},
				recordAnswer() {
					const changed = parts.filter(({digest}) => registry.recordAnswer(digest, clock.now()));
					noteReads();
					for (const {digest} of changed) {
						announcements.recordObserved(digest);
					}

					if (changed.length > 0) {
						updateBlame({cause: 'answered'});
					}
				},
				recordProgress() {
					const now = clock.now();
					firstProgressAt ??= now;
					if (now - firstProgressAt < minProgressMs || now < nextReadAt) {
						return;
					}

					nextReadAt = now + progressIntervalMs;
					for (const {digest} of parts) {
						registry.recordRead(digest, now);
					}

					noteReads();
				},
			};
		},

		/** Merges a record received from another gateway or read from the log. */
		merge,

		/** Returns true if a part is to blame for crashes. */
		isBlamed: (digest: string): boolean => levels.has(digest),

		/** Returns true if the next trial of a held part may begin. */
		isTrialDue: (digest: string): boolean => isHeld({digest}) && trials.computeWaitMs(digest) === 0,

		/** Returns the records to be included in the next gossip entry. */
		listRecent: announcements.listNext,

		/** Returns all records, to be sent to a gateway that has just started. */
		listAll: (): PartAnnouncement[] => registry.list().map(record => announcePart(record, clock.now())),

		/** Lists parts that upstreams have read a moment ago, to be sent to a gateway that has just started. */
		listRead: (): string[] => registry.listReadSince(clock.now() - recentReadMs, maxSentReads),

		/** Records parts that another gateway lists. */
		mergeRead(digests: readonly string[]): void {
			for (const digest of digests) {
				registry.recordRead(digest, clock.now());
			}

			noteReads();
		},

		listHeld(): HeldPart[] {
			const now = clock.now();
			return registry.list().filter(record => isHeld(record)).map(({digest, crashes, trials: trialCount, changedAt}) => ({
				digest, part: names.get(digest), crashes: crashes.length, trials: trialCount, together: groups.find(group => group.digests.includes(digest))!.digests.length - 1, heldMs: Math.round(now - changedAt), trialMs: Math.round(trials.computeWaitMs(digest)),
			}));
		},

		/** Returns the number of parts that are to blame, held or not. */
		countBlamed: (): number => levels.size,

		/** Releases a part on behalf of an operator; returns false if no crashes are recorded for it. */
		release(digest: string): boolean {
			const wasReleased = registry.clear(digest, clock.now());
			if (wasReleased) {
				announcements.recordObserved(digest);
				updateBlame({cause: 'released'});
			}

			return wasReleased;
		},

		prune(): void {
			registry.prune(clock.now());
			announcements.prune();
		},
	};
}
