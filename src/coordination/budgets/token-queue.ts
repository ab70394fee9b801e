/**
 * Requests of one gateway that wait for tokens, by customer, ordered by urgency
 * and then by arrival.
 *
 * @module
 */
import type {TokenReservation} from '../../state/mod.js';
import {findQueueIndex, selectServed, type ObtainableTokens} from './wait-order.js';

/** A request that waits for tokens. */
export type TokenWaiter = {
	readonly customer: string;
	readonly amount: number;
	/** Resolves when the request has got its tokens. */
	readonly served: Promise<TokenReservation>;
	/** Set once the request has got its tokens. */
	reservation: TokenReservation | undefined;
};

/** Options of {@linkcode createTokenQueue}. */
export type CreateTokenQueueOptions = {
	/** Reserves tokens, or returns undefined if too few are free. */
	readonly reserve: (customer: string, amount: number) => TokenReservation | undefined;
	/** Returns the tokens that waiting requests may get. */
	readonly countObtainable: (customer: string) => ObtainableTokens;
};

/** Options of {@linkcode TokenQueue.add}. */
export type AddWaiterOptions = {
	readonly amount: number;
	/** Less is more urgent. */
	readonly urgency: number;
	/** Called when the request gets its tokens or leaves the queue. */
	readonly onLeft: () => void;
};

/** Requests that wait for tokens. */
export type TokenQueue = ReturnType<typeof createTokenQueue>;

type QueuedWaiter = TokenWaiter & {readonly urgency: number; readonly leave: () => void; readonly resolve: (reservation: TokenReservation) => void};

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const waiter = queue.add('city-1', {amount: 1540, urgency: 0, onLeft});
 * queue.serve('city-1'); // when tokens have become free
 * const reservation = await waiter.served;
 * ```
 *
 * @param options How tokens are reserved
 * @returns The queue
 */
export function createTokenQueue({reserve, countObtainable}: CreateTokenQueueOptions) {
	const waitersByCustomer = new Map<string, QueuedWaiter[]>();

	function remove(waiter: QueuedWaiter): void {
		const waiters = waitersByCustomer.get(waiter.customer) ?? [];
		const index = waiters.indexOf(waiter);
		if (index === -1) {
			return;
		}

		waiters.splice(index, 1);
		if (waiters.length === 0) {
			waitersByCustomer.delete(waiter.customer);
		}

		waiter.leave();
	}

	return {
		/** Adds a request to the queue. */
		add(customer: string, {amount, urgency, onLeft}: AddWaiterOptions): TokenWaiter & {readonly remove: () => void} {
			let resolve!: (reservation: TokenReservation) => void;
			const served = new Promise<TokenReservation>(_resolve => {
				resolve = _resolve;
			});
			const waiter = {
				customer, amount, urgency, served, resolve, reservation: undefined, leave: onLeft, remove() {
					remove(waiter);
				},
			};
			const waiters: QueuedWaiter[] = waitersByCustomer.get(customer) ?? [];
			waiters.splice(findQueueIndex(waiters, urgency), 0, waiter);
			waitersByCustomer.set(customer, waiters);
			return waiter;
		},

		/** Returns true if no request waits for tokens of the customer. */
		isEmpty: (customer: string): boolean => !waitersByCustomer.has(customer),

		/** Gives free tokens to waiting requests. */
		serve(customer: string): void {
			const waiters = waitersByCustomer.get(customer);
			if (!waiters) {
				return;
			}

			for (const waiter of selectServed(waiters, countObtainable(customer))) {
				const reservation = reserve(customer, waiter.amount);
				if (reservation) {
					waiter.reservation = reservation;
					remove(waiter);
					waiter.resolve(reservation);
				}
			}
		},
	};
}
