/**
 * Learns per route how long callers wait at most and how fast requests end.
 *
 * Load: callers try twice. A second attempt has less time left than a first one,
 * and may have too little for any answer.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createRouteTimes}. */
export type CreateRouteTimesOptions = {
	readonly clock: Pick<Clock, 'now'>;
};

/** What is known of the times of routes. */
export type RouteTimes = ReturnType<typeof createRouteTimes>;

type RouteRecord = {
	longestMs: number;
	longestSeenAt: number;
	readonly ends: Array<{readonly durationMs: number; readonly at: number}>;
};

/** A retry comes at the earliest 50 ms after the first attempt, the shortest retry-after time. */
const minRetryGapMs = 40;
/** Callers differ by the time that a connection takes to open, which is a few percent of a timeout of 1.5 s. */
const minRetryGapShare = 0.03;
/** The longest time of a route is forgotten if no caller has had it for this long, so that a changed timeout does not turn all requests into retries. */
const longestMaxAgeMs = 10_000;
/** A route with fewer recent ends says nothing about its fastest request. */
const minEnds = 16;
/** Older ends say nothing about the present; also bounds how long a route without admissions is refused. */
const endMaxAgeMs = 5000;
/** Number of routes that are distinguished; deployments have fewer than 20. */
const maxRoutes = 64;

/**
 * Creates times of no routes.
 *
 * @example
 * ```ts
 * const isRetry = times.recordArrival('chat', 2300);
 * times.recordEnd('chat', 800);
 * times.isTooLate('chat', 100);
 * ```
 *
 * @param options The clock
 * @returns The times
 */
export function createRouteTimes({clock}: CreateRouteTimesOptions) {
	const routes = new Map<string, RouteRecord>();

	function ensureRoute(route: string): RouteRecord {
		const known = routes.get(route);
		if (known) {
			return known;
		}

		if (routes.size >= maxRoutes) {
			routes.delete(routes.keys().next().value!);
		}

		const record: RouteRecord = {longestMs: 0, longestSeenAt: clock.now(), ends: []};
		routes.set(route, record);
		return record;
	}

	return {
		/** Records the time for which a caller waits, in milliseconds, and returns true if the request is a retry. */
		recordArrival(route: string, timeoutMs: number): boolean {
			const record = ensureRoute(route);
			const now = clock.now();
			const ageMs = now - record.longestSeenAt;
			const gapMs = Math.max(minRetryGapMs, record.longestMs * minRetryGapShare);
			const isRetry = ageMs >= 0 && ageMs <= longestMaxAgeMs && timeoutMs < record.longestMs - gapMs;
			if (!isRetry) {
				record.longestMs = ageMs >= 0 && ageMs <= longestMaxAgeMs ? Math.max(record.longestMs, timeoutMs) : timeoutMs;
				record.longestSeenAt = now;
			}

			return isRetry;
		},

		/** Records how long an admitted request ran, in milliseconds. */
		recordEnd(route: string, durationMs: number): void {
			const {ends} = ensureRoute(route);
			ends.push({durationMs, at: clock.now()});
			if (ends.length > minEnds) {
				ends.shift();
			}
		},

		/** Returns true if even the fastest recent request of the route took longer than the remaining time. */
		isTooLate(route: string, remainingMs: number): boolean {
			const now = clock.now();
			const ends = routes.get(route)?.ends ?? [];
			return ends.length >= minEnds && ends.every(({durationMs, at}) => now >= at && now - at <= endMaxAgeMs && durationMs > remainingMs);
		},

		/** Returns the number of tracked routes. */
		countTracked: () => routes.size,
	};
}
