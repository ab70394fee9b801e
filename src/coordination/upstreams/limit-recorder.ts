/**
 * Records the limits that upstreams name, logs their changes and has them
 * announced to the other gateways.
 *
 * @module
 */
import type {AnswerMetadata, EventLog} from '../../protocol/mod.js';
import type {LimitAnnouncement, UpstreamLimits} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createLimitRecorder}. */
export type CreateLimitRecorderOptions = {
	readonly limits: UpstreamLimits;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called when this gateway sees a limit that is new or ends. */
	readonly onChange: () => void;
};

/** Records the limits that upstreams name. */
export type LimitRecorder = ReturnType<typeof createLimitRecorder>;

/** Maximum number of upstreams whose unreadable limits are logged. */
const maxUnreadableUpstreams = 100;

/**
 * Creates a recorder.
 *
 * @example
 * ```ts
 * recorder.recordAnswer('i-7', {metadata, sentAt});
 * ```
 *
 * @param options The limits and the event log
 * @returns The recorder
 */
export function createLimitRecorder({limits, clock, events, onChange}: CreateLimitRecorderOptions) {
	const unreadable = new Set<string>();

	function reportChange(upstream: string, source: string): void {
		const limit = limits.findInForce(upstream);
		if (limit) {
			events.write('upstreamLimited', {upstream, requestsPerSecond: limit.requestsPerSecond, source});
		} else {
			events.write('upstreamLimitEnded', {upstream, source});
		}
	}

	function recordUnreadable(upstream: string): void {
		if (!unreadable.has(upstream) && unreadable.size < maxUnreadableUpstreams) {
			unreadable.add(upstream);
			events.write('upstreamLimitUnreadable', {upstream});
		}
	}

	// Returns true if a limit is new or ends.
	function updateLimits(upstream: string, {metadata, sentAt}: {readonly metadata: AnswerMetadata; readonly sentAt: number}): boolean {
		if (typeof metadata.limit === 'number') {
			return limits.recordNamed(upstream, {requestsPerSecond: metadata.limit, now: clock.now()});
		}

		// Only an answer that certainly comes from the upstream shows that it names no limit.
		return metadata.limit === undefined && metadata.hasUpstreamSignature && limits.recordUnnamed(upstream, sentAt);
	}

	return {
		/** Records the answer of an upstream to a request that was written at `sentAt`, in milliseconds of the clock. */
		recordAnswer(upstream: string, answer: {readonly metadata: AnswerMetadata; readonly sentAt: number}): void {
			if (answer.metadata.limit === 'malformed') {
				recordUnreadable(upstream);
			} else if (updateLimits(upstream, answer)) {
				reportChange(upstream, 'answer');
				onChange();
			}
		},

		/** Records what another gateway has seen. */
		recordAnnouncement(announcement: LimitAnnouncement, peer: string): void {
			if (limits.merge(announcement, clock.now())) {
				reportChange(announcement.upstream, peer);
			}
		},
	};
}
