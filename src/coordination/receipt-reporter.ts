/**
 * Puts an upstream daemon's receipts on the log, and reports on closed grants.
 *
 * @module
 */
import type {
	EventLog, GrantShare, Receipt, RecordOf,
} from '../protocol/mod.js';
import {
	createReceiptBook, formatIncarnation, type ReceiptBook, type RequestTable,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';
import type {LogFollower} from './log-follower.js';
import type {LogWriter} from './log-writer.js';
import type {Self} from './membership.js';

/** Options of {@linkcode createReceiptReporter}. */
export type CreateReceiptReporterOptions = {
	readonly self: Self;
	readonly follower: LogFollower;
	readonly writer: LogWriter;
	readonly table: RequestTable;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Pause between batches, in milliseconds. */
	readonly every: number;
};

/** Puts receipts on the log. */
export type ReceiptReporter = ReturnType<typeof createReceiptReporter>;

const appendBound = 10_000;

/**
 * Creates the reporter; `run` is its task.
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
	// Receipts belong to the incarnation that accepted the request: an ended one's come too late to be billed.
	const books = new Map<string, ReceiptBook>();
	const fenced = new Set<string>();
	let reporting = false;

	function isCurrent(incarnation: string): boolean {
		return follower.state().placement.isCurrent(self.id, incarnation);
	}

	function ensureBook(incarnation: string): ReceiptBook {
		const book = books.get(incarnation) ?? createReceiptBook();
		books.set(incarnation, book);
		return book;
	}

	async function flushBook(incarnation: string, book: ReceiptBook): Promise<boolean> {
		for (let batch = book.peek(); batch; batch = book.peek()) {
			const {sequence} = batch;
			const record: RecordOf<'receipts'> = {
				kind: 'receipts', sequence, daemon: self.id, incarnation, receipts: [...batch.receipts],
			};
			const result = await writer.commit(record, {
				isFolded: state => !isCurrent(incarnation) || state.ledger.findLastBatch(formatIncarnation(self.id, incarnation)) >= sequence,
				signal: AbortSignal.timeout(appendBound),
			});
			if (result.err) {
				return false;
			}

			book.confirm(sequence);
		}

		return true;
	}

	async function flush(): Promise<boolean> {
		const flushed = await Promise.all([...books].map(async ([incarnation, book]) => {
			const isFlushed = await flushBook(incarnation, book);
			if (isFlushed && incarnation !== self.incarnation) {
				books.delete(incarnation);
			}

			return isFlushed;
		}));
		return flushed.every(Boolean);
	}

	function isInUse(grant: string): boolean {
		return table.listRunning().some(request => request.shares.some(share => share.grant === grant));
	}

	function listDueReports(): string[] {
		const me = formatIncarnation(self.id, self.incarnation);
		const due: string[] = [];
		for (const grant of follower.state().ledger.listGrants()) {
			if (grant.waitsFor?.includes(me)) {
				// From here on new work under it is refused, so what is running now is all there will be.
				fenced.add(grant.id);
				if (!isInUse(grant.id)) {
					due.push(grant.id);
				}
			}
		}

		return due;
	}

	// Receipts first, then the report: the log's order makes the report mean "that was all".
	async function reportClosed(): Promise<void> {
		const due = listDueReports();
		if (due.length === 0 || !await flush()) {
			return;
		}

		const me = formatIncarnation(self.id, self.incarnation);
		await writer.commit({
			kind: 'report', grants: due, daemon: self.id, incarnation: self.incarnation,
		}, {
			isFolded: state => due.every(grant => !state.ledger.findGrant(grant)?.waitsFor?.includes(me)),
			signal: AbortSignal.timeout(appendBound),
		});
		events.write('grantReported', {grants: due.length});
	}

	async function runRound(): Promise<void> {
		if (reporting || !follower.isLogUp()) {
			return;
		}

		reporting = true;
		await flush();
		await reportClosed();
		reporting = false;
	}

	return {
		add(incarnation: string, receipt: Receipt): void {
			ensureBook(incarnation).add(receipt);
		},

		/**
		 * Finds a grant under which no new work may start here.
		 *
		 * A holder that was paused past its grant's close still believes in
		 * it; its request would be spent on tokens that others now hold.
		 */
		findFenced(shares: readonly GrantShare[], knownOffset: number): string | undefined {
			const {ledger, next} = follower.state();
			return shares.find(({grant}) => {
				const known = ledger.findGrant(grant);
				const hasEnded = !known && next() >= knownOffset;
				return fenced.has(grant) || Boolean(known?.waitsFor) || hasEnded;
			})?.grant;
		},

		flush,
		countWaiting: () => [...books.values()].reduce((total, book) => total + book.count(), 0),

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await Promise.all([runRound(), clock.sleep(options.every, signal)]);
			}
		},
	};
}
