/**
 * The upstreams that refused a request of this gateway and said after which time
 * they take requests again.
 *
 * An upstream asks each gateway by itself, so what one gateway has seen holds for
 * that gateway alone. After a rest, requests begin again one at a time: if the
 * upstream still refuses them, only a few callers notice.
 *
 * @module
 */
import {isLaterStart, type UpstreamStart} from './upstream-departures.js';

/** The upstreams that rest. */
export type UpstreamRests = ReturnType<typeof createUpstreamRests>;

type Rest = {readonly startedAt: number | undefined; readonly endsAt: number; lastSentAt: number};

/** Time after a rest in which requests are spaced. */
const warmUpMs = 1000;
/** Time between two requests in the warm-up. */
const warmUpIntervalMs = 100;

/**
 * Creates an empty record.
 *
 * @example
 * ```ts
 * const rests = createUpstreamRests();
 * rests.record({id: 'i-7', startedAt: 1000}, {durationMs: 3000, now: 0});
 * rests.computeWaitMs({id: 'i-7', startedAt: 1000}, 1000); // 2000
 * ```
 *
 * @returns The record
 */
export function createUpstreamRests() {
	const rests = new Map<string, Rest>();

	function findRest({id, startedAt}: UpstreamStart): Rest | undefined {
		const rest = rests.get(id);
		return rest && !isLaterStart({startedAt}, rest) ? rest : undefined;
	}

	function findWarmUp(start: UpstreamStart, now: number): Rest | undefined {
		const rest = findRest(start);
		return rest && now >= rest.endsAt && now < rest.endsAt + warmUpMs ? rest : undefined;
	}

	return {
		/** Records that an upstream takes no requests for `durationMs`. Returns true if it did not rest before. */
		record(start: UpstreamStart, {durationMs, now}: {readonly durationMs: number; readonly now: number}): boolean {
			const known = findRest(start);
			if (known && isLaterStart(known, start)) {
				return false;
			}

			// Answers overtake each other, and each of them holds.
			const endsAt = Math.max(now + durationMs, known?.endsAt ?? Number.NEGATIVE_INFINITY);
			rests.set(start.id, {startedAt: start.startedAt, endsAt, lastSentAt: Number.NEGATIVE_INFINITY});
			return known === undefined || known.endsAt <= now;
		},

		/** Returns the milliseconds until a request may be sent to an upstream; 0 if one may now. */
		computeWaitMs(start: UpstreamStart, now: number): number {
			const warmUp = findWarmUp(start, now);
			return warmUp
				? Math.max(0, warmUp.lastSentAt + warmUpIntervalMs - now)
				: Math.max(0, (findRest(start)?.endsAt ?? now) - now);
		},

		/** Records that a request is being sent to an upstream. */
		recordSend(start: UpstreamStart, now: number): void {
			const warmUp = findWarmUp(start, now);
			if (warmUp) {
				warmUp.lastSentAt = now;
			}
		},

		/** Returns the number of upstreams that rest. */
		count: (now: number): number => [...rests.values()].filter(({endsAt}) => endsAt > now).length,

		/** Forgets rests whose warm-up has ended. */
		prune(now: number): void {
			for (const [id, {endsAt}] of rests) {
				if (now >= endsAt + warmUpMs) {
					rests.delete(id);
				}
			}
		},
	};
}
