/**
 * Receipts of one upstream daemon that are not on the log yet.
 *
 * @module
 */
import type {Receipt} from '../protocol/mod.js';

/** A batch of receipts with its number in this incarnation. */
export type ReceiptBatch = {readonly sequence: number; readonly receipts: readonly Receipt[]};

/** Receipts waiting for the log. */
export type ReceiptBook = ReturnType<typeof createReceiptBook>;

const batchLimit = 500;

/**
 * Creates an empty book.
 *
 * @example
 * ```ts
 * const book = createReceiptBook();
 * book.add({request: 'r-1', attempt: 1, shares: [{grant: 'g-1@b1', amount: 150}]});
 * book.peek()?.sequence; // 1
 * ```
 *
 * @returns The book
 */
export function createReceiptBook() {
	const waiting: Receipt[] = [];
	let sequence = 0;
	let batch: ReceiptBatch | undefined;

	return {
		add(receipt: Receipt): void {
			waiting.push(receipt);
		},

		/**
		 * The batch to append next; the same one until it is confirmed.
		 *
		 * An append whose answer was lost is repeated as the same batch under
		 * the same number, and the ledger folds each number once.
		 */
		peek(): ReceiptBatch | undefined {
			if (!batch && waiting.length > 0) {
				sequence += 1;
				batch = {sequence, receipts: waiting.splice(0, batchLimit)};
			}

			return batch;
		},

		confirm(confirmed: number): void {
			if (batch && confirmed >= batch.sequence) {
				batch = undefined;
			}
		},

		/** Starts numbering anew for a new incarnation; receipts keep waiting. */
		reset(): void {
			waiting.unshift(...batch?.receipts ?? []);
			batch = undefined;
			sequence = 0;
		},

		count: () => waiting.length + (batch?.receipts.length ?? 0),
	};
}
