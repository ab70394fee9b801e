/**
 * Follows the platform's log and folds its records into the fleet state; while
 * the log is unreachable, records come from peers.
 *
 * @module
 */
import Emittery from 'emittery';
import type {
	EventLog, LogEntry, LogPage, LogRecord,
} from '../../protocol/mod.js';
import {createFleetState, type FleetSnapshot, type FleetState} from '../../state/mod.js';
import type {Clock, LogClient} from '../../transport/mod.js';

/** Records relayed by a peer. */
export type RelayedRecords = {
	readonly entries: readonly LogEntry[];
	/** Snapshot to start from if the peer no longer keeps the requested records. */
	readonly snapshot?: FleetSnapshot;
};

/** Fetches records from an offset on from peers; undefined if no peer has newer ones. */
export type FetchFromPeers = (from: number) => Promise<RelayedRecords | undefined>;

/** Options of {@linkcode createLogFollower}. */
export type CreateLogFollowerOptions = {
	readonly log: LogClient;
	readonly clock: Clock;
	readonly events: EventLog;
	/** How long receipts and runs are kept in the state, in milliseconds. */
	readonly windowMs: number;
	readonly fetchFromPeers: FetchFromPeers;
	/** How long a read may wait for a new record, in milliseconds; default 2000. */
	readonly longPollMs?: number;
};

type FollowerEvents = {
	/** A record was folded into the state. */
	folded: LogEntry & {data: LogRecord};
	/** The state was replaced by that of a snapshot. */
	replaced: undefined;
	/** A read from the log succeeded. */
	caughtUp: undefined;
};

/** Follows the log and holds the folded state. */
export type LogFollower = ReturnType<typeof createLogFollower>;

const defaultLongPollMs = 2000;
const retryDelayMs = 200;
const maxRecentEntries = 5000;

/**
 * Creates a follower of the platform's log; `run` reads until its signal is aborted.
 *
 * @example
 * ```ts
 * const follower = createLogFollower({log, clock, events, windowMs: 3_600_000, fetchFromPeers: async () => undefined});
 * void follower.run(signal);
 * await follower.waitFor(() => follower.isReady(), signal);
 * ```
 *
 * @param options The log, the clock and the function that fetches records from peers
 * @returns The follower
 */
