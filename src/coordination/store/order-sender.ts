/**
 * Sends an engine the operator orders recorded for it in the log.
 *
 * The offset of an order's record is its fencing token. Engines that ignore the
 * token are protected here: only this daemon can reach its engine, and it
 * remembers the highest token that it has sent.
 *
 * @module
 */
import type {EventLog} from '../../protocol/mod.js';
import type {Clock, EngineClient} from '../../transport/mod.js';
import type {Self} from '../peers/membership.js';
import type {LogFollower} from './log-follower.js';

/** Options of {@linkcode createOrderSender}. */
export type CreateOrderSenderOptions = {
	readonly self: Self;
	readonly follower: LogFollower;
	readonly engine: EngineClient;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Sends orders to an engine. */
export type OrderSender = ReturnType<typeof createOrderSender>;

const pollIntervalMs = 500;

/**
 * Creates an order sender; `run` sends orders until its signal is aborted.
 *
 * @example
 * ```ts
 * void createOrderSender({self, follower, engine, clock, events}).run(signal);
 * ```
 *
 * @param options Log, engine client, clock and events
 * @returns The order sender
 */
export function createOrderSender(options: CreateOrderSenderOptions) {
	const {
		self, follower, engine, clock, events,
	} = options;
	const sent = new Map<string, number>();

	// Checked before each order: a superseded incarnation that resumes after a pause could otherwise send an order that its
	// successor has already replaced.
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

			if (await engine.sendOrder({action: order.action, value: order.value, fence: order.fence})) {
				sent.set(order.action, order.fence);
				events.write('orderSent', {action: order.action, fence: order.fence});
			}
		}
	}

	return {
		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await sendOrders();
				await clock.sleep(pollIntervalMs, signal);
			}
		},
	};
}
