/**
 * A keyed log that is reached through another daemon while the direct path to
 * the store is down.
 *
 * A network partition often separates some hosts from the store but leaves the
 * connections between hosts intact; daemons that still reach the store then
 * relay the calls of the others. A relayed append keeps its condition, so an
 * append that is sent on both paths takes effect at most once.
 *
 * @module
 */
import type {
	AppendOutcome, EventLog, Failure, KeyedLog, NewestRecords, Result,
} from '../../protocol/mod.js';
import {waitWithTimeout, type Clock} from '../../transport/mod.js';

/** Tracks whether the direct path to the store works and which relays reach it; shared by all logs of a daemon. */
export type StorePathTracker = ReturnType<typeof createStorePathTracker>;

/** Options of {@linkcode createRelayedLog}. */
export type CreateRelayedLogOptions = {
	readonly direct: KeyedLog;
	readonly pathTracker: StorePathTracker;
	readonly clock: Clock;
	/** Lists the addresses of daemons that may reach the store, nearest first. */
	readonly listRelays: () => string[];
	/** Opens the same log through the daemon at an address. */
	readonly openRelayedLog: (address: string) => KeyedLog;
};

/** Options of {@linkcode createStorePathTracker}. */
export type CreateStorePathTrackerOptions = {readonly clock: Clock; readonly events: EventLog};

/** Interval of the direct calls that check whether the direct path works again. */
const probeIntervalMs = 1000;
/**
 * A call that is not answered after this time is sent on another path as well.
 * A store call takes 4 ms, but times out only after 1 s if the path does not
 * respond: callers whose tokens had to be claimed waited that second in every
 * partition.
 */
const hedgeDelayMs = 120;
/** More than one, since a relay may be cut off from the store as well. */
const maxRelaysPerCall = 3;
/**
 * A call is also sent to the next relay if a relay has not answered after this
 * time. Longer than a slow store takes, since further calls would not speed it up.
 */
const relayHedgeDelayMs = 450;
/** Consecutive failed relayed calls before relays are paused; by then most relays of a fleet have been tried. */
const maxFailedRelayedCalls = 8;
/** First pause without relayed calls; doubles with each further relayed call that fails. */
const initialRelayPauseMs = 500;
/** Half of the time for which an upstream that left still serves requests. */
const maxRelayPauseMs = 1000;

/**
 * Creates a tracker of the paths to the store: the direct one and the relays.
 *
 * @example
 * ```ts
 * const path = createStorePathTracker({clock, events});
 * ```
 *
 * @param options The clock and the event log
 * @returns The tracker
 */
export function createStorePathTracker(options: CreateStorePathTrackerOptions) {
	const {clock, events} = options;
	let lastProbeAt = Number.NEGATIVE_INFINITY;
	let isUp = true;
	let preferredRelay = '';
	const relayFailureTimes = new Map<string, number>();
	/** Consecutive relayed calls that did not reach the store. */
	let failedRelayedCalls = 0;
	let relaysPausedUntil = Number.NEGATIVE_INFINITY;
	// The preferred relay comes first; relays that failed come last, those whose failure is oldest before the others.
	const computeRelayRank = (address: string): number => address === preferredRelay ? Number.NEGATIVE_INFINITY : relayFailureTimes.get(address) ?? -1;

	return {
		/** Returns whether the direct path works. */
		isUp: () => isUp,

		/** Returns whether to send this call directly: the path is up, or a probe is due and this call serves as the probe. */
		admitCall(): boolean {
			const isDue = clock.now() - lastProbeAt >= probeIntervalMs;
			if (!isUp && isDue) {
				lastProbeAt = clock.now();
			}

			return isUp || isDue;
		},

		/** Records whether the direct path works. */
		recordState(isNowUp: boolean): void {
			if (isUp !== isNowUp) {
				events.write(isNowUp ? 'storePathBack' : 'storePathLost');
				lastProbeAt = clock.now();
			}

			isUp = isNowUp;
		},

		/** Returns the relays to try for one call, in order; none while relays are paused after repeated failures. */
		selectRelays: (addresses: readonly string[]): string[] => clock.now() < relaysPausedUntil
			? []
			: [...addresses].sort((left, right) => computeRelayRank(left) - computeRelayRank(right)).slice(0, maxRelaysPerCall),

		/** Records whether a call reached the store through any relay. */
		recordRelayedCall(hasReachedStore: boolean): void {
			failedRelayedCalls = hasReachedStore ? 0 : failedRelayedCalls + 1;
			if (failedRelayedCalls > maxFailedRelayedCalls) {
				relaysPausedUntil = clock.now() + Math.min(maxRelayPauseMs, initialRelayPauseMs * (2 ** (failedRelayedCalls - maxFailedRelayedCalls - 1)));
			}
		},

		/** Makes a relay that reached the store the preferred one. */
		recordRelaySuccess(address: string): void {
			if (address !== preferredRelay) {
				events.write('relayChosen', {relay: address});
			}

			preferredRelay = address;
			relayFailureTimes.delete(address);
		},

		/** Records that a relay did not reach the store, so that other relays are tried before it. */
		recordRelayFailure(address: string): void {
			relayFailureTimes.set(address, clock.now());
			preferredRelay = address === preferredRelay ? '' : preferredRelay;
		},
	};
}

/** A call to the log that can be sent on any path. */
type StoreCall<Value> = {
	readonly run: (log: KeyedLog) => Promise<Value>;
	/** Returns whether the value shows that the call reached the store. */
	readonly hasReachedStore: (value: Value) => boolean;
	/** How long the store may delay its answer to wait for a new record. */
	readonly longPollMs?: number;
};

