/**
 * Everything that is folded from the log, in one place and one order.
 *
 * @module
 */
import {recordSchema, type LogEntry, type LogRecord} from '../protocol/mod.js';
import {createConfiguration, type ConfigurationSnapshot} from './configuration.js';
import {createLedger, formatIncarnation, type LedgerSnapshot} from './ledger.js';
import {createPlacement, type EndedIncarnation, type PlacementSnapshot} from './placement.js';
import {createRunRegister, type RunRegisterSnapshot} from './run-register.js';

/** Serialisable form of the fleet's state; as of the record before `next`. */
export type FleetSnapshot = {
	next: number;
	ledger: LedgerSnapshot;
	configuration: ConfigurationSnapshot;
	placement: PlacementSnapshot;
	runs: RunRegisterSnapshot;
};

/** Options of {@linkcode createFleetState}. */
export type CreateFleetStateOptions = {
	/** How long receipts and runs stay known, in milliseconds of the log's clock. */
	readonly window: number;
	/** Snapshot to start from; default empty. */
	readonly snapshot?: FleetSnapshot;
};

/** What folding one entry came to. */
export type FoldOutcome = 'folded' | 'repeated' | 'unreadable';

/** The fleet's state. */
export type FleetState = ReturnType<typeof createFleetState>;

/**
 * Creates the fleet's state.
 *
 * @example
 * ```ts
 * const fleet = createFleetState({window: 3_600_000});
 * fleet.fold({offset: 0, at: 0, data: {kind: 'confirm', plan: 'p', by: 'ana'}}); // 'folded'
 * fleet.next(); // 1
 * ```
 *
 * @param options The window and a snapshot to start from
 * @returns The state
 */
export function createFleetState(options: CreateFleetStateOptions) {
	const {window, snapshot} = options;
	let next = snapshot?.next ?? 0;
	const ledger = createLedger({window, snapshot: snapshot?.ledger});
	const configuration = createConfiguration(snapshot?.configuration);
	const placement = createPlacement(snapshot?.placement);
	const runs = createRunRegister({window, snapshot: snapshot?.runs});

	function foldEnd(ended: EndedIncarnation | undefined): void {
		if (!ended) {
			return;
		}

		const {daemon, incarnation, role} = ended.member;
		if (role === 'upstream') {
			ledger.foldEnd(formatIncarnation(daemon, incarnation), ended.graceful);
			return;
		}

		closeGrantsOf(daemon, incarnation);
	}

	// An entry's ended incarnation can neither use nor return its grants.
	function closeGrantsOf(daemon: string, incarnation: string): void {
		const upstreams = placement.listUpstreamIncarnations();
		for (const grant of ledger.listGrants()) {
			if (grant.daemon === daemon && grant.incarnation === incarnation) {
				ledger.foldClose({kind: 'close', grant: grant.id, by: daemon}, upstreams);
			}
		}
	}

	function foldClaim(record: Extract<LogRecord, {kind: 'claim'}>, offset: number): void {
		// A claim delayed past its claimant's end would hold tokens that nobody can use.
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
				// Only a reader that starts from it needs it.
				break;
			}
		}
	}

	return {
		ledger,
		configuration,
		placement,
		runs,
		/** The offset of the next record to fold. */
		next: () => next,
		fold(entry: LogEntry): FoldOutcome {
			// Records come from the log and from peers, and some come twice.
			if (entry.offset < next) {
				return 'repeated';
			}

			next = entry.offset + 1;
			const parsed = recordSchema.safeParse(entry.data);
			if (!parsed.success) {
				return 'unreadable';
			}

			foldRecord(parsed.data, entry);
			return 'folded';
		},

		buildSnapshot: (): FleetSnapshot => ({
			next,
			ledger: ledger.buildSnapshot(),
			configuration: configuration.buildSnapshot(),
			placement: placement.buildSnapshot(),
			runs: runs.buildSnapshot(),
		}),
	};
}
