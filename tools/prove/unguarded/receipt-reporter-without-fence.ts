/**
 * Receipt reporter that accepts work under fenced grants.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {createReceiptReporter as createGuarded, type CreateReceiptReporterOptions, type ReceiptReporter} from '../../../src/coordination/store/receipt-reporter.js';

export * from '../../../src/coordination/store/receipt-reporter.js';

export function createReceiptReporter(options: CreateReceiptReporterOptions): ReceiptReporter {
	return {...createGuarded(options), findFencedGrant: () => undefined};
}
