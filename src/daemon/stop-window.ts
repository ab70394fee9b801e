/**
 * How far a daemon's stop has come.
 *
 * @module
 */
import type {Clock} from '../transport/mod.js';

/** Options of {@linkcode createStopWindow}. */
export type CreateStopWindowOptions = {readonly clock: Clock};

/** A daemon's stop. */
export type StopWindow = ReturnType<typeof createStopWindow>;

/**
 * Creates a stop that has not begun.
 *
 * @example
 * ```ts
 * const window = createStopWindow({clock});
 * window.begin();
 * window.hasBegun(); // true
 * ```
 *
 * @param options The clock
 * @returns The stop
 */
export function createStopWindow({clock}: CreateStopWindowOptions) {
	let startedAt: number | undefined;

	return {
		/** Begins the stop; a second call changes nothing. */
		begin(): void {
			startedAt ??= clock.now();
		},

		hasBegun: (): boolean => startedAt !== undefined,

		/** Milliseconds since the stop began; undefined before. */
		countElapsed: (): number | undefined => startedAt === undefined ? undefined : clock.now() - startedAt,
	};
}
