/**
 * Estimates how long the next claim takes from recent ones.
 *
 * @module
 */
import type {Clock} from '../../transport/mod.js';

/** Estimate of the duration of claims. */
export type ClaimDuration = ReturnType<typeof createClaimDuration>;

/** A claim of the last seconds shows how slow the next one may be; a claim often takes several times as long as the one before. */
const windowMs = 6000;

/**
 * Creates the estimate of one gateway.
 *
 * A slow claim counts for a time, and not for a number of claims: large grants are
 * claimed rarely, so that an estimate which several further claims would correct
 * kept them large.
 *
 * @example
 * ```ts
 * const duration = createClaimDuration(clock);
 * duration.record(800);
 * duration.getMs(); // 800
 * ```
 *
 * @param clock Clock
 * @returns The estimate
 */
export function createClaimDuration(clock: Clock) {
	/** Claims that no later one exceeded, the slowest first; the last claim is always among them. */
	let recent: ReadonlyArray<{readonly at: number; readonly durationMs: number}> = [];

	return {
		record(durationMs: number): void {
			recent = [...recent.filter(claim => claim.durationMs > durationMs), {at: clock.now(), durationMs}];
		},

		/** Returns the expected duration in milliseconds: that of the slowest claim of the last seconds, or else of the last one; 0 before the first. */
		getMs(): number {
			recent = recent.filter((claim, index) => index === recent.length - 1 || clock.now() - claim.at < windowMs);
			return recent[0]?.durationMs ?? 0;
		},
	};
}
