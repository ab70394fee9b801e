/**
 * What a gateway learns of an engine's speed: the time that work takes there,
 * from its own requests, and how much longer it takes at this moment, from the
 * load that engines report.
 *
 * Answers engines of unequal speed on hosts that they share with others: the
 * speed of the engine lasts, the slowness of its host changes within a second.
 *
 * @module
 */

/** Weight of the newest sample in exponential moving averages. */
export const smoothingFactor = 0.15;
/** Time for which a reported slowness counts in full. Half of all first events are due within it, so that it covers the work that is placed now. */
const slownessHoldMs = 1000;
/** Time in which the effect of an older report falls to nothing: an engine that is avoided sends no answers, and must be tried again. */
const slownessDecayMs = 1000;
/** Time constant for averaging reports. The value changes many times a second; a placed stream is delayed by its mean over the time until its first event. */
const slownessAverageMs = 1000;
/** Limits of the learnt slowness relative to the other engines. */
const learntRange = {min: 0.6, max: 8} as const;
/**
 * Limits of the slowness at a moment. Work that takes a thousand times as long answers no caller in time, and a value near
 * zero would make one engine look free to all gateways.
 */
const momentaryRange = {min: 0.25, max: 1000} as const;
/** Limits of the slowness by which a duration is corrected, so that one extreme report does not spoil the learnt speed. */
const correctionRange = {min: 0.25, max: 8} as const;

/**
 * Updates an exponential moving average; 0 stands for no sample yet.
 *
 * @example
 * ```ts
 * updateAverage(0, 8); // 8
 * ```
 *
 * @param current The average so far
 * @param sample The newest sample
 * @returns The new average
 */
export function updateAverage(current: number, sample: number): number {
	return current === 0 ? sample : (current * (1 - smoothingFactor)) + (sample * smoothingFactor);
}

/** @internal */
function clamp(value: number, {min, max}: {readonly min: number; readonly max: number}): number {
	return Math.min(max, Math.max(min, value));
}

/**
 * Estimates the slowness of an engine relative to the others of its service.
 *
 * @example
 * ```ts
 * estimateRelativeSlowness(0.03, 0.02); // 1.5
 * ```
 *
 * @param msPerWork The learnt time per unit of work; 0 if unknown
 * @param medianMsPerWork The median of all engines; 0 if unknown
 * @returns 1 for a typical or unknown engine
 */
export function estimateRelativeSlowness(msPerWork: number, medianMsPerWork: number): number {
	return msPerWork > 0 && medianMsPerWork > 0 ? clamp(msPerWork / medianMsPerWork, learntRange) : 1;
}

/** What is learnt of the speed of one start of an engine. */
export type EngineSpeed = ReturnType<typeof createEngineSpeed>;

/**
 * Creates the state of an engine of which nothing is known.
 *
 * @example
 * ```ts
 * const speed = createEngineSpeed();
 * speed.recordSlowness(2, clock.now());
 * speed.estimateMomentary(clock.now(), undefined); // 2
 * ```
 *
 * @returns The state
 */
export function createEngineSpeed() {
	let msPerWork = 0;
	let slowness: number | undefined;
	let reportedAt = Number.NEGATIVE_INFINITY;

	function computeFreshness(now: number): number {
		return slowness === undefined ? 0 : clamp(1 - ((now - reportedAt - slownessHoldMs) / slownessDecayMs), {min: 0, max: 1});
	}

	// Own reports and those of peers describe the same host a fraction of a second apart; their mean is nearer to the present.
	function estimateMomentary(now: number, peerSlowness: number | undefined): number | undefined {
		const freshness = computeFreshness(now);
		const stated = peerSlowness === undefined ? undefined : clamp(peerSlowness, momentaryRange);
		if (freshness === 0) {
			return stated;
		}

		return stated === undefined
			? 1 + ((slowness! - 1) * freshness)
			: ((slowness! * freshness) + stated) / (1 + freshness);
	}

	return {
		/** Records a slowness that the engine reported, as a multiple of the usual. */
		recordSlowness(reported: number, now: number): void {
			const value = clamp(reported, momentaryRange);
			const weight = slowness === undefined ? 1 : 1 - Math.exp((reportedAt - now) / slownessAverageMs);
			// Reports that arrive at one moment share a weight of 0; each then counts a little, so that none is ignored.
			slowness = ((slowness ?? value) * (1 - Math.max(smoothingFactor, weight))) + (value * Math.max(smoothingFactor, weight));
			reportedAt = now;
		},

		/** Records the duration of work, in any unit that is the same for all engines of a service. What the host's slowness at that time explains is not learnt as the engine's own speed. */
		recordWork({durationMs, work, momentarySlowness}: {readonly durationMs: number; readonly work: number; readonly momentarySlowness: number | undefined}): void {
			msPerWork = updateAverage(msPerWork, durationMs / work / clamp(momentarySlowness ?? 1, correctionRange));
		},

		getMsPerWork: (): number => msPerWork,

		/** Estimates the slowness of the engine's host at this moment; undefined if it was not stated recently. */
		estimateMomentary,

		/** Returns the slowness that this gateway states to others: what the engine reported recently, and nothing that others have stated. */
		getReported: (now: number): number | undefined => slowness !== undefined && now - reportedAt < slownessHoldMs ? slowness : undefined,
	};
}
