/**
 * Which gateway claims a customer's budget.
 *
 * Claims of all gateways go to one log, each under the condition that nobody
 * else has written. In a small fleet each gateway claims what its own callers
 * need. In a larger one few callers of a customer come to each gateway, so
 * claims would be as many as requests, and most would collide; there one
 * gateway claims for all, and the others borrow from it.
 *
 * A home only saves claims: any gateway may claim, and two that take
 * themselves for the home claim less well but never too much.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@linkcode createBudgetHomes}. */
export type CreateBudgetHomesOptions = {
	readonly clock: Clock;
	/** This gateway's name. */
	readonly daemon: string;
	/** The other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
};

/** Which gateway claims a customer's budget. */
export type BudgetHomes = ReturnType<typeof createBudgetHomes>;

/** Gateways of a fleet in which each claims for itself. */
const smallFleet = 4;
/** How long a list of gateways is used, in milliseconds. */
const listLife = 250;

/**
 * Creates the order of homes.
 *
 * @example
 * ```ts
 * const homes = createBudgetHomes({clock, daemon: 'entry-1', listPeers});
 * homes.isHome('city-1');
 * ```
 *
 * @param options Gateways
 * @returns The order
 */
export function createBudgetHomes(options: CreateBudgetHomesOptions) {
	const {clock, daemon} = options;
	const ranked = new Map<string, readonly string[]>();
	let gateways: readonly string[] = [daemon];
	let listedAt = Number.NEGATIVE_INFINITY;

	function renewList(): void {
		if (clock.now() - listedAt < listLife) {
			return;
		}

		listedAt = clock.now();
		const listed = [...options.listPeers(), daemon].sort();
		if (listed.join(' ') !== gateways.join(' ')) {
			gateways = listed;
			ranked.clear();
		}
	}

	function isSmall(): boolean {
		renewList();
		return gateways.length <= smallFleet;
	}

	function rank(customer: string): readonly string[] {
		const known = ranked.get(customer) ?? rankByRendezvous(customer, gateways);
		ranked.set(customer, known);
		return known;
	}

	return {
		/** True if each gateway claims for itself. */
		isSmall,
		/** True if this gateway claims the customer's budget. */
		isHome: (customer: string): boolean => isSmall() || rank(customer)[0] === daemon,
		/** Gateways in the order in which they are the customer's home; none in a small fleet. */
		listHomes: (customer: string): readonly string[] => isSmall() ? [] : rank(customer),
		/** Gateways that claim the customer's budget. */
		countClaimers: (): number => isSmall() ? gateways.length : 1,
	};
}
