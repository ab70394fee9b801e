/**
 * Decides which waiting requests get tokens.
 *
 * @module
 */

/** A request that waits for tokens. */
export type WaitingAmount = {readonly amount: number};

/** Tokens that waiting requests may get. */
export type ObtainableTokens = {
	/** Tokens that can be reserved now. */
	readonly free: number;
	/** Tokens that are known to be on their way. */
	readonly inFlight: number;
};

/**
 * Selects the requests that get tokens now, in the order of the queue. A request
 * that does not fit is overtaken only if what is on its way does not cover it
 * either; else smaller requests would delay it again and again.
 *
 * @example
 * ```ts
 * selectServed([{amount: 900}, {amount: 100}], {free: 500, inFlight: 0}); // the second
 * selectServed([{amount: 900}, {amount: 100}], {free: 500, inFlight: 400}); // none
 * ```
 *
 * @param waiters The requests, most urgent first
 * @param tokens The tokens that are free or on their way
 * @returns The requests to serve
 */
export function selectServed<Waiter extends WaitingAmount>(waiters: readonly Waiter[], {free, inFlight}: ObtainableTokens): readonly Waiter[] {
	const served: Waiter[] = [];
	let rest = free;
	for (const waiter of waiters) {
		if (waiter.amount <= rest) {
			served.push(waiter);
			rest -= waiter.amount;
		} else if (waiter.amount <= rest + inFlight) {
			break;
		}
	}

	return served;
}

/**
 * Returns the index at which a request enters a queue that is ordered by urgency
 * and then by arrival.
 *
 * @example
 * ```ts
 * findQueueIndex([{urgency: 0}, {urgency: 2}], 1); // 1
 * ```
 *
 * @param waiters The queue
 * @param urgency Urgency of the request; less is more urgent
 * @returns The index
 */
export function findQueueIndex(waiters: ReadonlyArray<{readonly urgency: number}>, urgency: number): number {
	const index = waiters.findIndex(waiter => waiter.urgency > urgency);
	return index === -1 ? waiters.length : index;
}
