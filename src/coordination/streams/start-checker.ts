/**
 * Checks that what is believed of an upstream holds for the process that answers:
 * that a stream goes on at the software version that began it, and that the
 * version with which a stream was recorded is that of the process which began it.
 *
 * An answer does not name the start of its process, but a report does. A start
 * that was registered before a request was written, and that runs at any time
 * after, has answered it: only one process listens at an address.
 *
 * @module
 */
import type {EventLog, UpstreamRegistration} from '../../protocol/mod.js';
import {
	findKnownStart, type KnownStart, type StreamOrigin, type UpstreamDirectory, type UpstreamStarts,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** What an upstream reports: its start, or `absent` if it offers no report that names one, or `unanswered`. */
export type ReportedStart = {readonly kind: 'read'; readonly startedAt: number} | {readonly kind: 'absent' | 'unanswered'};

/** Options of {@linkcode createStartChecker}. */
export type CreateStartCheckerOptions = {
	readonly starts: UpstreamStarts;
	readonly directory: Pick<UpstreamDirectory, 'get'>;
	/** Asks the process at an address for its start. */
	readonly fetchStart: (address: string) => Promise<ReportedStart>;
	/** Reads the registrations of upstreams; false if they could not be read. */
	readonly readViews: () => Promise<boolean>;
	/** Returns true if the registrations were read without interruption since a time, in milliseconds of the clock. */
	readonly hasFollowedSince: (time: number) => boolean;
	readonly clock: Clock;
	readonly events: Pick<EventLog, 'write'>;
};

/** The origin of a stream after it was checked. */
export type CheckedOrigin = {
	/** Names no start any more: the version is certain, or undefined. */
	readonly origin: StreamOrigin;
	/** The version is undefined because the store and the upstream did not answer, and may become known. */
	readonly isUnread: boolean;
};

/** An answer that continues a stream. */
export type ContinuedAnswer = {
	/** Registration of the upstream when the request was written. */
	readonly registered: Pick<UpstreamRegistration, 'id' | 'address' | 'startedAt'>;
	/** When the request was written, in milliseconds of the clock. */
	readonly sentAt: number;
	readonly origin: StreamOrigin;
};

/** Checks that what is believed of an upstream holds for the process that answers. */
export type StartChecker = ReturnType<typeof createStartChecker>;

type Query = {readonly sentAt: number; readonly result: Promise<ReportedStart>};

/** Time for which an answer waits until its upstream registers again: upstreams do so each 1.2 s, and registrations are read each 0.5 s. */
const registrationWaitMs = 2500;
const registrationCheckIntervalMs = 100;
/** Time after which an upstream whose report was not answered is asked again before a stream may go on there. */
const reportRetryDelayMs = 1000;

/**
 * Creates a checker.
 *
 * @example
 * ```ts
 * const checker = createStartChecker({starts, directory, fetchStart, readViews, hasFollowedSince, clock, events});
 * await checker.isOfVersion({registered, sentAt, origin});
 * ```
 *
 * @param options What is known of starts, and how to ask upstreams and the store
 * @returns The checker
 */
export function createStartChecker({starts, directory, fetchStart, readViews, hasFollowedSince, clock, events}: CreateStartCheckerOptions) {
	const pendingQueries = new Map<string, Query>();

	async function query({id, address}: Pick<UpstreamRegistration, 'id' | 'address'>, sentAt: number): Promise<ReportedStart> {
		const reported = await fetchStart(address);
		if (reported.kind === 'unanswered') {
			starts.recordReportFailure(id, clock.now());
		} else {
			starts.recordReport(id, {isOffered: reported.kind === 'read'});
		}

		if (reported.kind === 'read') {
			starts.recordAlive({id, startedAt: reported.startedAt}, sentAt);
		}

		return reported;
	}

	// Streams that need the start of one upstream at the same time share a report that was requested after each of them was written.
	async function queryShared(upstream: Pick<UpstreamRegistration, 'id' | 'address'>, since: number): Promise<ReportedStart> {
		const key = `${upstream.id} ${upstream.address}`;
		for (;;) {
			const pending = pendingQueries.get(key);
			if (!pending) {
				break;
			}

			const reported = await pending.result;
			// A report that was not answered would not be answered now either, and a caller waits.
			if (pending.sentAt >= since || reported.kind === 'unanswered') {
				return reported;
			}
		}

		const sentAt = clock.now();
		const result = query(upstream, sentAt);
		pendingQueries.set(key, {sentAt, result});
		try {
			return await result;
		} finally {
			pendingQueries.delete(key);
		}
	}

	function recordReplaced(start: KnownStart, reportedAt: number): void {
		if (!starts.isReplaced(start)) {
			events.write('upstreamReplaced', {upstream: start.id, startedAt: start.startedAt, reportedStartedAt: reportedAt});
		}

		starts.recordReplaced(start);
	}

	// Whichever start it was since the known one, its version is the same.
	function isLaterOfVersion({id, startedAt}: KnownStart, reportedAt: number, softwareVersion: string | undefined): boolean {
		const registration = directory.get(id);
		return registration?.startedAt === reportedAt && registration.softwareVersion === softwareVersion && !starts.hasLaterVersion({id, startedAt}, softwareVersion);
	}

	/**
	 * Waits until the start registers again, which shows that it ran after `sentAt`; false if another start registers, if
	 * registrations cannot be read, or after some seconds.
	 */
	async function waitForRegistration(start: KnownStart, sentAt: number): Promise<boolean> {
		const waitUntil = clock.now() + registrationWaitMs;
		while (hasFollowedSince(sentAt) && directory.get(start.id)?.startedAt === start.startedAt && clock.now() < waitUntil) {
			await clock.sleep(registrationCheckIntervalMs);
			if (starts.wasAlive(start, sentAt)) {
				return true;
			}
		}

		return false;
	}

	// Without a report, a connection that was lost or refused is the only sign of a new start that has not registered.
	async function isOfVersion({registered, sentAt, origin: {softwareVersion}}: ContinuedAnswer): Promise<boolean> {
		const start = findKnownStart(registered);
		if (start === undefined || starts.wasAlive(start, sentAt)) {
			return true;
		}

		const reported = await queryShared(registered, sentAt);
		if (reported.kind !== 'read') {
			return (reported.kind === 'absent' && !starts.isInDoubt(start)) || waitForRegistration(start, sentAt);
		}

		if (reported.startedAt === start.startedAt) {
			return true;
		}

		recordReplaced(start, reported.startedAt);
		return isLaterOfVersion(start, reported.startedAt, softwareVersion);
	}

	type Verdict = 'certain' | 'unknown' | 'undecided';

	// A later start with the same version does not matter. One with another version may have begun the stream.
	function decideByRegistration({softwareVersion}: StreamOrigin, start: KnownStart, {begunAt, hasReadViews}: {readonly begunAt: number; readonly hasReadViews: boolean}): Verdict {
		if (starts.wasAlive(start, begunAt)) {
			return 'certain';
		}

		const registration = directory.get(start.id);
		if (registration?.startedAt === undefined || registration.startedAt === start.startedAt) {
			return 'undecided';
		}

		// The registration of the start may not have been read yet.
		if (registration.startedAt < start.startedAt && !hasReadViews) {
			return 'undecided';
		}

		if (!isLaterOfVersion(start, registration.startedAt, softwareVersion)) {
			return 'unknown';
		}

		// A start after the registered one may have begun the stream, and have ended without having registered.
		return starts.wasAlive({id: start.id, startedAt: registration.startedAt}, begunAt) ? 'certain' : 'undecided';
	}

	async function decideByReport(origin: StreamOrigin, start: KnownStart, begunAt: number): Promise<Verdict> {
		const registration = directory.get(start.id);
		if (!registration) {
			return 'undecided';
		}

		const reported = await queryShared(registration, begunAt);
		if (reported.kind === 'read') {
			if (reported.startedAt === start.startedAt || isLaterOfVersion(start, reported.startedAt, origin.softwareVersion)) {
				return 'certain';
			}

			recordReplaced(start, reported.startedAt);
			return 'undecided';
		}

		return reported.kind === 'absent' && !starts.isInDoubt(start) ? 'certain' : 'undecided';
	}

	// A new start registers as soon as it can. While the store is away it may begin streams and end without having registered.
	async function decideByRead(origin: StreamOrigin, start: KnownStart, begunAt: number): Promise<Verdict> {
		if (!await readViews()) {
			return 'undecided';
		}

		const verdict = decideByRegistration(origin, start, {begunAt, hasReadViews: true});
		return verdict === 'undecided' && !starts.isReplaced(start) && hasFollowedSince(begunAt) ? 'certain' : verdict;
	}

	async function decide(origin: StreamOrigin, start: KnownStart, begunAt: number): Promise<Verdict> {
		const early = decideByRegistration(origin, start, {begunAt, hasReadViews: false});
		if (early !== 'undecided') {
			return early;
		}

		const reported = await decideByReport(origin, start, begunAt);
		return reported === 'undecided' ? decideByRead(origin, start, begunAt) : reported;
	}

	return {
		/** Returns a recorded origin with what this gateway knows by itself: without the start if the version is certain. */
		describeOrigin(origin: StreamOrigin, begunAt: number): StreamOrigin {
			const {service, softwareVersion, start} = origin;
			return start !== undefined && decideByRegistration(origin, start, {begunAt, hasReadViews: false}) === 'certain' ? {service, softwareVersion} : origin;
		},

		/** Returns true if the answer is known to come from a process of the stream's version. */
		isOfVersion,

		/**
		 * Checks the version with which a stream was recorded. `begunAt` is a time, in
		 * milliseconds of the clock, at or after which its request was written.
		 */
		async checkOrigin(origin: StreamOrigin, begunAt: number): Promise<CheckedOrigin> {
			const {service, softwareVersion, start} = origin;
			if (start === undefined) {
				return {origin, isUnread: false};
			}

			const verdict = await decide(origin, start, begunAt);
			return {
				origin: {service, softwareVersion: verdict === 'certain' ? softwareVersion : undefined},
				isUnread: verdict === 'undecided',
			};
		},

		/**
		 * Returns whether an upstream that goes on with a stream can be asked which start
		 * answers; undefined if that is not known.
		 */
		canConfirm(upstream: Pick<UpstreamRegistration, 'id' | 'startedAt'>): boolean | undefined {
			const start = findKnownStart(upstream);
			if (start === undefined) {
				return true;
			}

			const failedAt = starts.getReportFailedAt(start.id);
			if (failedAt !== undefined) {
				return clock.now() - failedAt < reportRetryDelayMs ? false : undefined;
			}

			const hasReport = starts.hasReport(start.id);
			return hasReport === false ? !starts.isInDoubt(start) : hasReport;
		},

		/** Asks an upstream for its start, so that it becomes known whether it can be asked. */
		async queryStart(upstream: Pick<UpstreamRegistration, 'id' | 'address'>): Promise<void> {
			try {
				await queryShared(upstream, Number.NEGATIVE_INFINITY);
			} catch (error) {
				// Nobody waits for the answer, and an unhandled rejection would end the process.
				events.write('requestFailed', {detail: (error as Error).stack});
			}
		},

		/**
		 * Asks an upstream for its start if a connection to it was lost since that was
		 * known. Returns false if no stream may go on there now.
		 */
		async settleDoubt(upstream: Pick<UpstreamRegistration, 'id' | 'address' | 'startedAt'>): Promise<boolean> {
			const start = findKnownStart(upstream);
			if (start === undefined || !starts.isInDoubt(start)) {
				return true;
			}

			const reported = await queryShared(upstream, starts.getDoubtedAt(start.id));
			if (reported.kind === 'read' && reported.startedAt !== start.startedAt) {
				recordReplaced(start, reported.startedAt);
			}

			return reported.kind === 'read' && starts.mayMatch(upstream);
		},

		/** Records that a connection to an upstream was lost or refused. */
		recordLost(id: string): void {
			starts.recordDoubt(id, clock.now());
		},
	};
}
