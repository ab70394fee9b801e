/**
 * Puts this daemon's incarnation on the log, and again under a new name when
 * peers have ended it.
 *
 * @module
 */
import {createId, type EventLog, type Join} from '../protocol/mod.js';
import type {Clock} from '../transport/mod.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';
import type {Self} from './membership.js';

/** Options of {@linkcode createEnrolment}. */
export type CreateEnrolmentOptions = {
	readonly self: Self;
	readonly join: Omit<Join, 'kind' | 'daemon' | 'incarnation' | 'role'>;
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when another process has taken this daemon's name. */
	readonly onSuperseded: () => void;
};

/** Puts a daemon on the log. */
export type Enrolment = ReturnType<typeof createEnrolment>;

const roundPause = 300;
const appendBound = 10_000;

/**
 * Creates the enrolment; `run` is its task.
 *
 * @example
 * ```ts
 * void enrolment.run(signal);
 * ```
 *
 * @param options This daemon and the log
 * @returns The enrolment
 */
export function createEnrolment(options: CreateEnrolmentOptions) {
	const {
		self, follower, writer, clock, events,
	} = options;
	let wasJoined = false;

	function isJoined(): boolean {
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	async function join(): Promise<void> {
		const {incarnation} = self;
		await writer.commit({
			kind: 'join', daemon: self.id, incarnation, role: self.role, ...options.join,
		}, {isFolded: () => isJoined(), signal: AbortSignal.timeout(appendBound)});
		if (isJoined()) {
			wasJoined = true;
			events.write('joined', {incarnation});
		}
	}

	async function runRound(): Promise<void> {
		if (isJoined() || !follower.isLogUp() || self.isLeaving) {
			return;
		}

		if (wasJoined && follower.state().placement.get(self.id) !== undefined) {
			events.write('superseded', {incarnation: self.incarnation});
			options.onSuperseded();
			return;
		}

		// Peers ended this incarnation: what it accepted is settled without it, so it goes on under a new name.
		if (wasJoined) {
			self.incarnation = createId('i');
		}

		await join();
	}

	return {
		isJoined,
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await runRound();
				await clock.sleep(roundPause, signal);
			}
		},

		/** Takes this daemon off the log, after everything it owes is there. */
		async leave(): Promise<void> {
			const {incarnation} = self;
			await writer.commit({
				kind: 'leave', daemon: self.id, incarnation, graceful: true, by: self.id,
			}, {isFolded: () => !isJoined(), signal: AbortSignal.timeout(appendBound)});
		},
	};
}
