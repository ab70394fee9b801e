/**
 * Arithmetic on shares of grants.
 *
 * @module
 */
import type {GrantShare} from '../protocol/mod.js';

/**
 * Allocates a cost to shares, in their order. Upstream daemons and entry
 * daemons use the same order, so both compute the same bill.
 *
 * @example
 * ```ts
 * allocateShares([{grant: 'g', amount: 10}, {grant: 'h', amount: 10}], 15); // 10 of g, 5 of h
 * ```
 *
 * @param shares The reserved shares
 * @param cost Tokens to bill; at most the sum of the shares is billed
 * @returns The billed part of each share, without empty parts
 */
export function allocateShares(shares: readonly GrantShare[], cost: number): GrantShare[] {
	const billed: GrantShare[] = [];
	let remainingCost = cost;
	for (const share of shares) {
		const amount = Math.min(share.amount, remainingCost);
		remainingCost -= amount;
		if (amount > 0) {
			billed.push({grant: share.grant, amount});
		}
	}

	return billed;
}

/**
 * Sums the tokens of shares.
 *
 * @example
 * ```ts
 * sumShares([{grant: 'g', amount: 2}, {grant: 'h', amount: 3}]); // 5
 * ```
 *
 * @param shares Shares of grants
 * @returns The sum of their tokens
 */
export function sumShares(shares: ReadonlyArray<{readonly amount: number}>): number {
	return shares.reduce((total, share) => total + share.amount, 0);
}
