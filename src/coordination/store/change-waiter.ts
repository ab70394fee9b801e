/**
 * Waits for changes of a request that is being streamed, or for an interval
 * without one.
 *
 * @module
 */
import type {TrackedRequest} from '../../state/mod.js';

/** Why a wait ended: the request changed, or the interval passed. */
export type WaitResult = 'changed' | 'quiet';

const idleIntervalMs = 1000;

/**
 * Creates the change waiter of one reader. It keeps one listener and one timer
 * for the whole stream, because creating a pair for each chunk is costly.
 *
 * @example
 * ```ts
 * const waiter = createChangeWaiter(request);
 * await waiter.wait(); // 'changed' or 'quiet'
 * waiter.stop();
 * ```
 *
 * @param request The request that is streamed
 * @returns The change waiter; `stop` removes its listener and timer
 */
export function createChangeWaiter(request: TrackedRequest) {
	let resolveWait: (result: WaitResult) => void = () => undefined;
	const stopListening = request.events.on('changed', () => {
		resolveWait('changed');
	});
	const timer = setInterval(() => {
		resolveWait('quiet');
	}, idleIntervalMs);
	return {
		async wait(): Promise<WaitResult> {
			return new Promise(resolve => {
				resolveWait = resolve;
			});
		},
		stop(): void {
			clearInterval(timer);
			stopListening();
		},
	};
}
