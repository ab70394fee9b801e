/**
 * Follows the platform's log and folds it, from the log itself or, when cut
 * off from it, from peers.
 *
 * @module
 */
import Emittery from 'emittery';
import type {
	EventLog, LogEntry, LogPage, LogRecord,
} from '../protocol/mod.js';
import {createFleetState, type FleetSnapshot, type FleetState} from '../state/mod.js';
import type {Clock, LogClient} from '../transport/mod.js';

/** Records handed on by a peer. */
export type RelayedRecords = {
	readonly entries: readonly LogEntry[];
	/** A snapshot to start from when the peer no longer keeps the records. */
	readonly snapshot?: FleetSnapshot;
};

/** Asks peers for records from an offset on; undefined when none has newer ones. */
export type FetchFromPeers = (from: number) => Promise<RelayedRecords | undefined>;

/** Options of {@linkcode createLogFollower}. */
export type CreateLogFollowerOptions = {
	readonly log: LogClient;
	readonly clock: Clock;
	readonly events: EventLog;
	/** How long receipts and runs stay known, in milliseconds. */
	readonly window: number;
	readonly fetchFromPeers: FetchFromPeers;
	/** How long a read may wait for a new record, in milliseconds; default 2000. */
	readonly longPoll?: number;
};

type FollowerEvents = {
	/** One record was folded. */
	folded: LogEntry & {data: LogRecord};
	/** The state was replaced by a snapshot. */
	replaced: undefined;
	/** A read from the log succeeded. */
	caughtUp: undefined;
};

/** Follows the log. */
export type LogFollower = ReturnType<typeof createLogFollower>;

const defaultLongPoll = 2000;
const retryPause = 200;
const recentLimit = 5000;

/**
 * Creates a follower; `run` is its task.
 *
 * @example
 * ```ts
 * const follower = createLogFollower({log, clock, events, window: 3_600_000, fetchFromPeers: async () => undefined});
 * void follower.run(signal);
 * await follower.waitUntilReady(signal);
 * ```
 *
 * @param options The log, the clock and the way to peers
 * @returns The follower
 */
export function createLogFollower(options: CreateLogFollowerOptions) {
	const {log, clock, events, window} = options;
	const longPoll = options.longPoll ?? defaultLongPoll;
	const emitter = new Emittery<FollowerEvents>();
	let state: FleetState = createFleetState({window});
	const recent: LogEntry[] = [];
	let isReady = false;
	let isLogUp = false;

	function keepRecent(entry: LogEntry): void {
		recent.push(entry);
		if (recent.length > recentLimit * 2) {
			recent.splice(0, recent.length - recentLimit);
		}
	}

	function foldEntry(entry: LogEntry): void {
		const outcome = state.fold(entry);
		if (outcome === 'repeated') {
			return;
		}

		keepRecent(entry);
		if (outcome === 'unreadable') {
			events.write('recordUnreadable', {offset: entry.offset});
			return;
		}

		void emitter.emit('folded', entry as LogEntry & {data: LogRecord});
	}

	// Offsets have no gaps; folding past one would give this daemon another state than its peers have.
	function foldAdjoining(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			if (entry.offset > state.next()) {
				return;
			}

			foldEntry(entry);
		}
	}

	// A snapshot older than what is folded would take configuration back to an earlier version.
	function adoptSnapshot(snapshot: FleetSnapshot): void {
		if (snapshot.next <= state.next()) {
			return;
		}

		state = createFleetState({window, snapshot});
		recent.length = 0;
		events.write('snapshotLoaded', {next: snapshot.next});
		void emitter.emit('replaced');
	}

	async function readAll(first: number): Promise<LogEntry[]> {
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

	// The log no longer keeps the next record: this daemon is new, or was away for longer than the retention.
	async function recoverFromSnapshot(first: number): Promise<void> {
		events.write('retentionPassed', {next: state.next(), first});
		const entries = await readAll(first);
		const newest = entries.map(entry => entry.data as LogRecord)
			.findLast(record => record.kind === 'snapshot' && (record.state as FleetSnapshot).next >= first);
		if (newest?.kind === 'snapshot') {
			adoptSnapshot(newest.state as FleetSnapshot);
			foldAdjoining(entries);
		}
	}

	async function askPeers(): Promise<void> {
		const relayed = await options.fetchFromPeers(state.next());
		if (!relayed) {
			return;
		}

		if (relayed.snapshot) {
			adoptSnapshot(relayed.snapshot);
		}

		foldAdjoining(relayed.entries);
		events.write('recordsRelayed', {next: state.next()});
		isReady = true;
	}

	function noteLog(isUp: boolean): void {
		if (isUp !== isLogUp) {
			events.write(isUp ? 'logBack' : 'logLost', {next: state.next()});
		}

		isLogUp = isUp;
	}

	function foldPage(page: LogPage): void {
		foldAdjoining(page.records);
		isReady ||= state.next() >= page.next;
		void emitter.emit('caughtUp');
	}

	async function step(signal: AbortSignal): Promise<void> {
		const page = await log.read(state.next(), {wait: isReady && isLogUp ? longPoll : 0, signal});
		if (page.ok) {
			noteLog(true);
			foldPage(page.val);
			return;
		}

		if (signal.aborted) {
			return;
		}

		if (page.val.kind === 'gone') {
			noteLog(true);
			await recoverFromSnapshot(page.val.first);
			await askPeers();
			return;
		}

		noteLog(false);
		await askPeers();
		await clock.sleep(retryPause, signal);
	}

	return {
		events: emitter,
		state: (): FleetState => state,
		/** True once this daemon has a version to work with. */
		isReady: () => isReady,
		isLogUp: () => isLogUp,

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await step(signal);
			}
		},

		/** Reads what is new without waiting for more; false when the log does not answer. */
		async catchUp(): Promise<boolean> {
			const page = await log.read(state.next());
			if (page.ok) {
				foldPage(page.val);
			}

			return page.ok;
		},

		/** Waits until the state satisfies the condition; false when the signal was aborted first. */
		async waitFor(condition: (state: FleetState) => boolean, signal: AbortSignal): Promise<boolean> {
			let end: () => void = () => undefined;
			const aborted = new Promise<void>(resolve => {
				end = resolve;
				signal.addEventListener('abort', end);
			});
			while (!condition(state) && !signal.aborted) {
				const progress = emitter.once(['folded', 'replaced', 'caughtUp']);
				await Promise.race([progress, aborted]);
				progress.off();
			}

			signal.removeEventListener('abort', end);
			return condition(state);
		},

		/** Records from an offset on for a peer, or a snapshot when they are gone here. */
		listRecent(from: number): RelayedRecords {
			const first = recent[0]?.offset ?? state.next();
			return from >= first
				? {entries: recent.slice(from - first)}
				: {entries: [], snapshot: state.buildSnapshot()};
		},
	};
}
