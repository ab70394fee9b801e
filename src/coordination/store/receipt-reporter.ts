/**
 * Appends an upstream daemon's receipts to the log and reports on closed
 * grants.
 *
 * @module
 */
import type {
	EventLog, GrantShare, Receipt, RecordOf,
} from '../../protocol/mod.js';
import {
	createReceiptQueue, formatIncarnationId, type ReceiptQueue, type RequestTable,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {Self} from '../peers/membership.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';

/** Options of {@linkcode createReceiptReporter}. */
export type CreateReceiptReporterOptions = {
	readonly self: Self;
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly table: RequestTable;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Pause between batches, in milliseconds. */
	readonly intervalMs: number;
};

/** Appends receipts and reports to the log. */
export type ReceiptReporter = ReturnType<typeof createReceiptReporter>;

const appendTimeoutMs = 10_000;

/**
 * Creates a receipt reporter; `run` operates it until the signal is aborted.
 *
 * @example
 * ```ts
 * reporter.add(request.incarnation, {request: request.id, attempt: request.attempt, shares: billed});
 * ```
 *
 * @param options This daemon, its requests and the log
 * @returns The reporter
 */
export function createReceiptReporter(options: CreateReceiptReporterOptions) {
	const {
		self, follower, writer, table, clock, events,
	} = options;
	// Receipts belong to the incarnation that accepted the request; those of an ended incarnation come too late to be billed.
	const receiptsByIncarnation = new Map<string, ReceiptQueue>();
	const fencedGrants = new Set<string>();
	let isReporting = false;

	function isCurrent(incarnation: string): boolean {
		return follower.state().placement.isCurrent(self.id, incarnation);
	}

	function ensureReceipts(incarnation: string): ReceiptQueue {
		const receipts = receiptsByIncarnation.get(incarnation) ?? createReceiptQueue();
		receiptsByIncarnation.set(incarnation, receipts);
		return receipts;
	}

	async function flushIncarnation(incarnation: string, pending: ReceiptQueue): Promise<boolean> {
		for (let batch = pending.peek(); batch; batch = pending.peek()) {
			const {sequence} = batch;
			const record: RecordOf<'receipts'> = {
				kind: 'receipts', sequence, daemon: self.id, incarnation, receipts: [...batch.receipts],
			};
			const result = await writer.commit(record, {
				isFolded: state => !isCurrent(incarnation) || state.ledger.findLastBatchSequence(formatIncarnationId(self.id, incarnation)) >= sequence,
				signal: AbortSignal.timeout(appendTimeoutMs),
			});
			if (result.err) {
				return false;
			}

			pending.confirm(sequence);
		}

		return true;
	}

	async function flush(): Promise<boolean> {
		const flushed = await Promise.all([...receiptsByIncarnation].map(async ([incarnation, pending]) => {
			const isFlushed = await flushIncarnation(incarnation, pending);
			if (isFlushed && incarnation !== self.incarnation) {
				receiptsByIncarnation.delete(incarnation);
			}

			return isFlushed;
		}));
		return flushed.every(Boolean);
	}

	function isInUse(grant: string): boolean {
		return table.listRunning().some(request => request.shares.some(share => share.grant === grant));
	}

	function listDueReports(): string[] {
		const ownKey = formatIncarnationId(self.id, self.incarnation);
		const dueGrants: string[] = [];
		for (const grant of follower.state().ledger.listGrants()) {
			if (grant.waitsFor?.includes(ownKey)) {
				// New work under the grant is refused from now on, so only requests that are running now can still spend from it.
				fencedGrants.add(grant.id);
				if (!isInUse(grant.id)) {
					dueGrants.push(grant.id);
				}
			}
		}

		return dueGrants;
	}

	// Appends all receipts before the report, so that the position of the report in the log shows that none will follow.
	async function reportClosed(): Promise<void> {
		const dueGrants = listDueReports();
		if (dueGrants.length === 0 || !await flush()) {
			return;
		}

		const ownKey = formatIncarnationId(self.id, self.incarnation);
		await writer.commit({
			kind: 'report', grants: dueGrants, daemon: self.id, incarnation: self.incarnation,
		}, {
			isFolded: state => dueGrants.every(grant => !state.ledger.findGrant(grant)?.waitsFor?.includes(ownKey)),
			signal: AbortSignal.timeout(appendTimeoutMs),
		});
		events.write('grantReported', {grants: dueGrants.length});
	}

	async function runRound(): Promise<void> {
		if (isReporting || !follower.isLogUp()) {
			return;
		}

		isReporting = true;
		await flush();
		await reportClosed();
		isReporting = false;
	}

	return {
		add(incarnation: string, receipt: Receipt): void {
			ensureReceipts(incarnation).add(receipt);
		},

		/**
		 * Returns the first grant of the shares under which no new work may start.
		 *
		 * A holder that was paused while its grant was closed still uses it;
		 * its request would spend tokens that other daemons now hold.
		 */
		findFencedGrant(shares: readonly GrantShare[], knownOffset: number): string | undefined {
			const {ledger, getNextOffset} = follower.state();
			return shares.find(({grant}) => {
				const grantState = ledger.findGrant(grant);
				const hasEnded = !grantState && getNextOffset() >= knownOffset;
				return fencedGrants.has(grant) || Boolean(grantState?.waitsFor) || hasEnded;
			})?.grant;
		},

		flush,
		countUnreported: () => [...receiptsByIncarnation.values()].reduce((total, receipts) => total + receipts.count(), 0),

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await Promise.all([runRound(), clock.sleep(options.intervalMs, signal)]);
			}
		},
	};
}
