/**
 * Determines the owner of a customer's budget: the gateway that claims it on
 * behalf of the others.
 *
 * All gateways append their claims to one log, each on the condition that no
 * other writer has appended since its last read. In a small fleet each gateway
 * claims what its own callers need. In a larger fleet each gateway serves few
 * callers of a customer, so there would be as many claims as requests and most
 * would collide. There one gateway claims for all, and the others borrow
 * from it.
 *
 * Ownership only reduces the number of claims. Any gateway may claim, and two
 * that both consider themselves the owner claim less efficiently but never too
 * much.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';
import {rankByRendezvous} from '../peers/rendezvous.js';

/** Options of {@linkcode createBudgetOwners}. */
export type CreateBudgetOwnersOptions = {
	readonly clock: Clock;
	/** This gateway's name. */
	readonly daemon: string;
	/** Returns the other gateways that are presumed to be up. */
	readonly listPeers: () => readonly string[];
};

/** Determines which gateway claims a customer's budget. */
export type BudgetOwners = ReturnType<typeof createBudgetOwners>;

/** Largest number of gateways with which each claims for itself. */
const maxSmallFleetSize = 4;
const listLifetimeMs = 250;
/** A gateway hears of the others within this time of its start. */
const settleMs = 1000;

/**
 * Creates the assignment of budgets to gateways.
 *
 * @example
 * ```ts
 * const owners = createBudgetOwners({clock, daemon: 'entry-1', listPeers});
 * owners.isOwner('city-1');
 * ```
 *
 * @param options This gateway and its peers
 * @returns The assignment
 */
export function createBudgetOwners(options: CreateBudgetOwnersOptions) {
	const {clock, daemon} = options;
	const rankedByCustomer = new Map<string, readonly string[]>();
	let gateways: readonly string[] = [daemon];
	let listedAt = Number.NEGATIVE_INFINITY;
	let changedAt = clock.now();

	function refresh(): void {
		listedAt = clock.now();
		const listed = [...options.listPeers(), daemon].sort();
		if (listed.join(' ') !== gateways.join(' ')) {
			gateways = listed;
			changedAt = clock.now();
			rankedByCustomer.clear();
		}
	}

	function refreshOutdated(): void {
		if (clock.now() - listedAt >= listLifetimeMs) {
			refresh();
		}
	}

	function isSmallFleet(): boolean {
		refreshOutdated();
		return gateways.length <= maxSmallFleetSize;
	}

	function rankGateways(customer: string): readonly string[] {
		const ranked = rankedByCustomer.get(customer) ?? rankByRendezvous(customer, gateways);
		rankedByCustomer.set(customer, ranked);
		return ranked;
	}

	return {
		/** Lists the gateways again, to be called when the log that they are recorded in has been read. */
		refresh,
		/** Returns true if each gateway claims for itself. */
		isSmallFleet,
		/** Returns true if this gateway claims the customer's budget. */
		isOwner: (customer: string): boolean => isSmallFleet() || rankGateways(customer)[0] === daemon,
		/** Returns the gateways in the order in which they take over the customer's budget; none in a small fleet. */
		listOwners: (customer: string): readonly string[] => isSmallFleet() ? [] : rankGateways(customer),
		/** Returns the number of gateways that are presumed to be up, including this one. */
		countGateways(): number {
			refreshOutdated();
			return gateways.length;
		},
		/** Returns true if the gateways that are presumed to be up have been the same for a time. */
		isSettled(): boolean {
			refreshOutdated();
			return clock.now() - changedAt >= settleMs;
		},
		/** Returns the number of gateways that claim the customer's budget. */
		countClaimers: (): number => isSmallFleet() ? gateways.length : 1,
	};
}
