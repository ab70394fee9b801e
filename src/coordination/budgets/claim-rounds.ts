/**
 * Claims that requests of this gateway, or of others on whose behalf it claims,
 * wait for.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';

/** Options of {@linkcode createClaimRounds}. */
export type CreateClaimRoundsOptions = {
	/** Runs a round of claims, or joins the one that is running. */
	readonly renew: () => Promise<void>;
	/** Number of pending claims by customer, including customers whose budget another gateway owns. */
	readonly waitingClaims: Map<string, number>;
	readonly clock: Clock;
};

/** Runs claims until they suffice. */
export type ClaimRounds = ReturnType<typeof createClaimRounds>;

/** A round that was already running when the request arrived may not have counted it. */
const maxRounds = 2;

/**
 * Creates the claims of one gateway.
 *
 * @example
 * ```ts
 * await claims.claimUntil('city-1', {timeoutMs: 300, isDone: () => account.countFreeTokens('city-1') >= 1540});
 * ```
 *
 * @param options How a round is run
 * @returns The claims
 */
export function createClaimRounds({renew, waitingClaims, clock}: CreateClaimRoundsOptions) {
	return {
		/** Claims until the condition holds, the timeout has expired or claims do not help. */
		async claimUntil(customer: string, {timeoutMs, isDone}: {readonly timeoutMs: number; readonly isDone: () => boolean}): Promise<void> {
			const deadline = clock.now() + timeoutMs;
			waitingClaims.set(customer, (waitingClaims.get(customer) ?? 0) + 1);
			for (let round = 0; round < maxRounds && clock.now() < deadline; round += 1) {
				await Promise.race([renew(), clock.sleep(deadline - clock.now())]);
				if (isDone()) {
					break;
				}
			}

			const remainingClaims = waitingClaims.get(customer)! - 1;
			if (remainingClaims === 0) {
				waitingClaims.delete(customer);
			} else {
				waitingClaims.set(customer, remainingClaims);
			}
		},
	};
}
