/**
 * Counts requests by outcome: per time window, and by reason if not served.
 *
 * @module
 */
import type {LogLine} from './log-line.js';

/** Requests that ended within one time window, by outcome. */
export type LossWindow = {
	/** Start of the window, in seconds since the first line. */
	readonly from: number;
	readonly outcomes: Readonly<Record<string, number>>;
};

/** One reason for which requests were not served. */
export type LossReason = {
	readonly outcome: string;
	readonly reason: string;
	readonly requests: number;
	/** Tokens that these requests used. */
	readonly tokens: number;
};

/** Outcome of a request whose answer was delivered completely. */
export const servedOutcome = 'served';

const millisecondsPerSecond = 1000;

/**
 * Creates an empty counter.
 *
 * @example
 * ```ts
 * const requests = createRequestCounter(Date.parse('2026-01-31T08:00:00Z'), 2);
 * requests.record(line, 'refused', {reason: 'unknown-key', tokens: 0});
 * requests.listWindows(); // [{from: 0, outcomes: {refused: 1}}]
 * ```
 *
 * @param startTimeMs Unix time of the first line, in milliseconds
 * @param windowSeconds Length of a window, in seconds
 * @returns The counter
 */
export function createRequestCounter(startTimeMs: number, windowSeconds: number) {
	const windows = new Map<number, Record<string, number>>();
	const reasons = new Map<string, {-readonly [Field in keyof LossReason]: LossReason[Field]}>();

	return {
		record(line: LogLine, outcome: string, {reason, tokens}: {readonly reason: string; readonly tokens: number}): void {
			const from = Math.floor((Date.parse(line.at) - startTimeMs) / millisecondsPerSecond / windowSeconds) * windowSeconds;
			const outcomes = windows.get(from) ?? {};
			outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
			windows.set(from, outcomes);
			if (outcome === servedOutcome) {
				return;
			}

			const key = `${outcome} ${reason}`;
			const counts = reasons.get(key) ?? {
				outcome, reason, requests: 0, tokens: 0,
			};
			counts.requests += 1;
			counts.tokens += tokens;
			reasons.set(key, counts);
		},
		listWindows: (): LossWindow[] => [...windows].sort(([left], [right]) => left - right).map(([from, outcomes]) => ({from, outcomes})),
		listReasons: (): LossReason[] => [...reasons.values()].sort((left, right) => right.requests - left.requests),
	};
}
