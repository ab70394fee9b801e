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
import {waitAtMost, type Clock} from '../transport/mod.js';

/** Whether the direct way to the store works; shared by all logs of a daemon. */
export type DirectPath = ReturnType<typeof createDirectPath>;

/** Options of {@linkcode createRelayedLog}. */
export type CreateRelayedLogOptions = {
	readonly direct: KeyedLog;
	readonly path: DirectPath;
	readonly clock: Clock;
	/** Addresses of daemons that may reach the store, the nearest first. */
	readonly listRelays: () => string[];
	/** The same log through another daemon. */
	readonly openThrough: (address: string) => KeyedLog;
};

/** Options of {@linkcode createDirectPath}. */
export type CreateDirectPathOptions = {readonly clock: Clock; readonly events: EventLog};

/** Pause between calls that look whether the direct way works again, in milliseconds. */
const probeEvery = 1000;
/**
 * A call that takes longer one way, in milliseconds, goes another way as well.
 * A call takes 4 ms, and 1 s until a silent one is given up on: callers whose
 * tokens had to be claimed waited that second in each partition.
 */
const hedgeAfter = 120;
/** Daemons asked in one call: a relay may be cut off as well. */
const relaysTried = 3;
/**
 * The next daemon is asked beside one that keeps silent for so long, in
 * milliseconds: longer than a slow store takes, which is not helped by more calls.
 */
const relayPatience = 450;
/** Calls that reach the store through no relay before relays are left alone: by then most of a fleet's were asked. */
const lostCallsBorne = 8;
/** How long relays are first left alone, in milliseconds, doubled with each further call that reaches nothing. */
const restStep = 500;
/** Longest time for which relays are left alone, in milliseconds: half of the time for which an upstream that left serves. */
const restLimit = 1000;

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
	let triedAt = Number.NEGATIVE_INFINITY;
	let isUp = true;
	let lastRelay = '';
	const lostRelays = new Map<string, number>();
	/** Calls in a row that reached the store through no relay. */
	let lostCalls = 0;
	let restsUntil = Number.NEGATIVE_INFINITY;
	// The relay that answered last comes first; those that did not reach the store come last, the longest lost before the others.
	const rankRelay = (address: string): number => address === lastRelay ? Number.NEGATIVE_INFINITY : lostRelays.get(address) ?? -1;

	return {
		isUp: () => isUp,

		/** True if the direct way is up, or if it is this call's turn to look whether it is. */
		claimTry(): boolean {
			const isDue = clock.now() - triedAt >= probeEvery;
			if (!isUp && isDue) {
				triedAt = clock.now();
			}

			return isUp || isDue;
		},

		note(nowUp: boolean): void {
			if (isUp !== nowUp) {
				events.write(nowUp ? 'storePathBack' : 'storePathLost');
				triedAt = clock.now();
			}

			isUp = nowUp;
		},

		/** The relays to ask in one call, in order; none for a while after calls that reached the store through none. */
		rankRelays: (addresses: readonly string[]): string[] => clock.now() < restsUntil
			? []
			: [...addresses].sort((left, right) => rankRelay(left) - rankRelay(right)).slice(0, relaysTried),

		/** Notes whether a call reached the store through any relay. */
		noteRelayed(hasReached: boolean): void {
			lostCalls = hasReached ? 0 : lostCalls + 1;
			if (lostCalls > lostCallsBorne) {
				restsUntil = clock.now() + Math.min(restLimit, restStep * (2 ** (lostCalls - lostCallsBorne - 1)));
			}
		},
		noteRelay(address: string): void {
			if (address !== lastRelay) {
				events.write('relayChosen', {relay: address});
			}

			lastRelay = address;
			lostRelays.delete(address);
		},

		/** Notes that a relay did not reach the store: it may have died, and others must get their turn. */
		noteRelayLost(address: string): void {
			lostRelays.set(address, clock.now());
			lastRelay = address === lastRelay ? '' : lastRelay;
		},
	};
}

/** One kind of call, for any way to the log. */
type StoreCall<Value> = {
	readonly run: (log: KeyedLog) => Promise<Value>;
	/** True when the value shows that the store was reached. */
	readonly hasReached: (value: Value) => boolean;
	/** Milliseconds for which the store may hold the answer back. */
	readonly wait?: number;
};

/** @internal Resolves with the first value that shows the store was reached, else with the first call's. */
async function takeFirstReached<Value>(calls: ReadonlyArray<Promise<Value>>, hasReached: (value: Value) => boolean): Promise<Value> {
	const reached = calls.map(async call => {
		const value = await call;
		if (!hasReached(value)) {
			throw new Error('The store was not reached this way');
		}

		return value;
	});
	try {
		return await Promise.any(reached);
	} catch {
		// None reached it: the value of the first call says why.
		return calls[0]!;
	}
}

