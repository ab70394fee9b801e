/**
 * Writes to the log which services the routes have led to and which software
 * versions the services have had, so that gateways which all start again at the
 * same time know whether a stream can have had one origin only.
 *
 * @module
 */
import type {EventLog, KeyedLog, StoredRecord} from '../../protocol/mod.js';
import type {RecordedOrigins} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import {rankByRendezvous} from '../peers/rendezvous.js';

/** Options of {@linkcode createOriginRecorder}. */
export type CreateOriginRecorderOptions = {
	readonly log: KeyedLog;
	readonly recorded: RecordedOrigins;
	/** Returns true once the records of the log have been read. */
	readonly hasReadLog: () => boolean;
	/** This gateway's name. */
	readonly daemon: string;
	/** Other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Writes what is known of the origins of streams to the log. */
export type OriginRecorder = ReturnType<typeof createOriginRecorder>;

/**
 * Prefix of the keys of these records. It is below that of quarantine records, of which earlier builds ignore those that they
 * cannot read; a record under any other key would count as that of a holder whose grants are unknown, and block all budgets.
 */
const keyPrefix = '@quarantine/origins/';
const checkIntervalMs = 500;
/** Pause after a failed append. */
const retryDelayMs = 2000;

/**
 * Returns true if a key of the log belongs to a record of origins.
 *
 * @example
 * ```ts
 * isOriginsKey('@quarantine/origins/front-1'); // true
 * ```
 *
 * @param key The record's key
 * @returns True for a record of origins
 */
export function isOriginsKey(key: string): boolean {
	return key.startsWith(keyPrefix);
}

/**
 * Creates a recorder; `run` writes until its signal is aborted.
 *
 * Each gateway has a key of its own and writes all that it knows, so that no
 * append needs a condition. One gateway, which all of them elect, writes.
 *
 * @example
 * ```ts
 * void recorder.run(signal);
 * ```
 *
 * @param options The log and what is recorded in it
 * @returns The recorder
 */
export function createOriginRecorder({log, recorded, hasReadLog, daemon, listPeers, clock, events}: CreateOriginRecorderOptions) {
	const isElected = () => rankByRendezvous(keyPrefix, [daemon, ...listPeers()])[0] === daemon;

	async function writeRecord(): Promise<boolean> {
		const value = recorded.encode();
		const outcome = await log.append({key: keyPrefix + daemon, value}, {});
		if (outcome.kind === 'appended') {
			recorded.merge(value);
			return true;
		}

		events.write('answerLost', {log: log.name, kind: outcome.kind, detail: outcome.kind === 'behind' ? undefined : outcome.failure.detail});
		return false;
	}

	return {
		/** Applies a record read from the log; throws if its value is malformed. */
		applyRecord({value}: StoredRecord): void {
			if (value !== undefined) {
				recorded.merge(value);
			}
		},

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				const isDue = hasReadLog() && recorded.shouldRecord() && isElected();
				const isDone = !isDue || await writeRecord();
				await clock.sleep(isDone ? checkIntervalMs : retryDelayMs, signal);
			}
		},
	};
}
