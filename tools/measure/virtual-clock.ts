/**
 * Virtual time that advances from one timer to the next without waiting, so that
 * minutes of simulated time take little real time.
 *
 * @module
 */
import type {Clock} from '../../src/transport/mod.js';

/** The clock of one simulated process, which can be paused. */
export type PausableClock = Clock & {
	/** While paused, no `sleep` of this clock resolves, as in a paused process. */
	readonly setPaused: (isPaused: boolean) => void;
};

/** Virtual time shared by all simulated processes. */
export type VirtualTime = {
	readonly now: () => number;
	readonly sleep: Clock['sleep'];
	readonly createPausableClock: () => PausableClock;
	/** Fires all timers due until a time in milliseconds, in order, and advances the time to it. */
	readonly runUntil: (atMs: number) => Promise<void>;
};

type Timer = {readonly atMs: number; readonly order: number; readonly wake: () => void};

const eventLoopTurns = 2;

/** @internal */
async function runPendingCallbacks(): Promise<void> {
	for (let turn = 0; turn < eventLoopTurns; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/**
 * Creates virtual time that starts at 0.
 *
 * @example
 * ```ts
 * const time = createVirtualTime();
 * await time.runUntil(60_000);
 * ```
 *
 * @returns The virtual time
 */
export function createVirtualTime(): VirtualTime {
	const timers: Timer[] = [];
	let nowMs = 0;
	let order = 0;

	function insert(timer: Timer): void {
		let low = 0;
		let high = timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			const other = timers[middle]!;
			if (other.atMs < timer.atMs || (other.atMs === timer.atMs && other.order < timer.order)) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		timers.splice(low, 0, timer);
	}

	async function sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = () => {
				signal?.removeEventListener('abort', end);
				resolve();
			};

			order += 1;
			insert({
				atMs: nowMs + Math.max(0, durationMs), order, wake: end,
			});
			signal?.addEventListener('abort', end);
		});
	}

	return {
		now: () => nowMs,
		sleep,
		createPausableClock() {
			let resumed: Promise<void> | undefined;
			let resume: () => void = () => undefined;
			return {
				now: () => nowMs,
				async sleep(durationMs, signal) {
					await sleep(durationMs, signal);
					await resumed;
				},
				setPaused(isPaused) {
					resume();
					resumed = isPaused
						? new Promise(resolve => {
							resume = resolve;
						})
						: undefined;
				},
			};
		},
		async runUntil(atMs) {
			await runPendingCallbacks();
			while (timers.length > 0 && timers[0]!.atMs <= atMs) {
				nowMs = timers[0]!.atMs;
				while (timers.length > 0 && timers[0]!.atMs === nowMs) {
					timers.shift()!.wake();
				}

				await runPendingCallbacks();
			}

			nowMs = atMs;
		},
	};
}
