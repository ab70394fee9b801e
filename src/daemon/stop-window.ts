/**
 * Tracks a daemon's graceful stop and decides which work it still accepts.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createStopWindow}. */
export type CreateStopWindowOptions = {
	/** Time from the beginning of the stop in which all work is accepted, because senders do not know of the stop yet. */
	readonly noticeMs: number;
	readonly clock: Clock;
};

/** The period of a daemon's graceful stop. */
export type StopWindow = ReturnType<typeof createStopWindow>;

/**
 * Creates a stop window for a stop that has not begun.
 *
 * Work that a stopping daemon accepts and cannot finish is lost to its caller:
 * the response is aborted when the process ends. After the notice period the
 * daemon therefore accepts only work whose full timeout ends before the stop
 * does. This is decided by the clock and not by a timer, because a busy event
 * loop runs timers late.
 *
 * @example
 * ```ts
 * const window = createStopWindow({noticeMs: 2500, clock});
 * window.begin(7300);
 * window.hasTimeFor(12_000); // true for 2.5 s, then false
 * ```
 *
 * @param options The notice period and the clock
 * @returns The stop window
 */
export function createStopWindow({noticeMs, clock}: CreateStopWindowOptions) {
	let isRefusing = false;
	let period: {readonly startedAt: number; readonly endsAt: number} | undefined;

	return {
		/** Begins the stop, which lasts at most the given time; further calls have no effect. */
		begin(maxDurationMs: number): void {
			const now = clock.now();
			period ??= {startedAt: now, endsAt: now + maxDurationMs};
		},

		/** Accepts no more work, also during the notice period. */
		refuseAll(): void {
			isRefusing = true;
		},

		/** Ends the stop early: no more work is accepted. */
		finish(): void {
			period &&= {...period, endsAt: Math.min(period.endsAt, clock.now())};
		},

		hasBegun: (): boolean => period !== undefined,

		/** Returns the time since the stop began; undefined before that. */
		computeElapsedMs: (): number | undefined => period && clock.now() - period.startedAt,

		/** Returns the time until running work is aborted; infinite before the stop. */
		computeRemainingMs: (): number => period ? period.endsAt - clock.now() : Number.POSITIVE_INFINITY,

		/** Returns true if work with the given timeout may be started. */
		hasTimeFor(timeoutMs: number): boolean {
			const now = clock.now();
			return !isRefusing && (!period || now - period.startedAt < noticeMs || timeoutMs <= period.endsAt - now);
		},
	};
}
