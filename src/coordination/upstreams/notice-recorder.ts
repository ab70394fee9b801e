/**
 * Records what upstreams say of themselves in their answers, and logs it.
 *
 * @module
 */
import type {AnswerMetadata, EventLog} from '../../protocol/mod.js';
import type {UpstreamDepartures, UpstreamRests, UpstreamStart} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createNoticeRecorder}. */
export type CreateNoticeRecorderOptions = {
	readonly departures: Pick<UpstreamDepartures, 'record'>;
	readonly rests: Pick<UpstreamRests, 'record'>;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** What an answer says of its upstream. */
export type UpstreamNotice = Pick<AnswerMetadata, 'isLeaving' | 'restMs'>;

/** Records what upstreams say of themselves. */
export type NoticeRecorder = ReturnType<typeof createNoticeRecorder>;

/** Maximum number of upstreams whose unreadable notices are logged. */
const maxUnreadableUpstreams = 100;

/**
 * Creates a recorder.
 *
 * @example
 * ```ts
 * recorder.recordAnswer({id: 'i-7', startedAt: 1000}, metadata);
 * ```
 *
 * @param options The upstreams that leave and those that rest
 * @returns The recorder
 */
export function createNoticeRecorder({
	departures, rests, clock, events,
}: CreateNoticeRecorderOptions) {
	const unreadable = new Set<string>();

	function recordUnreadable(upstream: string, field: string): void {
		const key = `${upstream} ${field}`;
		if (!unreadable.has(key) && unreadable.size < maxUnreadableUpstreams) {
			unreadable.add(key);
			events.write('upstreamNoticeUnreadable', {upstream, field});
		}
	}

	function recordLeaving(start: UpstreamStart, isLeaving: UpstreamNotice['isLeaving']): void {
		if (isLeaving === 'malformed') {
			recordUnreadable(start.id, 'isLeaving');
		} else if (isLeaving && departures.record(start)) {
			events.write('upstreamLeaving', {upstream: start.id, startedAt: start.startedAt});
		}
	}

	function recordRest(start: UpstreamStart, restMs: UpstreamNotice['restMs']): void {
		if (restMs === 'malformed') {
			recordUnreadable(start.id, 'restMs');
		} else if (restMs !== undefined && rests.record(start, {durationMs: restMs, now: clock.now()})) {
			events.write('upstreamResting', {upstream: start.id, restMs: Math.round(restMs)});
		}
	}

	return {
		/** Records an answer of an upstream; `start` is the one to which the request was written. */
		recordAnswer(start: UpstreamStart, {isLeaving, restMs}: UpstreamNotice): void {
			recordLeaving(start, isLeaving);
			recordRest(start, restMs);
		},
	};
}
