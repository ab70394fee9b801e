/**
 * Gives an engine the orders that the log holds for it.
 *
 * The offset of an order's record is its fencing number. Engines that ignore
 * the number are guarded here: this daemon is the only way to its engine, and
 * holds the highest number it has sent.
 *
 * @module
 */
import type {EventLog} from '../protocol/mod.js';
import type {Clock, EngineClient} from '../transport/mod.js';
import type {LogFollower} from './log-follower.js';
import type {Self} from './membership.js';

/** Options of {@linkcode createOrderSender}. */
export type CreateOrderSenderOptions = {
	readonly self: Self;
	readonly follower: LogFollower;
	readonly engine: EngineClient;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Gives an engine its orders. */
export type OrderSender = ReturnType<typeof createOrderSender>;

const roundPause = 500;

/**
 * Creates the sender; `run` is its task.
 *
 * @example
 * ```ts
 * void createOrderSender({self, follower, engine, clock, events}).run(signal);
 * ```
 *
 * @param options Log and engine
 * @returns The sender
 */
export function createOrderSender(options: CreateOrderSenderOptions) {
	const {
		self, follower, engine, clock, events,
	} = options;
	const sent = new Map<string, number>();

	// A superseded incarnation that wakes from a pause would send an order that its successor has replaced.
	function isCurrent(): boolean {
		return follower.state().placement.isCurrent(self.id, self.incarnation);
	}

	async function sendOrders(): Promise<void> {
		for (const order of follower.state().configuration.listOrders()) {
			if (order.upstream !== self.id || order.fence <= (sent.get(order.action) ?? -1)) {
				continue;
			}

			if (!isCurrent()) {
				events.write('orderFenced', {action: order.action, fence: order.fence});
				return;
			}

			if (await engine.order({action: order.action, value: order.value, fence: order.fence})) {
				sent.set(order.action, order.fence);
				events.write('orderSent', {action: order.action, fence: order.fence});
			}
		}
	}

	return {
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await sendOrders();
				await clock.sleep(roundPause, signal);
			}
		},
	};
}
