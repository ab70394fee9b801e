/**
 * Decides which connection of a server is closed to make room for another.
 *
 * @module
 */

/** What a connection is doing; times are in milliseconds of the steady clock. */
export type ConnectionActivity = {
	/** Since when no request is unanswered; undefined if one is. */
	readonly idleSince: number | undefined;
	/** When the headers of the newest request were received. */
	readonly receivedAt: number;
	/** Whether the newest request has been received completely. */
	readonly isComplete: boolean;
	/** Whether the answer to it has been written to its end. */
	readonly isAnswered: boolean;
	/** Since when bytes of answers wait for the caller to read; undefined if none wait. */
	readonly unreadSince: number | undefined;
};

/** Time that a caller has for the rest of a body and for reading an answer before its connection may be closed. */
const minWaitMs = 1000;

/** @internal Returns since when an unanswered request waits for its caller. */
function findStalledSince({isComplete, isAnswered, receivedAt, unreadSince}: ConnectionActivity): number | undefined {
	if (!isComplete) {
		return receivedAt;
	}

	return isAnswered ? unreadSince : undefined;
}

/**
 * Returns since when a connection waits for its caller: for a request, for the
 * rest of a body, or for the reading of an answer that is written to its end.
 * A request that is being served does not wait for its caller.
 *
 * @example
 * ```ts
 * findWaitingSince({idleSince: undefined, receivedAt: 100, isComplete: false, isAnswered: false, unreadSince: undefined}, 2000); // 100
 * ```
 *
 * @param activity What the connection is doing
 * @param now The time now, in milliseconds of the steady clock
 * @returns The time; undefined if the connection must not be closed
 */
export function findWaitingSince(activity: ConnectionActivity, now: number): number | undefined {
	const {idleSince} = activity;
	if (idleSince !== undefined) {
		return idleSince;
	}

	const stalledSince = findStalledSince(activity);
	return stalledSince !== undefined && now - stalledSince >= minWaitMs ? stalledSince : undefined;
}
