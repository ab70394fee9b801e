/**
 * A keyed log that is reached through another daemon while the direct way to
 * the store is cut.
 *
 * A partition often separates some hosts from the store and leaves the ways
 * between hosts whole; the daemons that still reach the store then carry the
 * others' calls. An append keeps its condition on the way, so one that is sent
 * both ways stands on the log once at most.
 *
 * @module
 */
import type {
	AppendOutcome, EventLog, Failure, KeyedLog, NewestRecords, Result,
} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';

/** Whether the direct way to the store works; shared by all logs of a daemon. */
export type DirectPath = ReturnType<typeof createDirectPath>;

/** Options of {@linkcode createRelayedLog}. */
export type CreateRelayedLogOptions = {
	readonly direct: KeyedLog;
	readonly path: DirectPath;
	/** Addresses of daemons that may reach the store, the nearest first. */
	readonly listRelays: () => string[];
	/** The same log through another daemon. */
	readonly openThrough: (address: string) => KeyedLog;
};

/** Options of {@linkcode createDirectPath}. */
export type CreateDirectPathOptions = {readonly clock: Clock; readonly events: EventLog};

/** How long the direct way is left alone after a failure, in milliseconds. */
const retryDirectAfter = 1000;
/** Daemons asked in one call: a relay may be cut off as well. */
const relaysTried = 3;

/**
 * Creates the record of the direct way to the store.
 *
 * @example
 * ```ts
 * const path = createDirectPath({clock, events});
 * ```
 *
 * @param options Clock and log
 * @returns The record
 */
export function createDirectPath(options: CreateDirectPathOptions) {
	const {clock, events} = options;
	let failedAt = Number.NEGATIVE_INFINITY;
	let isDown = false;
	let lastRelay = '';

	return {
		/** False for a while after a failure. */
		isWorthTrying: () => !isDown || clock.now() - failedAt >= retryDirectAfter,
		note(isOk: boolean): void {
			if (isDown === isOk) {
				events.write(isOk ? 'storePathBack' : 'storePathLost');
			}

			isDown = !isOk;
			failedAt = isOk ? failedAt : clock.now();
		},

		/** The relay that answered last is asked first. */
		rankRelays: (addresses: readonly string[]): string[] => [...addresses].sort((left, right) => Number(right === lastRelay) - Number(left === lastRelay)).slice(0, relaysTried),
		noteRelay(address: string): void {
			if (address !== lastRelay) {
				events.write('relayChosen', {relay: address});
			}

			lastRelay = address;
		},
	};
}

/**
 * Creates a log that goes through other daemons when the direct way fails.
 *
 * @example
 * ```ts
 * const log = createRelayedLog({direct, path, listRelays: () => ['10.0.0.7:7340'], openThrough});
 * ```
 *
 * @param options The direct log and the other daemons
 * @returns The log
 */
export function createRelayedLog(options: CreateRelayedLogOptions): KeyedLog {
	const {direct, path} = options;

	function listWays(): Array<{readonly log: KeyedLog; readonly relay?: string}> {
		const relays = path.rankRelays(options.listRelays()).map(relay => ({log: options.openThrough(relay), relay}));
		return path.isWorthTrying() ? [{log: direct}, ...relays] : [...relays, {log: direct}];
	}

	// Tries one way after the other until one reaches the store.
	async function tryWays<Value>(run: (log: KeyedLog) => Promise<Value>, hasReached: (value: Value) => boolean): Promise<Value> {
		let value: Value | undefined;
		for (const {log, relay} of listWays()) {
			value = await run(log);
			const isReached = hasReached(value);
			if (relay === undefined) {
				path.note(isReached);
			} else if (isReached) {
				path.noteRelay(relay);
			}

			if (isReached) {
				return value;
			}
		}

		return value!;
	}

	return {
		name: direct.name,
		readNewest: async () => tryWays<Result<NewestRecords, Failure>>(async log => log.readNewest(), result => result.ok),
		read: async (from, readOptions) => tryWays(
			async log => log.read(from, readOptions),
			result => result.ok || result.val.kind === 'gone' || readOptions.signal.aborted,
		),
		// Only an append under a condition may be sent a second way: a copy of one without it would stand twice.
		append: async (record, appendOptions) => appendOptions.at === undefined
			? direct.append(record, appendOptions)
			: tryWays<AppendOutcome>(async log => log.append(record, appendOptions), outcome => outcome.kind === 'appended' || outcome.kind === 'behind'),
	};
}
