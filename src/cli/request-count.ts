/**
 * Counts what became of requests, by time and by reason.
 *
 * @module
 */
import type {LogLine} from './log-line.js';

/** Requests that came to their end in one span of time, by outcome. */
export type LossWindow = {
	/** Seconds since the first line. */
	readonly from: number;
	readonly outcomes: Readonly<Record<string, number>>;
};

/** Why requests were not served. */
export type LossReason = {
	readonly outcome: string;
	readonly reason: string;
	readonly requests: number;
	/** Tokens that were counted for them. */
	readonly tokens: number;
};

/** The outcome of a request whose answer was delivered whole. */
export const servedOutcome = 'served';

const millisecondsPerSecond = 1000;

/**
 * Creates an empty count.
 *
 * @example
 * ```ts
 * const requests = createRequestCount(Date.parse('2026-01-31T08:00:00Z'), 2);
 * requests.note(line, 'refused', {reason: 'unknown-key', tokens: 0});
 * requests.listWindows(); // [{from: 0, outcomes: {refused: 1}}]
 * ```
 *
 * @param since Time of the first line, in milliseconds of Unix time
 * @param window Seconds that a window covers
 * @returns The count
 */
export function createRequestCount(since: number, window: number) {
	const windows = new Map<number, Record<string, number>>();
	const reasons = new Map<string, {-readonly [Field in keyof LossReason]: LossReason[Field]}>();

	return {
		note(line: LogLine, outcome: string, {reason, tokens}: {readonly reason: string; readonly tokens: number}): void {
			const from = Math.floor((Date.parse(line.at) - since) / millisecondsPerSecond / window) * window;
			const outcomes = windows.get(from) ?? {};
			outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
			windows.set(from, outcomes);
			if (outcome === servedOutcome) {
				return;
			}

			const key = `${outcome} ${reason}`;
			const known = reasons.get(key) ?? {
				outcome, reason, requests: 0, tokens: 0,
			};
			known.requests += 1;
			known.tokens += tokens;
			reasons.set(key, known);
		},
		listWindows: (): LossWindow[] => [...windows].sort(([left], [right]) => left - right).map(([from, outcomes]) => ({from, outcomes})),
		listReasons: (): LossReason[] => [...reasons.values()].sort((left, right) => right.requests - left.requests),
	};
}