/** @internal Resolves with the first value that shows that the store was reached, else with that of the first call. */
async function resolveFirstReached<Value>(calls: ReadonlyArray<Promise<Value>>, hasReachedStore: (value: Value) => boolean): Promise<Value> {
	const attempts = calls.map(async call => {
		const value = await call;
		if (!hasReachedStore(value)) {
			throw new Error('The call did not reach the store on this path');
		}

		return value;
	});
	try {
		return await Promise.any(attempts);
	} catch {
		// No call reached the store; the value of the first one contains the reason.
		return calls[0]!;
	}
}

/**
 * Creates a log that sends its calls through other daemons when the direct path
 * fails or is slow.
 *
 * @example
 * ```ts
 * const log = createRelayedLog({direct, path, clock, listRelays: () => ['10.0.0.7:7340'], openThrough});
 * ```
 *
 * @param options The direct log and the relays
 * @returns The log
 */
export function createRelayedLog(options: CreateRelayedLogOptions): KeyedLog {
	const {direct, pathTracker, clock} = options;

	async function callDirect<Value>({run, hasReachedStore}: StoreCall<Value>): Promise<Value> {
		const value = await run(direct);
		pathTracker.recordState(hasReachedStore(value));
		return value;
	}

	async function callRelay<Value>(relay: string, {run, hasReachedStore}: StoreCall<Value>): Promise<Value> {
		const value = await run(options.openRelayedLog(relay));
		if (hasReachedStore(value)) {
			pathTracker.recordRelaySuccess(relay);
		} else {
			pathTracker.recordRelayFailure(relay);
		}

		return value;
	}

	// Tries the relays in order, and sends the call to the next one as well while the earlier ones have not answered. The
	// host of a relay may be down, and three timeouts in sequence would delay the answer by seconds. Resolves with the
	// value of the first relay if no relay reached the store, and with undefined if there is no relay.
	async function callRelays<Value>(call: StoreCall<Value>): Promise<Value | undefined> {
		const calls: Array<Promise<Value>> = [];
		for (const relay of pathTracker.selectRelays(options.listRelays())) {
			calls.push(callRelay(relay, call));
			const earlyValue = await waitWithTimeout(resolveFirstReached(calls, call.hasReachedStore), {clock, timeoutMs: relayHedgeDelayMs + (call.longPollMs ?? 0)});
			if (earlyValue !== undefined && call.hasReachedStore(earlyValue)) {
				pathTracker.recordRelayedCall(true);
				return earlyValue;
			}
		}

		if (calls.length === 0) {
			return undefined;
		}

		const value = await resolveFirstReached(calls, call.hasReachedStore);
		pathTracker.recordRelayedCall(call.hasReachedStore(value));
		return value;
	}

	// Sends the call through relays while a direct call is pending or after it failed. If a relay reaches the store before
	// the direct call ends, the direct path counts as down.
	async function hedgeWithRelays<Value>(call: StoreCall<Value>, pending: Promise<Value>): Promise<Value> {
		let isDirectDone = false;
		const directCall = (async () => {
			const value = await pending;
			isDirectDone = true;
			return value;
		})();
		const relayedCall = (async () => {
			const value = await callRelays(call);
			if (value !== undefined && call.hasReachedStore(value) && !isDirectDone) {
				pathTracker.recordState(false);
			}

			return value ?? pending;
		})();
		return resolveFirstReached([directCall, relayedCall], call.hasReachedStore);
	}

	// Sends the call directly while relayed calls are pending or after they failed.
	async function hedgeWithDirect<Value>(call: StoreCall<Value>, pending: Promise<Value | undefined>): Promise<Value> {
		const directCall = callDirect(call);
		const relayedCall = (async () => await pending ?? directCall)();
		return resolveFirstReached([directCall, relayedCall], call.hasReachedStore);
	}

	async function callStore<Value>(call: StoreCall<Value>): Promise<Value> {
		const maxWaitMs = hedgeDelayMs + (call.longPollMs ?? 0);
		const wasDirectUp = pathTracker.isUp();
		if (!pathTracker.admitCall()) {
			const pending = callRelays(call);
			const earlyValue = await waitWithTimeout(pending, {clock, timeoutMs: maxWaitMs});
			return earlyValue !== undefined && call.hasReachedStore(earlyValue) ? earlyValue : hedgeWithDirect(call, pending);
		}

		const pending = callDirect(call);
		// A probe of a direct path that is down does not delay the call.
		const earlyValue = await waitWithTimeout(pending, {clock, timeoutMs: wasDirectUp ? maxWaitMs : 0});
		return earlyValue !== undefined && call.hasReachedStore(earlyValue) ? earlyValue : hedgeWithRelays(call, pending);
	}

	return {
		name: direct.name,
		readNewest: async () => callStore<Result<NewestRecords, Failure>>({run: async log => log.readNewest(), hasReachedStore: result => result.ok}),
		read: async (from, readOptions) => callStore({
			run: async log => log.read(from, readOptions),
			hasReachedStore: result => result.ok || result.val.kind === 'gone' || readOptions.signal.aborted,
			longPollMs: readOptions.waitMs,
		}),
		// Only a conditional append may be sent on two paths; an unconditional one could take effect twice.
		append: async (record, appendOptions) => appendOptions.expectedEnd === undefined
			? direct.append(record, appendOptions)
			: callStore<AppendOutcome>({run: async log => log.append(record, appendOptions), hasReachedStore: outcome => outcome.kind === 'appended' || outcome.kind === 'behind'}),
	};
}
