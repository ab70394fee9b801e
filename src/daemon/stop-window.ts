/**
 * How far a daemon's stop has come, and which work it can still take on.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createStopWindow}. */
export type CreateStopWindowOptions = {
	/** Milliseconds from the beginning in which everything is taken: those who send do not know of the stop yet. */
	readonly notice: number;
	readonly clock: Clock;
};

/** A daemon's stop. */
export type StopWindow = ReturnType<typeof createStopWindow>;

/**
 * Creates a stop that has not begun.
 *
 * Work that a stopping daemon takes on and cannot finish is lost to its
 * caller: it shows as an answer that is cut when the process ends. So after
 * the notice only work is taken whose whole time limit passes before that.
 * The clock decides and no timer, since a busy event loop runs timers late.
 *
 * @example
 * ```ts
 * const window = createStopWindow({notice: 2500, clock});
 * window.begin(7300);
 * window.hasTimeFor(12_000); // true for 2.5 s, then false
 * ```
 *
 * @param options The notice and the clock
 * @returns The stop
 */
export function createStopWindow({notice, clock}: CreateStopWindowOptions) {
	let span: {readonly startedAt: number; readonly endsAt: number} | undefined;

	return {
		/** Begins the stop, which ends within so many milliseconds; a second call changes nothing. */
		begin(within: number): void {
			const now = clock.now();
			span ??= {startedAt: now, endsAt: now + within};
		},

		/** Ends the stop early: from now on nothing is taken. */
		finish(): void {
			span &&= {...span, endsAt: Math.min(span.endsAt, clock.now())};
		},

		hasBegun: (): boolean => span !== undefined,

		/** Milliseconds since the stop began; undefined before. */
		countElapsed: (): number | undefined => span && clock.now() - span.startedAt,

		/** Milliseconds until what still runs is cut; without bound before the stop. */
		countLeft: (): number => span ? span.endsAt - clock.now() : Number.POSITIVE_INFINITY,

		/** True if work may be begun that takes so many milliseconds at most. */
		hasTimeFor(limit: number): boolean {
			const now = clock.now();
			return !span || now - span.startedAt < notice || limit <= span.endsAt - now;
		},
	};
}
