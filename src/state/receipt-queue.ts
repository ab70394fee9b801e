/**
 * Queue of receipts of one upstream daemon that are not yet recorded in the log.
 *
 * @module
 */
import type {Receipt} from '../protocol/mod.js';

/** A batch of receipts; `sequence` is its number within the incarnation. */
export type ReceiptBatch = {readonly sequence: number; readonly receipts: readonly Receipt[]};

/** Queue of receipts to be appended to the log. */
export type ReceiptQueue = ReturnType<typeof createReceiptQueue>;

const maxBatchReceipts = 500;

/**
 * Creates an empty queue.
 *
 * @example
 * ```ts
 * const queue = createReceiptQueue();
 * queue.add({request: 'r-1', attempt: 1, shares: [{grant: 'g-1@b1', amount: 150}]});
 * queue.peek()?.sequence; // 1
 * ```
 *
 * @returns The queue
 */
export function createReceiptQueue() {
	const pending: Receipt[] = [];
	let sequence = 0;
	let batch: ReceiptBatch | undefined;

	return {
		add(receipt: Receipt): void {
			pending.push(receipt);
		},

		/**
		 * Returns the batch to append next; the same one until it is confirmed.
		 *
		 * If the answer to an append is lost, the same batch is appended again
		 * under the same number; the ledger folds each number once.
		 */
		peek(): ReceiptBatch | undefined {
			if (!batch && pending.length > 0) {
				sequence += 1;
				batch = {sequence, receipts: pending.splice(0, maxBatchReceipts)};
			}

			return batch;
		},

		confirm(confirmedSequence: number): void {
			if (batch && confirmedSequence >= batch.sequence) {
				batch = undefined;
			}
		},

		/** Restarts the numbering for a new incarnation; unconfirmed receipts stay queued. */
		reset(): void {
			pending.unshift(...batch?.receipts ?? []);
			batch = undefined;
			sequence = 0;
		},

		count: () => pending.length + (batch?.receipts.length ?? 0),
	};
}
