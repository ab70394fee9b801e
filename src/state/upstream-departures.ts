/**
 * The upstreams that said in an answer that they leave.
 *
 * An upstream may say so while the log that holds the registrations is
 * unavailable, so its registration may state that it is ready until the end.
 *
 * @module
 */
import type {UpstreamRegistration} from '../protocol/mod.js';

/** One start of an upstream. */
export type UpstreamStart = Pick<UpstreamRegistration, 'id' | 'startedAt'>;

/** The upstreams that said that they leave. */
export type UpstreamDepartures = ReturnType<typeof createUpstreamDepartures>;

/** Maximum number of upstreams that are remembered; those recorded first have ended. */
const maxDepartures = 1000;

/**
 * Returns whether a registration is of a later start of an upstream than the one
 * that is known. It is not if either of them does not state when it started.
 *
 * @example
 * ```ts
 * isLaterStart({startedAt: 2000}, {startedAt: 1000}); // true
 * ```
 *
 * @param start The registered start
 * @param known The known start
 * @returns True if the upstream has started again
 */
export function isLaterStart(start: Pick<UpstreamStart, 'startedAt'>, known: Pick<UpstreamStart, 'startedAt'>): boolean {
	return start.startedAt !== undefined && known.startedAt !== undefined && start.startedAt > known.startedAt;
}

/**
 * Creates an empty record.
 *
 * @example
 * ```ts
 * const departures = createUpstreamDepartures();
 * departures.record({id: 'i-7', startedAt: 1000});
 * departures.isLeaving({id: 'i-7', startedAt: 1000}); // true
 * departures.isLeaving({id: 'i-7', startedAt: 2000}); // false
 * ```
 *
 * @returns The record
 */
export function createUpstreamDepartures() {
	const departed = new Map<string, UpstreamStart>();

	function isLeaving(start: UpstreamStart): boolean {
		const known = departed.get(start.id);
		return known !== undefined && !isLaterStart(start, known);
	}

	function evictOldest(): void {
		if (departed.size > maxDepartures) {
			departed.delete(departed.keys().next().value!);
		}
	}

	return {
		/** Records that an upstream leaves, which is final for its start. Returns true if that is new. */
		record(start: UpstreamStart): boolean {
			if (isLeaving(start)) {
				return false;
			}

			departed.set(start.id, start);
			evictOldest();
			return true;
		},

		/** Returns true if this start of the upstream, or a later one that was not registered as such, leaves. */
		isLeaving,

		/** Returns the number of upstreams that are remembered. */
		count: (): number => departed.size,
	};
}
