/**
 * Records the join of this daemon's incarnation in the log, and joins again as a
 * new incarnation after peers have ended the previous one.
 *
 * @module
 */
import {createId, type EventLog, type Join} from '../../protocol/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {LogFollower} from '../store/log-follower.js';
import type {LogWriter} from '../store/log-writer.js';
import type {Self} from './membership.js';

/** Options of {@linkcode createEnrolment}. */
export type CreateEnrolmentOptions = {
	readonly self: Self;
	readonly join: Omit<Join, 'kind' | 'daemon' | 'incarnation' | 'role'>;
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when another process has joined under this daemon's id. */
	readonly onSuperseded: () => void;
};

/** Joins a daemon to the fleet through the log. */
export type Enrolment = ReturnType<typeof createEnrolment>;

const checkIntervalMs = 300;
const commitTimeoutMs = 10_000;

/**
 * Creates the enrolment of a daemon; `run` keeps the daemon joined until its signal is aborted.
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
	let hasJoinedBefore = false;

	function isJoined(): boolean {
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	async function join(): Promise<void> {
		const {incarnation} = self;
		await writer.commit({
			kind: 'join', daemon: self.id, incarnation, role: self.role, ...options.join,
		}, {isFolded: () => isJoined(), signal: AbortSignal.timeout(commitTimeoutMs)});
		if (isJoined()) {
			hasJoinedBefore = true;
			events.write('joined', {incarnation});
		}
	}

	async function ensureJoined(): Promise<void> {
		if (isJoined() || !follower.isLogUp() || self.isLeaving) {
			return;
		}

		if (hasJoinedBefore && follower.state().placement.get(self.id) !== undefined) {
			events.write('superseded', {incarnation: self.incarnation});
			options.onSuperseded();
			return;
		}

		// Peers have ended this incarnation and settle what it accepted, so the daemon continues as a new incarnation.
		if (hasJoinedBefore) {
			self.incarnation = createId('i');
		}

		await join();
	}

	return {
		isJoined,
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await ensureJoined();
				await clock.sleep(checkIntervalMs, signal);
			}
		},

		/** Records in the log that this daemon leaves; call it after everything that the daemon has to record is in the log. */
		async leave(): Promise<void> {
			const {incarnation} = self;
			await writer.commit({
				kind: 'leave', daemon: self.id, incarnation, graceful: true, by: self.id,
			}, {isFolded: () => !isJoined(), signal: AbortSignal.timeout(commitTimeoutMs)});
		},
	};
}
