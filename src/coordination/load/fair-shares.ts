/**
 * Decides whose request is within its share of what an overloaded gateway
 * admits.
 *
 * Load: one customer sends a third of all requests, up to three fifths of all
 * callers reach a few gateways, and the routes are of several urgencies. More
 * urgent requests are admitted first, but every urgency keeps a part. Within an
 * urgency, customers have equal shares of what is admitted (max-min fairness),
 * because each bought an answer in time and not a share of a gateway.
 *
 * Requests are counted and not weighed by size, so a large request is refused
 * no more often than a small one of the same customer.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import {createDecayClock} from './decayed-count.js';

/** Options of {@linkcode createFairShares}. */
export type CreateFairSharesOptions = {
	readonly clock: Pick<Clock, 'now'>;
};

/** A request that takes part in the shares. */
export type ShareRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Undefined for requests without a customer, which share one part. */
	readonly customer: string | undefined;
	readonly isRetry: boolean;
};

/** What a customer has had, compared with its share. */
export type ShareStanding = {
	readonly isWithinShare: boolean;
	/** How far it is above its share: 0 for at most its share, 1 for twice its share. */
	readonly excessShare: number;
};

/** Shares of what is admitted, by urgency and customer. */
export type FairShares = ReturnType<typeof createFairShares>;

/** Requests of one customer and urgency in the last seconds. */
type Usage = {
	demand: number;
	retryDemand: number;
	admitted: number;
	retryAdmitted: number;
	/** Time of the last request, in milliseconds of the monotonic clock. */
	lastAt: number;
};

/** All requests of one urgency in the last seconds, also those of customers that are no longer tracked. */
type Urgency = {
	demand: number;
	admitted: number;
	readonly customers: Map<string, Usage>;
};

/** Shares are compared over about this time: a caller waits 1.5 to 15 s, so a customer gets its share while its callers wait. */
const windowMs = 4000;
/** Each urgency keeps this part of the mean rate of admission. Callers notice a kind that is served less than a quarter as often as all; half leaves room for chance. */
export const minUrgencyShare = 0.5;
/** Shares are computed for this mean use of the limit; the rest is room for chance, without which customers within their share are refused. */
const targetUsedShare = 0.95;
/** Largest correction of what was admitted; a limit changes by a factor of 0.85 at a time, twice a second. */
const maxScale = 2;
/** Number of urgencies that are distinguished. Deployments use three; less urgent ones count as the last. */
const maxUrgencies = 8;
/** Number of customers of one urgency that are distinguished; a deployment has 24. The one with the least demand is dropped first. */
const maxCustomers = 64;
/** If the tracked customers have less than this share of their urgency's demand, the customers are too many to compare, and the urgency is limited as a whole. */
const minTrackedShare = 0.5;
/** No share is kept for a customer that has sent nothing for this long. Under tenfold overload the demand of a customer that was removed would otherwise keep its share for 17 s. */
const maxIdleMs = 2000;
/** A customer is dropped when its demand has decayed to this number of requests. */
const minDemand = 0.01;
/** Counts are scaled down and small ones dropped when the weight of a request has reached this, after 28 s. */
const maxWeight = 1000;

/**
 * Divides capacity among demands so that no demand is cut in favour of a larger one.
 *
 * @example
 * ```ts
 * computeFairLevel([1, 10, 10], 11); // 5
 * ```
 *
 * @param demands The demands
 * @param capacity What is divided
 * @returns The largest part that anyone gets; infinite if all demands are met
 */
export function computeFairLevel(demands: readonly number[], capacity: number): number {
	let level = 0;
	for (;;) {
		let rest = capacity;
		let unmet = 0;
		for (const demand of demands) {
			if (demand <= level) {
				rest -= demand;
			} else {
				unmet += 1;
			}
		}

		if (unmet === 0) {
			return Number.POSITIVE_INFINITY;
		}

		const next = rest / unmet;
		if (next <= level) {
			return level;
		}

		level = next;
	}
}

/**
 * Divides capacity among urgencies, the most urgent first, after each has its minimum.
 *
 * @example
 * ```ts
 * allocateToUrgencies([10, 10], 10); // [7.5, 2.5]
 * ```
 *
 * @param demands The demands, the most urgent first
 * @param capacity What is divided
 * @returns The part of each urgency
 */
export function allocateToUrgencies(demands: readonly number[], capacity: number): number[] {
	const total = demands.reduce((sum, demand) => sum + demand, 0);
	if (total <= capacity) {
		return [...demands];
	}

	const minShare = minUrgencyShare * capacity / total;
	let rest = capacity * (1 - minUrgencyShare);
	return demands.map(demand => {
		const extra = Math.min(rest, demand * (1 - minShare));
		rest -= extra;
		return (demand * minShare) + extra;
	});
}

/** @internal Returns the customer with the least demand. */
function findLeastDemand(customers: ReadonlyMap<string, Usage>): string | undefined {
	let least: string | undefined;
	let leastDemand = Number.POSITIVE_INFINITY;
	for (const [customer, {demand}] of customers) {
		if (demand < leastDemand) {
			least = customer;
			leastDemand = demand;
		}
	}

	return least;
}

/**
 * Creates shares without any request.
 *
 * The counts and the shares decay alike, so a clock that stands still or jumps
 * changes no comparison between customers.
 *
 * @example
 * ```ts
 * const request = {priority: 1, customer: 'c', isRetry: false};
 * shares.recordDemand(request, 0.9);
 * if (shares.computeStanding(request).isWithinShare) {
 * 	shares.recordAdmitted(request);
 * }
 * ```
 *
 * @param options The clock
 * @returns The shares
 */
