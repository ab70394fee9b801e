/**
 * Records suspected and held requests in the log. Gateways that all restart at
 * the same time, or that receive no gossip from each other, learn of them from
 * there.
 *
 * The gateway that saw a crash writes immediately, because all gateways may
 * lose power at any time. What it could not write is written by one gateway
 * that all of them elect. Records are appended without a condition: any gateway
 * may write one, and the record with the later round takes precedence.
 *
 * @module
 */
import * as z from 'zod';
import type {EventLog, KeyedLog, StoredRecord} from '../protocol/mod.js';
import type {CrashRegistry, CrashRecord} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {crashesToSuspect, type Quarantine} from './quarantine.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@linkcode createQuarantineRecorder}. */
export type CreateQuarantineRecorderOptions = {
	readonly log: KeyedLog;
	readonly crashRegistry: CrashRegistry;
	readonly quarantine: Pick<Quarantine, 'merge'>;
	/** This gateway's name. */
	readonly daemon: string;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Records suspected and held requests in the log. */
export type QuarantineRecorder = ReturnType<typeof createQuarantineRecorder>;

/** Prefix of the keys of these records; no daemon name begins with it. */
const keyPrefix = '@quarantine/';
const writeIntervalMs = 250;
/** Pause after a failed append. */
const retryDelayMs = 2000;

/** Abort reason that ends a pause; shared, because an abort without a reason creates a new error each time. */
const writeDue = new Error('The next write to the log is due');

const valueSchema = z.object({round: z.number().int().nonnegative(), crashes: z.number().int().nonnegative()});

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
 * @param options The log and the registry whose records are written to it
 * @returns The recorder
 */
export function createQuarantineRecorder(options: CreateQuarantineRecorderOptions) {
	const {
		log, crashRegistry, quarantine, daemon, clock, events,
	} = options;
	/** Latest record of each request in the log. */
	const loggedRecords = new Map<string, Pick<CrashRecord, 'round' | 'crashes'>>();
	/** Requests during which this gateway saw a crash that it has not written to the log yet. */
	const observedDigests = new Set<string>();
	let pauseController = new AbortController();

	// When the elected gateway becomes unresponsive, it is no longer listed and another one is elected.
	function isElectedWriter(digest: string): boolean {
		return rankByRendezvous(digest, [daemon, ...options.listPeers()])[0] === daemon;
	}

	function listUnlogged(): CrashRecord[] {
		return crashRegistry.list().filter(({digest, crashes}) => {
			const logged = loggedRecords.get(digest);
			return crashes === (logged?.crashes ?? 0) ? false : crashes >= crashesToSuspect || logged !== undefined;
		});
	}

	function listPruned(): string[] {
		return [...loggedRecords.keys()].filter(digest => crashRegistry.get(digest) === undefined);
	}

	async function appendRecord(digest: string, record: CrashRecord | undefined): Promise<boolean> {
		const value = record && JSON.stringify({round: record.round, crashes: record.crashes});
		const outcome = await log.append({key: keyPrefix + digest, value}, {});
		if (outcome.kind !== 'appended') {
			events.write('answerLost', {log: log.name, kind: outcome.kind, detail: outcome.kind === 'behind' ? undefined : outcome.failure.detail});
			return false;
		}

		if (record) {
			loggedRecords.set(digest, record);
		} else {
			loggedRecords.delete(digest);
		}

		return true;
	}

	function restoreObserved(digests: ReadonlySet<string>): void {
		for (const digest of digests) {
			// Skipping digests that the registry has evicted limits the size of the set while the log is unavailable.
			if (crashRegistry.get(digest)) {
				observedDigests.add(digest);
			}
		}
	}

	async function writeChanges(): Promise<boolean> {
		// Emptied before the first write: crashes recorded during the writes are handled by the next call.
		const observed = new Set(observedDigests);
		observedDigests.clear();
		const changes = [...listUnlogged().map(record => ({digest: record.digest, record})), ...listPruned().map(digest => ({digest, record: undefined}))];
		for (const {digest, record} of changes) {
			const isWriter = observed.has(digest) || isElectedWriter(digest);
			if (isWriter && !await appendRecord(digest, record)) {
				restoreObserved(observed);
				return false;
			}
		}

		return true;
	}

	return {
		/** Applies a record read from the log; throws if its value is malformed. */
		applyRecord({key, value}: StoredRecord): void {
			const digest = key.slice(keyPrefix.length);
			if (value === undefined) {
				loggedRecords.delete(digest);
				return;
			}

			const {round, crashes} = valueSchema.parse(JSON.parse(value));
			loggedRecords.set(digest, {round, crashes});
			quarantine.merge({digest, round, crashes}, 'log');
		},

		/** Writes a request immediately during which this gateway saw a crash. */
		recordCrash(digest: string): void {
			observedDigests.add(digest);
			pauseController.abort(writeDue);
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
