/**
 * Records suspected and held requests and parts of prompts in the log. Gateways
 * that all restart at the same time, or that receive no gossip from each other,
 * learn of them from there.
 *
 * The gateway that saw a crash writes immediately, because all gateways may
 * lose power at any time. What it could not write is written by one gateway
 * that all of them elect. Records are appended without a condition: any gateway
 * may write one, and readers merge what they read with what they know. Only the
 * claim of a trial is appended under a condition, so that one gateway gets it.
 *
 * @module
 */
import type {EventLog, KeyedLog, StoredRecord} from '../../protocol/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {KeyedFollower} from '../store/keyed-follower.js';
import {rankByRendezvous} from '../peers/rendezvous.js';
import type {LoggedCrashes} from './logged-crashes.js';

/** Options of {@linkcode createQuarantineRecorder}. */
export type CreateQuarantineRecorderOptions = {
	readonly log: KeyedLog;
	/** What is recorded; the first whose prefix a key has reads its record. */
	readonly kinds: readonly LoggedCrashes[];
	/** This gateway's name. */
	readonly daemon: string;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Options of {@linkcode QuarantineRecorder.claimTrial}. */
export type ClaimTrialOptions = {
	readonly kind: LoggedCrashes;
	readonly follower: Pick<KeyedFollower, 'catchUp' | 'getNextOffset' | 'getEpoch' | 'applyOwnRecord'>;
	readonly signal: AbortSignal;
};

/** Records what the quarantines know in the log. */
export type QuarantineRecorder = ReturnType<typeof createQuarantineRecorder>;

/** Prefix of the keys of these records; no daemon name begins with it. */
const keyPrefix = '@quarantine/';
const writeIntervalMs = 250;
/** Pause after a failed append. */
const retryDelayMs = 2000;
/** Attempts to claim a trial against writers of other records. */
const maxClaimAttempts = 5;

/** Abort reason that ends a pause; shared, because an abort without a reason creates a new error each time. */
const writeDue = new Error('The next write to the log is due');

/**
 * Returns true if a key of the log belongs to a quarantine record.
 *
 * @example
 * ```ts
 * isQuarantineKey('@quarantine/9c41d07b'); // true
 * ```
 *
 * @param key The record's key
 * @returns True for a quarantine record
 */
export function isQuarantineKey(key: string): boolean {
	return key.startsWith(keyPrefix);
}

/**
 * Creates a recorder; `run` writes until its signal is aborted.
 *
 * @example
 * ```ts
 * void recorder.run(signal);
 * ```
 *
 * @param options The log and what is recorded in it
 * @returns The recorder
 */
export function createQuarantineRecorder(options: CreateQuarantineRecorderOptions) {
	const {
		log, kinds, daemon, clock, events,
	} = options;
	/** Version of each record in the log, by key. */
	const loggedVersions = new Map<string, string>();
	/** Keys of records that changed with a crash which this gateway saw and has not written to the log yet. */
	const observedKeys = new Set<string>();
	let pauseController = new AbortController();

	const formatKey = (kind: LoggedCrashes, digest: string) => keyPrefix + kind.prefix + digest;

	// A digest has no slash, so that the prefix of one kind is not the beginning of another's digest.
	function parseKey(key: string): {readonly kind: LoggedCrashes; readonly digest: string} | undefined {
		const name = key.slice(keyPrefix.length);
		const kind = kinds.find(({prefix}) => name.startsWith(prefix) && !name.slice(prefix.length).includes('/'));
		return kind && {kind, digest: name.slice(kind.prefix.length)};
	}

	// When the elected gateway becomes unresponsive, it is no longer listed and another one is elected.
	function isElectedWriter(digest: string): boolean {
		return rankByRendezvous(digest, [daemon, ...options.listPeers()])[0] === daemon;
	}

	function listChanges(kind: LoggedCrashes): Array<{readonly key: string; readonly digest: string; readonly value: string}> {
		return kind.listDigests().flatMap(digest => {
			const key = formatKey(kind, digest);
			const loggedVersion = loggedVersions.get(key);
			const isMissing = kind.describeVersion(digest) !== (loggedVersion ?? kind.unrecordedVersion);
			return isMissing && (kind.shouldRecord(digest) || loggedVersion !== undefined) ? [{key, digest, value: kind.encode(digest)}] : [];
		});
	}

	function listPruned(): Array<{readonly key: string; readonly digest: string; readonly value: undefined}> {
		return [...loggedVersions.keys()].flatMap(key => {
			const parsed = parseKey(key);
			return parsed && !parsed.kind.has(parsed.digest) ? [{key, digest: parsed.digest, value: undefined}] : [];
		});
	}

	function noteLogged(key: string, value: string | undefined): void {
		const parsed = parseKey(key);
		if (parsed && value !== undefined) {
			loggedVersions.set(key, parsed.kind.describeLogged(value));
		} else {
			loggedVersions.delete(key);
		}
	}

	async function appendRecord(key: string, value: string | undefined): Promise<boolean> {
		const outcome = await log.append({key, value}, {});
		if (outcome.kind !== 'appended') {
			events.write('answerLost', {log: log.name, kind: outcome.kind, detail: outcome.kind === 'behind' ? undefined : outcome.failure.detail});
			return false;
		}

		noteLogged(key, value);
		return true;
	}

	function restoreObserved(keys: ReadonlySet<string>): void {
		for (const key of keys) {
			const parsed = parseKey(key);
			// Skipping records that the registry has evicted limits the size of the set while the log is unavailable.
			if (parsed?.kind.has(parsed.digest)) {
				observedKeys.add(key);
			}
		}
	}

	async function writeChanges(): Promise<boolean> {
		// Emptied before the first write: crashes recorded during the writes are handled by the next call.
		const observed = new Set(observedKeys);
		observedKeys.clear();
		for (const {key, digest, value} of [...kinds.flatMap(kind => listChanges(kind)), ...listPruned()]) {
			const isWriter = observed.has(key) || isElectedWriter(digest);
			if (isWriter && !await appendRecord(key, value)) {
				restoreObserved(observed);
				return false;
			}
		}

		return true;
	}

	async function tryClaim(digest: string, {kind, follower, signal}: ClaimTrialOptions): Promise<'claimed' | 'again' | 'failed'> {
		const expectedEnd = await follower.catchUp(signal) ? follower.getNextOffset() : undefined;
		if (expectedEnd === undefined || !kind.isTrialDue(digest)) {
			return 'failed';
		}

		const record = {key: formatKey(kind, digest), value: kind.encodeTrial(digest)};
		const outcome = await log.append(record, {expectedEnd});
		if (outcome.kind !== 'appended') {
			return outcome.kind === 'behind' ? 'again' : 'failed';
		}

		// A claim that another history has accepted may be lost with it, or not be the only one there.
		if (outcome.epoch !== follower.getEpoch()) {
			return 'failed';
		}

		follower.applyOwnRecord({...record, offset: outcome.offset}, outcome.epoch);
		return 'claimed';
	}

	return {
		/** Applies a record read from the log; throws if its value is malformed. */
		applyRecord({key, value}: StoredRecord): void {
			const parsed = parseKey(key);
			if (parsed && value !== undefined) {
				parsed.kind.merge(parsed.digest, value);
			}

			noteLogged(key, value);
		},

		/** Records that the log was restored: until they are read again, it may lack all records. */
		dropLogged(): void {
			loggedVersions.clear();
		},

		/** Writes a record immediately that changed with a crash which this gateway saw. */
		recordCrash(kind: LoggedCrashes, digest: string): void {
			observedKeys.add(formatKey(kind, digest));
			pauseController.abort(writeDue);
		},

		/** Claims the next trial for this gateway, if it is due. An append whose outcome is unknown may have used the trial up. */
		async claimTrial(digest: string, claim: ClaimTrialOptions): Promise<boolean> {
			for (let attempt = 0; attempt < maxClaimAttempts; attempt += 1) {
				const outcome = await tryClaim(digest, claim);
				if (outcome !== 'again') {
					return outcome === 'claimed';
				}
			}

			return false;
		},

		async run(signal: AbortSignal): Promise<void> {
			signal.addEventListener('abort', () => {
				pauseController.abort(writeDue);
			});
			while (!signal.aborted) {
				// Created before writing, so that a crash recorded during the write ends the pause after it.
				pauseController = new AbortController();
				const wasWritten = await writeChanges();
				await clock.sleep(wasWritten ? writeIntervalMs : retryDelayMs, pauseController.signal);
			}
		},
	};
}