export function createFairShares({clock}: CreateFairSharesOptions) {
	const decay = createDecayClock(windowMs);
	const use = {sum: 0, samples: 0};
	const urgencies: Urgency[] = Array.from({length: maxUrgencies}, () => ({demand: 0, admitted: 0, customers: new Map<string, Usage>()}));
	// The weight of a request grows with time instead of letting all counts shrink at each request.
	let weight = 1;

	function decayCounts(): void {
		weight /= decay.advance(clock.now());
		if (weight < maxWeight) {
			return;
		}

		use.sum /= weight;
		use.samples /= weight;
		for (const urgency of urgencies) {
			urgency.demand /= weight;
			urgency.admitted /= weight;
			for (const [customer, usage] of urgency.customers) {
				usage.demand /= weight;
				usage.retryDemand /= weight;
				usage.admitted /= weight;
				usage.retryAdmitted /= weight;
				if (usage.demand < minDemand) {
					urgency.customers.delete(customer);
				}
			}
		}

		weight = 1;
	}

	function findUrgencyIndex(priority: number): number {
		return Math.min(Math.max(0, Math.trunc(priority)), maxUrgencies - 1);
	}

	function ensureUsage({priority, customer = ''}: ShareRequest): Usage {
		const {customers} = urgencies[findUrgencyIndex(priority)]!;
		const known = customers.get(customer);
		if (known) {
			return known;
		}

		if (customers.size >= maxCustomers) {
			customers.delete(findLeastDemand(customers)!);
		}

		const usage: Usage = {
			demand: 0, retryDemand: 0, admitted: 0, retryAdmitted: 0, lastAt: clock.now(),
		};
		customers.set(customer, usage);
		return usage;
	}

	// A clock that jumped back makes all customers idle until they ask again.
	function isActive({lastAt}: Usage, now: number): boolean {
		return now >= lastAt && now - lastAt <= maxIdleMs;
	}

	function computeActiveDemand({demand, customers}: Urgency, now: number): number {
		let tracked = 0;
		let active = 0;
		for (const usage of customers.values()) {
			tracked += usage.demand;
			active += isActive(usage, now) ? usage.demand : 0;
		}

		return tracked > 0 ? demand * active / tracked : 0;
	}

	// What was admitted lately, scaled to a limit that is nearly used, is what the gateway can admit. Without the scale a
	// gateway that refuses too much would lower all shares, and so refuse more. At least one request fits in the window.
	function computeUrgencyPart(priority: number): number {
		const now = clock.now();
		const usedShare = use.samples > 0 ? use.sum / use.samples : targetUsedShare;
		const scale = Math.min(maxScale, Math.max(1 / maxScale, targetUsedShare / usedShare));
		const capacity = scale * urgencies.reduce((sum, {admitted}) => sum + admitted, 0);
		return allocateToUrgencies(urgencies.map(urgency => computeActiveDemand(urgency, now)), Math.max(weight, capacity))[findUrgencyIndex(priority)]!;
	}

	return {
		/** Records that a request asks for admission, and which share of the limit is used; 0 while there is no limit. */
		recordDemand(request: ShareRequest, usedShare: number): void {
			decayCounts();
			use.sum += usedShare * weight;
			use.samples += usedShare > 0 ? weight : 0;
			urgencies[findUrgencyIndex(request.priority)]!.demand += weight;
			const usage = ensureUsage(request);
			usage.lastAt = clock.now();
			usage.demand += weight;
			usage.retryDemand += request.isRetry ? weight : 0;
		},

		/** Records that a request was admitted. */
		recordAdmitted(request: ShareRequest): void {
			urgencies[findUrgencyIndex(request.priority)]!.admitted += weight;
			const usage = ensureUsage(request);
			usage.admitted += weight;
			usage.retryAdmitted += request.isRetry ? weight : 0;
		},

		/** Returns whether the customer has had less than its share, and how far it is above it. A first attempt leaves the part that retries of its customer ask for. */
		computeStanding(request: ShareRequest): ShareStanding {
			const {retryDemand, admitted, retryAdmitted} = ensureUsage(request);
			const urgency = urgencies[findUrgencyIndex(request.priority)]!;
			const usages = [...urgency.customers.values()];
			const trackedShare = usages.reduce((sum, {demand}) => sum + demand, 0) / Math.max(minDemand * weight, urgency.demand);
			const part = computeUrgencyPart(request.priority);
			if (trackedShare < minTrackedShare) {
				return {isWithinShare: part >= urgency.demand || urgency.admitted < part, excessShare: Math.max(0, (urgency.admitted / part) - 1)};
			}

			const now = clock.now();
			const demands = usages.filter(usage => isActive(usage, now)).map(({demand}) => demand);
			const level = computeFairLevel(demands, part * Math.min(1, trackedShare));
			const isReservedForRetries = !request.isRetry && Number.isFinite(level) && admitted - retryAdmitted >= level - Math.min(retryDemand, level);
			return {isWithinShare: admitted < level && !isReservedForRetries, excessShare: Math.max(0, (admitted / level) - 1)};
		},

		/** Returns the number of tracked pairs of urgency and customer. */
		countTracked: () => urgencies.reduce((sum, {customers}) => sum + customers.size, 0),
	};
}
