/**
 * Recovers the grants after the log was restored from a backup, which has lost
 * the last records.
 *
 * No gateway claims until the log of the new epoch has a recovery record. One
 * gateway that knew the grants before collects the records of all others, appends
 * those that the log lacks, and then the recovery record; the others take over if
 * it does not. A gateway that reports counts no claim of an earlier epoch
 * afterwards, so that nothing is granted between its report and the recovery.
 *
 * For gateways that do not report, the rest of each budget is reserved until
 * they have written a record. If no gateway remembers the grants, it stays
 * reserved, and only what is bought later can be claimed.
 *
 * @module
 */
import type {
	EventLog, KeyedLog, LogEpoch, StoredRecord,
} from '../../protocol/mod.js';
import {
	recoveryRecordSchema, type GrantRegistry, type HolderRecord, type KeyedHolder, type RecoveryRecord, type RouteTable, type TokenAccount,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {KeyedFollower} from '../store/keyed-follower.js';
import {rankByRendezvous} from '../peers/rendezvous.js';
import {formatHolderKey, type HolderIdentity} from './grant-writer.js';
import {
	buildUnknownGrantsRecord, buildRecoveryRecord, computeCovered, isLogComplete, listMissingHolders, type GrantReport, type PossibleHolder,
} from './recovery-decisions.js';

/** A query for the grants that a gateway knows. */
export type GrantQuery = {
	/** Epoch of the log that is recovered. */
	readonly epoch: number;
	/** Sequence numbers of the records that the caller knows, by key. */
	readonly known: ReadonlyMap<string, number>;
};

/** Options of {@linkcode createGrantRecovery}. */
export type CreateGrantRecoveryOptions = {
	readonly self: HolderIdentity;
	readonly log: KeyedLog;
	readonly follower: KeyedFollower;
	readonly grants: GrantRegistry;
	readonly account: TokenAccount;
	readonly findRouteTable: () => RouteTable | undefined;
	/** True if the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Lists other gateways that are presumed to be up, by name. */
	readonly listPeers: () => readonly string[];
	/** Returns true for a gateway that has not been heard from for so long that it is presumed failed. */
	readonly isPresumedFailed: (daemon: string) => boolean;
	/** Builds a record of what this gateway holds that supersedes all that it has sent. */
	readonly buildOwnRecord: () => HolderRecord;
	/** Queries another gateway; throws if it does not answer. */
	readonly queryPeer: (address: string, query: GrantQuery) => Promise<GrantReport>;
	readonly clock: Clock;
	readonly events: EventLog;
};

/** Recovers the grants after the log was restored. */
export type GrantRecovery = ReturnType<typeof createGrantRecovery>;

const keyPrefix = '@history/';
const roundIntervalMs = 100;
/** Time for gateways to report, and for operators to write again what the log has lost. */
const reportTimeoutMs = 2000;
/** A gateway takes over after this time for each one that ranks before it. */
const takeOverDelayMs = 3000;
/** Time after which nobody is expected to remember the grants. */
const unknownGrantsTimeoutMs = 8000;
/** Number of incarnations that are remembered of each gateway. */
const maxHeardIncarnations = 2;
/** Attempts to append a record against concurrent writers before the next round. */
const maxAppendAttempts = 10;

/**
 * Returns true if a key of the grants log belongs to a recovery record.
 *
 * @example
 * ```ts
 * isRecoveryKey('@history/2'); // true
 * ```
 *
 * @param key The record's key
 * @returns True for a recovery record
 */
export function isRecoveryKey(key: string): boolean {
	return key.startsWith(keyPrefix);
}

/**
 * Creates the recovery of one gateway; `run` operates it until the signal is
 * aborted.
 *
 * @example
 * ```ts
 * const recovery = createGrantRecovery(options);
 * void recovery.run(signal);
 * ```
 *
 * @param options The grants log, the known grants and the other gateways
 * @returns The recovery
 */
export function createGrantRecovery(options: CreateGrantRecoveryOptions) {
	const {
		self, log, follower, grants, account, findRouteTable, clock, events,
	} = options;
	const ownKey = formatHolderKey(self);
	let completeEpoch: LogEpoch;
	/** The last incarnations of other gateways that gossip was received from, the newest last. */
	const heardHolders = new Map<string, readonly PossibleHolder[]>();
	/** True if this gateway has known all grants at any time. */
	let isWitness = false;
	/** When this gateway repairs the log; undefined if it lacks no known record. */
	let repairDueAt: number | undefined;
	let incomplete: {readonly epoch: LogEpoch; readonly since: number} | undefined;

	function isComplete(): boolean {
		return isWitness && follower.getNextOffset() !== undefined && follower.getEpoch() === completeEpoch;
	}

	// Others do not count what the recovery has missed, so it may not be used.
	function dropUncovered(recovery: RecoveryRecord): void {
		const logged = grants.isLogged(ownKey) ? grants.get(ownKey) : undefined;
		for (const customer of account.listCustomers()) {
			const {granted} = account.get(customer);
			const covered = computeCovered(granted, customer, {recovery, key: ownKey, logged});
			if (covered < granted) {
				account.setGranted(customer, Math.max(covered, Math.min(granted, account.countCommittedTokens(customer))));
			}
		}
	}

	function markComplete(epoch: LogEpoch): void {
		const last = grants.getRecovery();
		const recovery = last?.epoch === epoch ? last : undefined;
		if (isWitness && recovery) {
			dropUncovered(recovery);
		}

		events.write('grantsRecovered', {epoch, missing: recovery?.missing.join(' ')});
		completeEpoch = epoch;
		isWitness = true;
		incomplete = undefined;
	}

	function checkComplete(): boolean {
		if (isComplete()) {
			return true;
		}

		const epoch = follower.getEpoch();
		if (!incomplete || incomplete.epoch !== epoch) {
			incomplete = {epoch, since: clock.now()};
		}

		if (follower.getNextOffset() === undefined || !isLogComplete(epoch, {grants, isFirstStart: options.isFirstStart, isWitness})) {
			return false;
		}

		markComplete(epoch);
		return true;
	}

	// Some are known from gossip only: the log may have been restored before their records were read.
	function listPossibleHolders(): PossibleHolder[] {
		const recorded = grants.listRunning().filter(({role, daemon}) => role === 'gateway' && daemon !== self.daemon);
		const unrecorded = [...heardHolders.values()].flat().filter(holder => !grants.get(formatHolderKey(holder)));
		return [...recorded, ...unrecorded];
	}

	// A gateway that never knew all grants holds none. Its record would hide that of its previous incarnation, which may.
	function mergeReport(epoch: number, {isWitness: knowsGrants, records, recovery}: GrantReport): void {
		for (const {key, record} of knowsGrants ? records : []) {
			if (key !== ownKey) {
				grants.merge(key, record);
			}
		}

		// Tokens may be reserved in an epoch that this gateway has not seen. A recovery of this epoch is read from the log.
		if (knowsGrants && recovery && recovery.epoch < epoch) {
			grants.putRecovery(recovery);
		}
	}

	async function fetchReports(epoch: number, reports: Map<string, GrantReport>): Promise<void> {
		const known = new Map(grants.listKeyed().map(({key, record}) => [key, record.sequence]));
		const addresses = new Map(listPossibleHolders().map(({daemon, address}) => [daemon, address]));
		await Promise.all([...addresses].filter(([daemon]) => !reports.has(daemon)).map(async ([daemon, address]) => {
			try {
				const report = await options.queryPeer(address, {epoch, known});
				reports.set(daemon, report);
				mergeReport(epoch, report);
			} catch (error) {
				events.write('peerSuspected', {peer: daemon, detail: (error as Error).message});
			}
		}));
	}

	// Appends on the condition that the log has not changed, so that a record of a holder does not replace a newer one.
	async function appendUnless(isDone: () => boolean, {key, value, epoch, signal}: {readonly key: string; readonly value: string; readonly epoch: number; readonly signal: AbortSignal}): Promise<boolean> {
		for (let attempt = 0; attempt < maxAppendAttempts; attempt += 1) {
			if (!await follower.catchUp(signal) || follower.getEpoch() !== epoch) {
				return false;
			}

			if (isDone()) {
				return true;
			}

			const outcome = await log.append({key, value}, {expectedEnd: follower.getNextOffset()!});
			if (outcome.kind === 'appended') {
				follower.recordEpoch(outcome.epoch);
				follower.applyOwnRecord({key, value, offset: outcome.offset}, outcome.epoch);
			}
		}

		return isDone();
	}

	async function appendLost(epoch: number, signal: AbortSignal): Promise<boolean> {
		for (const {key, record} of grants.listUnlogged()) {
			if (!await appendUnless(() => grants.isLogged(key), {
				key, value: JSON.stringify(record), epoch, signal,
			})) {
				return false;
			}
		}

		return true;
	}

	async function appendRecovery(recovery: RecoveryRecord, signal: AbortSignal): Promise<void> {
		const {epoch} = recovery;
		if (!await appendLost(epoch, signal)) {
			return;
		}

		const isRecovered = () => grants.getRecovery()?.epoch === epoch;
		await appendUnless(isRecovered, {
			key: `${keyPrefix}${epoch}`, value: JSON.stringify(recovery), epoch, signal,
		});
	}

	async function recoverGrants(epoch: number, signal: AbortSignal): Promise<void> {
		const startedAt = clock.now();
		const reports = new Map<string, GrantReport>();
		const listMissing = () => listMissingHolders(listPossibleHolders(), {reports, isPresumedFailed: options.isPresumedFailed});
		grants.merge(ownKey, options.buildOwnRecord());
		for (;;) {
			await fetchReports(epoch, reports);
			if (listMissing().length === 0 || clock.now() - startedAt >= reportTimeoutMs) {
				break;
			}

			await clock.sleep(roundIntervalMs, signal);
			if (signal.aborted || follower.getEpoch() !== epoch) {
				return;
			}
		}

		const missing = listMissing().map(holder => formatHolderKey(holder));
		await appendRecovery(buildRecoveryRecord(epoch, {missing, grants, table: findRouteTable()}), signal);
	}

	function computeRank(): number {
		return rankByRendezvous(`${keyPrefix}${follower.getEpoch()}`, [self.daemon, ...options.listPeers()]).indexOf(self.daemon);
	}

	function mayLead(waitedMs: number): boolean {
		return waitedMs >= (isWitness ? computeRank() * takeOverDelayMs : unknownGrantsTimeoutMs);
	}

	// An append of an earlier epoch that took effect late may have replaced a newer record of its holder.
	function isRepairDue(): boolean {
		if (follower.getEpoch() === undefined || grants.listUnlogged().length === 0) {
			repairDueAt = undefined;
			return false;
		}

		repairDueAt ??= clock.now() + (computeRank() * takeOverDelayMs);
		return clock.now() >= repairDueAt;
	}

	async function repairLog(signal: AbortSignal): Promise<void> {
		repairDueAt = clock.now() + takeOverDelayMs;
		await appendLost(follower.getEpoch()!, signal);
	}

	async function recoverIfDue(signal: AbortSignal): Promise<void> {
		if (!await follower.catchUp(signal) || checkComplete()) {
			return;
		}

		const epoch = follower.getEpoch();
		if (epoch === undefined || !findRouteTable() || !mayLead(clock.now() - incomplete!.since)) {
			return;
		}

		await (isWitness
			? recoverGrants(epoch, signal)
			: appendRecovery(buildUnknownGrantsRecord(epoch, {grants, table: findRouteTable()}), signal));
		checkComplete();
	}

	async function runRound(signal: AbortSignal): Promise<void> {
		if (!checkComplete()) {
			await recoverIfDue(signal);
		} else if (isRepairDue()) {
			await repairLog(signal);
		}
	}

	return {
		/** Returns true if the log that has been read has all grants as far as they are known, so that claims may be made. */
		checkComplete,

		/** Applies a recovery record read from the log; throws if it is malformed. */
		applyRecord({value}: StoredRecord): void {
			if (value !== undefined) {
				grants.putRecovery(recoveryRecordSchema.parse(JSON.parse(value)));
			}
		},

		/** Records that gossip was received from a gateway. */
		recordHeard({daemon, incarnation, address}: PossibleHolder): void {
			const known = heardHolders.get(daemon) ?? [];
			if (known.at(-1)?.incarnation !== incarnation) {
				heardHolders.set(daemon, [...known, {daemon, incarnation, address}].slice(-maxHeardIncarnations));
			}
		},

		/**
		 * Reports the grants that another gateway does not know. Claims of earlier
		 * epochs that are still pending do not count afterwards.
		 *
		 * @throws {RangeError} If the log has been restored again
		 */
		report({epoch, known}: GrantQuery): GrantReport {
			follower.recordEpoch(epoch);
			if (isWitness && follower.getEpoch() !== epoch) {
				throw new RangeError(`The log is at epoch ${follower.getEpoch()}, not at ${epoch}`);
			}

			const own = {key: ownKey, record: options.buildOwnRecord()};
			const others = grants.listKeyed().filter(({key, record}) => key !== ownKey && record.sequence > (known.get(key) ?? Number.NEGATIVE_INFINITY));
			return {
				incarnation: self.incarnation, isWitness, records: [own, ...others], recovery: grants.getRecovery(),
			};
		},

		/** Runs a round now: recovers the grants, or repairs the log, if this gateway is the one to do so. */
		runRound,

		async run(signal: AbortSignal): Promise<void> {
			while (!signal.aborted) {
				await runRound(signal);
				await clock.sleep(roundIntervalMs, signal);
			}
		},
	};
}
