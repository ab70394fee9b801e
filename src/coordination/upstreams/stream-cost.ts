/**
 * What a stream costs at an engine, in milliseconds of delay: the time until
 * its first event, the delay of the streams that run beside it, and lateness.
 *
 * Answers prompts of very different length at engines of unequal speed: an
 * engine reads a prompt in chunks between the steps of its batch, so that a long
 * prompt delays every stream beside it.
 *
 * @module
 */

/** Time of one step of the batch without running requests, in milliseconds. */
const baseStepMs = 6.45;
/** Time that each running request adds to a step, in milliseconds. */
const runningStepMs = 0.1;
/** Prompt tokens that an engine reads in a millisecond. */
const promptTokensPerMs = 56;
/** Assumed prompt tokens that an engine reads between two steps; engines do not state it. */
const chunkTokens = 512;
/** Objective assumed for a stream whose route states none: the shortest at which callers count a first event as late. */
const defaultObjectiveMs = 600;
/** Share of the objective that may be spent according to a view which is half a second old; the remainder covers the queue that the view lacks. */
const safeObjectiveShare = 0.7;
/** Pause between events that is risked without cost: half of the 500 ms after which callers count a stream as late. */
const safePauseMs = 250;
/**
 * Largest cost of a risk of lateness. A late stream is worth a tenth however late
 * it is; without this limit, all gateways left the caches of a fleet that was
 * late everywhere, and it read shared parts twice as often.
 */
const maxLatenessMs = 200;
/** Running requests at an engine with typical load, for the time that it takes to read tokens there. */
const typicalRunningRequests = 20;
/** Cost of delaying one running stream by a millisecond. Most streams have slack of some hundred milliseconds, so few become late. */
const besideWeight = 0.01;

/** The work of an engine, including the stream that is placed. */
export type StreamWork = {
	/** Prompt tokens that the engine reads before those of the stream. */
	readonly queuedTokens: number;
	/** Prompt tokens of the stream that are not cached. */
	readonly uncachedTokens: number;
	readonly runningRequests: number;
	/** Time for the same work relative to a typical engine. */
	readonly slowness: number;
	/** Steps between two events of a stream. */
	readonly stepsPerEvent: number;
};

/** @internal */
function computeStepMs(runningRequests: number): number {
	return baseStepMs + (runningStepMs * runningRequests);
}

/**
 * Estimates the time until the first event of a stream.
 *
 * @example
 * ```ts
 * estimateFirstEventMs({queuedTokens: 0, uncachedTokens: 5600, runningRequests: 0, slowness: 1, stepsPerEvent: 4});
 * ```
 *
 * @param work The work of the engine
 * @returns The time in milliseconds
 */
export function estimateFirstEventMs({queuedTokens, uncachedTokens, runningRequests, slowness}: StreamWork): number {
	const tokens = queuedTokens + uncachedTokens;
	return slowness * ((tokens / promptTokensPerMs) + (computeStepMs(runningRequests) * (1 + (tokens / chunkTokens))));
}

/**
 * Estimates the longest regular pause between two events of the streams at an
 * engine while it reads prompts.
 *
 * @example
 * ```ts
 * estimatePauseMs({queuedTokens: 0, uncachedTokens: 5600, runningRequests: 20, slowness: 2, stepsPerEvent: 4});
 * ```
 *
 * @param work The work of the engine
 * @returns The time in milliseconds
 */
export function estimatePauseMs({queuedTokens, uncachedTokens, runningRequests, slowness, stepsPerEvent}: StreamWork): number {
	const readTokens = Math.min(stepsPerEvent * chunkTokens, queuedTokens + uncachedTokens);
	return slowness * ((stepsPerEvent * computeStepMs(runningRequests + 1)) + (readTokens / promptTokensPerMs));
}

/**
 * Estimates the time for which an engine of typical speed reads tokens.
 *
 * @example
 * ```ts
 * estimateReadingMs(5600); // 192, with the steps between the chunks
 * ```
 *
 * @param tokens Prompt tokens
 * @returns The time in milliseconds
 */
export function estimateReadingMs(tokens: number): number {
	return (tokens / promptTokensPerMs) + (tokens / chunkTokens * computeStepMs(typicalRunningRequests));
}

/**
 * Estimates the cost of a stream for its caller and for those beside it.
 *
 * @example
 * ```ts
 * estimateStreamCostMs({queuedTokens: 0, uncachedTokens: 5600, runningRequests: 20, slowness: 2, stepsPerEvent: 4}, 800);
 * ```
 *
 * @param work The work of the engine
 * @param objectiveMs Time within which the first event is due
 * @returns The cost in milliseconds
 */
export function estimateStreamCostMs(work: StreamWork, objectiveMs = defaultObjectiveMs): number {
	const firstEventMs = estimateFirstEventMs(work);
	const lateFirstMs = Math.min(maxLatenessMs, Math.max(0, firstEventMs - (objectiveMs * safeObjectiveShare)));
	const latePauseMs = Math.min(maxLatenessMs, Math.max(0, estimatePauseMs(work) - safePauseMs));
	const besideMs = work.slowness * estimateReadingMs(work.uncachedTokens) * work.runningRequests * besideWeight;
	return firstEventMs + lateFirstMs + latePauseMs + besideMs;
}
