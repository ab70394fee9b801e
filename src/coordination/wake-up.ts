/**
 * Wakes the reader of a request's frames when there are new ones, or when there
 * were none for a while.
 *
 * @module
 */
import type {TrackedRequest} from '../state/mod.js';

/** Why a reader was woken. */
export type WakeReason = 'changed' | 'quiet';

/** Pause after which a quiet request's reader is woken, in milliseconds. */
const quietAfter = 1000;

/**
 * Creates the wake-up of one reader. It has one listener and one timer for the
 * whole stream, since a pair for each chunk is costly.
 *
 * @example
 * ```ts
 * const wakeUp = createWakeUp(request);
 * await wakeUp.next(); // 'changed' or 'quiet'
 * wakeUp.stop();
 * ```
 *
 * @param request The request that is read
 * @returns The wake-up; `stop` ends its listener and timer
 */
export function createWakeUp(request: TrackedRequest) {
	let wake: (reason: WakeReason) => void = () => undefined;
	const stopListening = request.events.on('changed', () => {
		wake('changed');
	});
	const timer = setInterval(() => {
		wake('quiet');
	}, quietAfter);
	return {
		async next(): Promise<WakeReason> {
			return new Promise(resolve => {
				wake = resolve;
			});
		},
		stop(): void {
			clearInterval(timer);
			stopListening();
		},
	};
}
