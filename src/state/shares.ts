/**
 * Arithmetic on shares of grants.
 *
 * @module
 */
import type {GrantShare} from '../protocol/mod.js';

/**
 * Lays a cost on shares, in their order. Upstream daemons and entries use the
 * same order, so both come to the same bill.
 *
 * @example
 * ```ts
 * allocateShares([{grant: 'g', amount: 10}, {grant: 'h', amount: 10}], 15); // 10 of g, 5 of h
 * ```
 *
 * @param shares What was reserved
 * @param cost Tokens to bill; never more than the shares' sum is billed
 * @returns The billed part of each share, without empty ones
 */
export function allocateShares(shares: readonly GrantShare[], cost: number): GrantShare[] {
	const billed: GrantShare[] = [];
	let rest = cost;
	for (const share of shares) {
		const amount = Math.min(share.amount, rest);
		rest -= amount;
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
 * @param shares Tokens of grants
 * @returns Their sum
 */
export function sumShares(shares: ReadonlyArray<{readonly amount: number}>): number {
	return shares.reduce((total, share) => total + share.amount, 0);
}
