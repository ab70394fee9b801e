/**
 * Keeps on the log which requests are held back or nearly so, so that gateways
 * that all restart at once, or that hear nothing of each other, know it.
 *
 * The gateway that has seen a crash writes at once, since all of them may lose
 * power in the next moment; what it did not get through is written by one gateway
 * for all. A record is appended without a condition: any gateway may write it, and of
 * two records the one of the later round holds.
 *
 * @module
 */
import * as z from 'zod';
import type {EventLog, KeyedLog, StoredRecord} from '../protocol/mod.js';
import type {CrashRegistry, CrashRecord} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import {sendOnceAfter, type Quarantine} from './quarantine.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@linkcode createQuarantineRecorder}. */
export type CreateQuarantineRecorderOptions = {
	readonly log: KeyedLog;
	readonly book: CrashRegistry;
	readonly quarantine: Pick<Quarantine, 'take'>;
	/** This gateway's name. */
	readonly daemon: string;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Keeps on the log which requests are held back. */
export type QuarantineRecorder = ReturnType<typeof createQuarantineRecorder>;

/** Begins the key of such a record; no daemon's name does. */
const keyPrefix = '@quarantine/';
/** Pause between rounds, in milliseconds. */
const roundEvery = 250;
/** Pause after an append that failed, in milliseconds. */
const failurePause = 2000;

/** Why a pause is ended; without a reason each abort builds an error. */
const roundDue = new Error('A round is due');

const valueSchema = z.object({round: z.number().int().nonnegative(), crashes: z.number().int().nonnegative()});

/**
 * Tells whether a record of the log says what is held back.
 *
 * @example
 * ```ts
 * isQuarantineKey('@quarantine/9c41d07b'); // true
 * ```
 *
 * @param key The record's key
 * @returns True if it does
 */
export function isQuarantineKey(key: string): boolean {
	return key.startsWith(keyPrefix);
}

/**
 * Creates the recorder; `run` is its task.
 *
 * @example
 * ```ts
 * void recorder.run(signal);
 * ```
 *
 * @param options The log and what is to be kept there
 * @returns The recorder
 */
export function createQuarantineRecorder(options: CreateQuarantineRecorderOptions) {
	const {
		log, book, quarantine, daemon, clock, events,
	} = options;
	/** What stands on the log. */
	const standing = new Map<string, Pick<CrashRecord, 'round' | 'crashes'>>();
	/** Requests under which this gateway has seen a crash that it has not written. */
	const seen = new Set<string>();
	let pause = new AbortController();

	// One gateway writes for all; it is another one if that falls silent.
	function isWriterForAll(digest: string): boolean {
		return rankByRendezvous(digest, [daemon, ...options.listPeers()])[0] === daemon;
	}

	function listMissing(): CrashRecord[] {
		return book.list().filter(({digest, crashes}) => {
			const known = standing.get(digest);
			return crashes === (known?.crashes ?? 0) ? false : crashes >= sendOnceAfter || known !== undefined;
		});
	}

	function listForgotten(): string[] {
		return [...standing.keys()].filter(digest => book.get(digest) === undefined);
	}

	async function write(digest: string, record: CrashRecord | undefined): Promise<boolean> {
		const value = record && JSON.stringify({round: record.round, crashes: record.crashes});
		const outcome = await log.append({key: keyPrefix + digest, value}, {});
		if (outcome.kind !== 'appended') {
			events.write('answerLost', {log: log.name, kind: outcome.kind, detail: outcome.kind === 'behind' ? undefined : outcome.failure.detail});
			return false;
		}

		if (record) {
			standing.set(digest, record);
		} else {
			standing.delete(digest);
		}

		return true;
	}

	function keepSeen(digests: ReadonlySet<string>): void {
		for (const digest of digests) {
			// The book bounds what is kept while the log is away.
			if (book.get(digest)) {
				seen.add(digest);
			}
		}
	}

	async function writeMissing(): Promise<boolean> {
		// Taken before the first write: what is noted meanwhile has a round of its own.
		const own = new Set(seen);
		seen.clear();
		const missing = [...listMissing().map(record => ({digest: record.digest, record})), ...listForgotten().map(digest => ({digest, record: undefined}))];
		for (const {digest, record} of missing) {
			const isWriter = own.has(digest) || isWriterForAll(digest);
			if (isWriter && !await write(digest, record)) {
				keepSeen(own);
				return false;
			}
		}

		return true;
	}

	return {
		/** Takes a record of the log; throws if it cannot be read. */
		take({key, value}: StoredRecord): void {
			const digest = key.slice(keyPrefix.length);
			if (value === undefined) {
				standing.delete(digest);
				return;
			}

			const {round, crashes} = valueSchema.parse(JSON.parse(value));
			standing.set(digest, {round, crashes});
			quarantine.take({digest, round, crashes}, 'log');
		},

		/** Has a request written at once under which this gateway has seen a crash. */
		noteCrash(digest: string): void {
			seen.add(digest);
			pause.abort(roundDue);
		},

		async run(signal: AbortSignal): Promise<void> {
			signal.addEventListener('abort', () => {
				pause.abort(roundDue);
			});
			while (!signal.aborted) {
				// Before the round, so that a crash that is noted in it is followed by another one.
				pause = new AbortController();
				const isWritten = await writeMissing();
				await clock.sleep(isWritten ? roundEvery : failurePause, pause.signal);
			}
		},
	};
}
