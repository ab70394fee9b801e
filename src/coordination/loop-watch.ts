/**
 * Watches how late the event loop is, and tells when it stood still.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Work of a process since it started. */
export type ProcessWork = {
	/** Processor time, in milliseconds. */
	readonly cpuMs: number;
	/** Connections of callers that were accepted. */
	readonly connections: number;
	/** Requests of callers that were begun. */
	readonly requests: number;
};

/** A span in which the event loop took no turn. */
export type LoopStall = {
	/** Whole milliseconds by which a timer was late. */
	readonly lateMs: number;
	/** Whole milliseconds of processor time that the process got in it. */
	readonly cpuMs: number;
	/** Connections accepted from the look before the stall to the one after it. */
	readonly connections: number;
	/** Requests begun from the look before the stall to the one after it. */
	readonly requests: number;
	/** Seconds since the watch began. */
	readonly upSeconds: number;
};

/** Options of {@linkcode runLoopWatch}. */
export type RunLoopWatchOptions = {
	readonly clock: Clock;
	/** Called with how late the event loop was at most in a round, in milliseconds. */
	readonly onRound: (lag: number) => void;
	/** Called after a stall. */
	readonly onStall?: (stall: LoopStall) => void;
	/** Reads what the process has done. */
	readonly readWork?: () => ProcessWork;
};

/** Pause between looks at how late the event loop is, in milliseconds. */
const lookEvery = 50;
/** Length of a round, in milliseconds. */
const roundSpan = 250;
/** An event loop late by more than this, in milliseconds, stood still: callers wait a second for a new connection. */
const stallLag = 1000;
const millisecondsPerSecond = 1000;
const noWork: ProcessWork = {cpuMs: 0, connections: 0, requests: 0};

/**
 * Watches the event loop until the signal is aborted.
 *
 * @example
 * ```ts
 * void runLoopWatch({clock, onRound: admission.noteLag}, signal);
 * ```
 *
 * @param options The clock, and what is told
 * @param signal Ends the watch
 */
export async function runLoopWatch(options: RunLoopWatchOptions, signal: AbortSignal): Promise<void> {
	const {
		clock, onRound, onStall, readWork = () => noWork,
	} = options;
	const startedAt = clock.now();
	let before = readWork();
	while (!signal.aborted) {
		let worst = 0;
		const until = clock.now() + roundSpan;
		while (clock.now() < until && !signal.aborted) {
			const dueAt = clock.now() + lookEvery;
			await clock.sleep(lookEvery, signal);
			const lag = clock.now() - dueAt;
			worst = Math.max(worst, lag);
			if (lag > stallLag) {
				const after = readWork();
				onStall?.({
					lateMs: Math.round(lag),
					cpuMs: Math.round(after.cpuMs - before.cpuMs),
					connections: after.connections - before.connections,
					requests: after.requests - before.requests,
					upSeconds: Math.round((clock.now() - startedAt) / millisecondsPerSecond),
				});
			}
		}

		onRound(worst);
		before = readWork();
	}
}
