/**
 * Ledger that folds every copy of a batch of receipts, as it ignores their
 * sequence numbers.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createLedger as createGuarded, type CreateLedgerOptions, type Ledger} from '../../../src/state/ledger.js';

export * from '../../../src/state/ledger.js';

export function createLedger(options: CreateLedgerOptions): Ledger {
	const ledger = createGuarded(options);
	const numbers = new Map<string, number>();
	return {
		...ledger,
		foldReceipts(record, at) {
			const next = (numbers.get(record.incarnation) ?? 0) + 1;
			numbers.set(record.incarnation, next);
			ledger.foldReceipts({...record, sequence: next}, at);
		},
	};
}