export function createLogFollower(options: CreateLogFollowerOptions) {
	const {log, clock, events, windowMs} = options;
	const longPollMs = options.longPollMs ?? defaultLongPollMs;
	const emitter = new Emittery<FollowerEvents>();
	let state: FleetState = createFleetState({retentionMs: windowMs});
	const recentEntries: LogEntry[] = [];
	let isReady = false;
	let isLogUp = false;

	function addRecentEntry(entry: LogEntry): void {
		recentEntries.push(entry);
		if (recentEntries.length > maxRecentEntries * 2) {
			recentEntries.splice(0, recentEntries.length - maxRecentEntries);
		}
	}

	function foldEntry(entry: LogEntry): void {
		const outcome = state.fold(entry);
		if (outcome === 'repeated') {
			return;
		}

		addRecentEntry(entry);
		if (outcome === 'unreadable') {
			events.write('recordUnreadable', {offset: entry.offset});
			return;
		}

		void emitter.emit('folded', entry as LogEntry & {data: LogRecord});
	}

	// Stops at a gap in the offsets; folding past it would make this daemon's state differ from that of its peers.
	function foldContiguous(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			if (entry.offset > state.getNextOffset()) {
				return;
			}

			foldEntry(entry);
		}
	}

	// Ignores a snapshot older than the current state, which would return the configuration to an earlier version.
	function loadSnapshot(snapshot: FleetSnapshot): void {
		if (snapshot.next <= state.getNextOffset()) {
			return;
		}

		state = createFleetState({retentionMs: windowMs, snapshot});
		recentEntries.length = 0;
		events.write('snapshotLoaded', {next: snapshot.next});
		void emitter.emit('replaced');
	}

	async function readAllFrom(first: number): Promise<LogEntry[]> {
		const entries: LogEntry[] = [];
		let from = first;
		for (;;) {
			const page = await log.read(from);
			if (page.err || page.val.records.length === 0) {
				return entries;
			}

			entries.push(...page.val.records);
			from = entries.at(-1)!.offset + 1;
		}
	}

	// The log no longer keeps the next record: this daemon is new or was down for longer than the retention period.
	async function recoverFromSnapshot(first: number): Promise<void> {
		events.write('retentionPassed', {next: state.getNextOffset(), first});
		const entries = await readAllFrom(first);
		const newest = entries.map(entry => entry.data as LogRecord)
			.findLast(record => record.kind === 'snapshot' && (record.state as FleetSnapshot).next >= first);
		if (newest?.kind === 'snapshot') {
			loadSnapshot(newest.state as FleetSnapshot);
			foldContiguous(entries);
		}
	}

	async function recoverFromPeers(): Promise<void> {
		const relayed = await options.fetchFromPeers(state.getNextOffset());
		if (!relayed) {
			return;
		}

		if (relayed.snapshot) {
			loadSnapshot(relayed.snapshot);
		}

		foldContiguous(relayed.entries);
		events.write('recordsRelayed', {next: state.getNextOffset()});
		isReady = true;
	}

	function recordLogState(isUp: boolean): void {
		if (isUp !== isLogUp) {
			events.write(isUp ? 'logBack' : 'logLost', {next: state.getNextOffset()});
		}

		isLogUp = isUp;
	}

	function foldPage(page: LogPage): void {
		foldContiguous(page.records);
		isReady ||= state.getNextOffset() >= page.next;
		void emitter.emit('caughtUp');
	}

	async function readOnce(signal: AbortSignal): Promise<void> {
		const page = await log.read(state.getNextOffset(), {waitMs: isReady && isLogUp ? longPollMs : 0, signal});
		if (page.ok) {
			recordLogState(true);
			foldPage(page.val);
			return;
		}

		if (signal.aborted) {
			return;
		}

		if (page.val.kind === 'gone') {
			recordLogState(true);
			await recoverFromSnapshot(page.val.first);
			await recoverFromPeers();
			return;
		}

		recordLogState(false);
		await recoverFromPeers();
		await clock.sleep(retryDelayMs, signal);
	}

	return {
		events: emitter,
		state: (): FleetState => state,
		/** Returns whether the state has caught up with the log or with a peer once. */
		isReady: () => isReady,
		isLogUp: () => isLogUp,

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await readOnce(signal);
			}
		},

		/** Reads new records without waiting for more; false if the log does not answer. */
		async catchUp(): Promise<boolean> {
			const page = await log.read(state.getNextOffset());
			if (page.ok) {
				foldPage(page.val);
			}

			return page.ok;
		},

		/** Waits until the state satisfies the condition; false if the signal is aborted first. */
		async waitFor(condition: (state: FleetState) => boolean, signal: AbortSignal): Promise<boolean> {
			let onAbort: () => void = () => undefined;
			const aborted = new Promise<void>(resolve => {
				onAbort = resolve;
				signal.addEventListener('abort', onAbort);
			});
			while (!condition(state) && !signal.aborted) {
				const progress = emitter.once(['folded', 'replaced', 'caughtUp']);
				await Promise.race([progress, aborted]);
				progress.off();
			}

			signal.removeEventListener('abort', onAbort);
			return condition(state);
		},

		/** Returns the records from an offset on for a peer, or a snapshot if this daemon no longer keeps them. */
		listRecent(from: number): RelayedRecords {
			const first = recentEntries[0]?.offset ?? state.getNextOffset();
			return from >= first
				? {entries: recentEntries.slice(from - first)}
				: {entries: [], snapshot: state.buildSnapshot()};
		},
	};
}
