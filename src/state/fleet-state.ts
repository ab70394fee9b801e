/**
 * State of the fleet, folded from the log in log order.
 *
 * @module
 */
import {logRecordSchema, type LogEntry, type LogRecord} from '../protocol/mod.js';
import {createConfiguration, type ConfigurationSnapshot} from './configuration.js';
import {createLedger, formatIncarnationId, type LedgerSnapshot} from './ledger.js';
import {createPlacement, type EndedIncarnation, type PlacementSnapshot} from './placement.js';
import {createRunRegistry, type RunRegistrySnapshot} from './run-registry.js';

/** Serialisable form of the fleet's state; covers all records before offset `next`. */
export type FleetSnapshot = {
	next: number;
	ledger: LedgerSnapshot;
	configuration: ConfigurationSnapshot;
	placement: PlacementSnapshot;
	runs: RunRegistrySnapshot;
};

/** Options of {@linkcode createFleetState}. */
export type CreateFleetStateOptions = {
	/** How long receipts and runs are kept, in milliseconds by the log's clock. */
	readonly retentionMs: number;
	/** Snapshot to start from; default empty. */
	readonly snapshot?: FleetSnapshot;
};

/** Result of folding one log entry. */
export type FoldOutcome = 'folded' | 'repeated' | 'unreadable';

/** State of the fleet: ledger, configuration, placement and runs. */
export type FleetState = ReturnType<typeof createFleetState>;

/**
 * Creates the state of the fleet.
 *
 * @example
 * ```ts
 * const fleet = createFleetState({retentionMs: 3_600_000});
 * fleet.fold({offset: 0, at: 0, data: {kind: 'confirm', plan: 'p', by: 'ana'}}); // 'folded'
 * fleet.getNextOffset(); // 1
 * ```
 *
 * @param options The retention period and a snapshot to start from
 * @returns The state
 */
export function createFleetState(options: CreateFleetStateOptions) {
	const {retentionMs, snapshot} = options;
	let nextOffset = snapshot?.next ?? 0;
	const ledger = createLedger({retentionMs, snapshot: snapshot?.ledger});
	const configuration = createConfiguration(snapshot?.configuration);
	const placement = createPlacement(snapshot?.placement);
	const runs = createRunRegistry({retentionMs, snapshot: snapshot?.runs});

	function foldEnd(endedIncarnation: EndedIncarnation | undefined): void {
		if (!endedIncarnation) {
			return;
		}

		const {daemon, incarnation, role} = endedIncarnation.member;
		if (role === 'upstream') {
			ledger.foldEnd(formatIncarnationId(daemon, incarnation), endedIncarnation.graceful);
			return;
		}

		closeGrantsHeldBy(daemon, incarnation);
	}

	// An ended incarnation of an entry daemon can neither use nor release its grants.
	function closeGrantsHeldBy(daemon: string, incarnation: string): void {
		const upstreams = placement.listUpstreamIncarnations();
		for (const grant of ledger.listGrants()) {
			if (grant.daemon === daemon && grant.incarnation === incarnation) {
				ledger.foldClose({kind: 'close', grant: grant.id, by: daemon}, upstreams);
			}
		}
	}

	function foldClaim(record: Extract<LogRecord, {kind: 'claim'}>, offset: number): void {
		// A claim recorded after the end of its incarnation would lock tokens that no daemon can use.
		if (placement.isCurrent(record.daemon, record.incarnation)) {
			ledger.foldClaim(record, offset);
		}
	}

	function foldRecord(record: LogRecord, {offset, at}: LogEntry): void {
		switch (record.kind) {
			case 'join': {
				foldEnd(placement.foldJoin(record, offset));
				break;
			}

			case 'leave': {
				foldEnd(placement.foldLeave(record));
				break;
			}

			case 'claim': {
				foldClaim(record, offset);
				break;
			}

			case 'release': {
				ledger.foldRelease(record, at);
				break;
			}

			case 'close': {
				ledger.foldClose(record, placement.listUpstreamIncarnations());
				break;
			}

			case 'report': {
				ledger.foldReport(record);
				break;
			}

			case 'receipts': {
				if (placement.isCurrent(record.daemon, record.incarnation)) {
					ledger.foldReceipts(record, at);
				} else {
					ledger.foldLateReceipts(record);
				}

				break;
			}

			case 'run': {
				runs.fold(record, at);
				break;
			}

			case 'plan': {
				configuration.foldPlan(record);
				break;
			}

			case 'confirm': {
				for (const change of configuration.foldConfirm(record, offset)) {
					if (change.change === 'top-up') {
						ledger.foldTopUp(change.budget, change.tokens);
					}
				}

				break;
			}

			case 'snapshot': {
				// Only readers that start from a snapshot use it.
				break;
			}
		}
	}

	return {
		ledger,
		configuration,
		placement,
		runs,
		/** Returns the offset of the next record to fold. */
		getNextOffset: () => nextOffset,
		fold(entry: LogEntry): FoldOutcome {
			// Records arrive both from the log and from peers, so some arrive twice.
			if (entry.offset < nextOffset) {
				return 'repeated';
			}

			nextOffset = entry.offset + 1;
			const parsed = logRecordSchema.safeParse(entry.data);
			if (!parsed.success) {
				return 'unreadable';
			}

			foldRecord(parsed.data, entry);
			return 'folded';
		},

		buildSnapshot: (): FleetSnapshot => ({
			next: nextOffset,
			ledger: ledger.buildSnapshot(),
			configuration: configuration.buildSnapshot(),
			placement: placement.buildSnapshot(),
			runs: runs.buildSnapshot(),
		}),
	};
}
