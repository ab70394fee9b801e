/**
 * Time that jumps from one event to the next, so that minutes of the product's
 * own modules pass in a moment.
 *
 * @module
 */
import type {Clock} from '../../src/transport/mod.js';

/** A clock of one actor, which can be paused. */
export type ActorClock = Clock & {
	/** Holds back everything the actor waits for, as a stopped process. */
	readonly setPaused: (isPaused: boolean) => void;
};

/** Time for all actors. */
export type VirtualTime = {
	readonly now: () => number;
	readonly sleep: Clock['sleep'];
	readonly createActorClock: () => ActorClock;
	/** Lets time pass until an instant. */
	readonly runUntil: (instant: number) => Promise<void>;
};

type Timer = {readonly at: number; readonly order: number; readonly wake: () => void};

const settleTurns = 2;

/** @internal */
async function settle(): Promise<void> {
	for (let turn = 0; turn < settleTurns; turn++) {
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
 * @returns The time
 */
export function createVirtualTime(): VirtualTime {
	const timers: Timer[] = [];
	let now = 0;
	let order = 0;

	function insert(timer: Timer): void {
		let low = 0;
		let high = timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			const other = timers[middle]!;
			if (other.at < timer.at || (other.at === timer.at && other.order < timer.order)) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		timers.splice(low, 0, timer);
	}

	async function sleep(span: number, signal?: AbortSignal): Promise<void> {
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
				at: now + Math.max(0, span), order, wake: end,
			});
			signal?.addEventListener('abort', end);
		});
	}

	return {
		now: () => now,
		sleep,
		createActorClock() {
			let resumed: Promise<void> | undefined;
			let resume: () => void = () => undefined;
			return {
				now: () => now,
				async sleep(span, signal) {
					await sleep(span, signal);
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
		async runUntil(instant) {
			await settle();
			while (timers.length > 0 && timers[0]!.at <= instant) {
				now = timers[0]!.at;
				while (timers.length > 0 && timers[0]!.at === now) {
					timers.shift()!.wake();
				}

				await settle();
			}

			now = instant;
		},
	};
}