/**
 * Creates a log that goes through other daemons when the direct way fails or
 * is slow.
 *
 * @example
 * ```ts
 * const log = createRelayedLog({direct, path, clock, listRelays: () => ['10.0.0.7:7340'], openThrough});
 * ```
 *
 * @param options The direct log and the other daemons
 * @returns The log
 */
export function createRelayedLog(options: CreateRelayedLogOptions): KeyedLog {
	const {direct, path, clock} = options;

	async function callDirect<Value>({run, hasReached}: StoreCall<Value>): Promise<Value> {
		const value = await run(direct);
		path.note(hasReached(value));
		return value;
	}

	async function callRelay<Value>(relay: string, {run, hasReached}: StoreCall<Value>): Promise<Value> {
		const value = await run(options.openThrough(relay));
		if (hasReached(value)) {
			path.noteRelay(relay);
		} else {
			path.noteRelayLost(relay);
		}

		return value;
	}

	// Asks one relay after the other, the next one beside a relay that keeps silent: its host may be dead, and a gateway
	// that waited for three such calls in turn would learn seconds late what the store says. Resolves with the value of the
	// first relay when none reached the store, and with undefined when there is none.
	async function callRelays<Value>(call: StoreCall<Value>): Promise<Value | undefined> {
		const calls: Array<Promise<Value>> = [];
		for (const relay of path.rankRelays(options.listRelays())) {
			calls.push(callRelay(relay, call));
			const early = await waitAtMost(takeFirstReached(calls, call.hasReached), {clock, span: relayPatience + (call.wait ?? 0)});
			if (early !== undefined && call.hasReached(early)) {
				path.noteRelayed(true);
				return early;
			}
		}

		if (calls.length === 0) {
			return undefined;
		}

		const value = await takeFirstReached(calls, call.hasReached);
		path.noteRelayed(call.hasReached(value));
		return value;
	}

	// Goes through relays beside a direct call that has not ended. The direct way counts as lost if a relay is faster.
	async function joinRelays<Value>(call: StoreCall<Value>, pending: Promise<Value>): Promise<Value> {
		let isDirectDone = false;
		const throughDirect = (async () => {
			const value = await pending;
			isDirectDone = true;
			return value;
		})();
		const throughRelays = (async () => {
			const value = await callRelays(call);
			if (value !== undefined && call.hasReached(value) && !isDirectDone) {
				path.note(false);
			}

			return value ?? pending;
		})();
		return takeFirstReached([throughDirect, throughRelays], call.hasReached);
	}

	// Goes directly beside calls through relays that have not reached the store.
	async function joinDirect<Value>(call: StoreCall<Value>, pending: Promise<Value | undefined>): Promise<Value> {
		const throughDirect = callDirect(call);
		const throughRelays = (async () => await pending ?? throughDirect)();
		return takeFirstReached([throughDirect, throughRelays], call.hasReached);
	}

	async function callStore<Value>(call: StoreCall<Value>): Promise<Value> {
		const patience = hedgeAfter + (call.wait ?? 0);
		const wasUp = path.isUp();
		if (!path.claimTry()) {
			const pending = callRelays(call);
			const early = await waitAtMost(pending, {clock, span: patience});
			return early !== undefined && call.hasReached(early) ? early : joinDirect(call, pending);
		}

		const pending = callDirect(call);
		// A look at whether the direct way works again is not waited for.
		const early = await waitAtMost(pending, {clock, span: wasUp ? patience : 0});
		return early !== undefined && call.hasReached(early) ? early : joinRelays(call, pending);
	}

	return {
		name: direct.name,
		readNewest: async () => callStore<Result<NewestRecords, Failure>>({run: async log => log.readNewest(), hasReached: result => result.ok}),
		read: async (from, readOptions) => callStore({
			run: async log => log.read(from, readOptions),
			hasReached: result => result.ok || result.val.kind === 'gone' || readOptions.signal.aborted,
			wait: readOptions.wait,
		}),
		// Only an append under a condition may be sent a second way: a copy of one without it would stand twice.
		append: async (record, appendOptions) => appendOptions.at === undefined
			? direct.append(record, appendOptions)
			: callStore<AppendOutcome>({run: async log => log.append(record, appendOptions), hasReached: outcome => outcome.kind === 'appended' || outcome.kind === 'behind'}),
	};
}
