/**
 * Decisions of the recovery of grants after the log was restored from a backup,
 * without network or time: whether the log is complete, which holders are
 * missing, and what is reserved for them.
 *
 * @module
 */
import type {LogEpoch} from '../../protocol/mod.js';
import {
	anyHolder, getTokens, type GrantRegistry, type HolderRecord, type KeyedHolder, type RecoveryRecord, type RouteTable,
} from '../../state/mod.js';

/** What another gateway reports of the grants. */
export type GrantReport = {
	readonly incarnation: string;
	/** True if it has known all grants before the log was restored, apart from those of later claims of others. */
	readonly isWitness: boolean;
	/** Records that the caller lacks, its own first. */
	readonly records: readonly KeyedHolder[];
	/** The end of the last recovery that it knows. */
	readonly recovery?: RecoveryRecord;
};

/** Options of {@linkcode isLogComplete}. */
export type IsLogCompleteOptions = {
	readonly grants: Pick<GrantRegistry, 'getRecovery' | 'hasWriterOf' | 'statesEpochs' | 'list'>;
	/** True if the whole fleet starts for the first time, so that nothing can have been granted before. */
	readonly isFirstStart: boolean;
	/** True if this gateway knew all grants in an earlier epoch. */
	readonly isWitness: boolean;
};

/**
 * Returns true if a log that has been read to its end has all grants.
 *
 * Only writers that know all grants write in an epoch, so that one record of the
 * epoch shows that the log was recovered. Records of gateways that do not know
 * epochs show nothing; where there are no others, the log counts as complete.
 *
 * @example
 * ```ts
 * isLogComplete(2, {grants, isFirstStart: false, isWitness: true});
 * ```
 *
 * @param epoch The log's epoch; undefined if it does not state it
 * @param options What is known of the grants
 * @returns True if claims may be made
 */
export function isLogComplete(epoch: LogEpoch, {grants, isFirstStart, isWitness}: IsLogCompleteOptions): boolean {
	if (epoch === undefined || grants.getRecovery()?.epoch === epoch) {
		return true;
	}

	if (isWitness) {
		return false;
	}

	return isFirstStart || grants.hasWriterOf(epoch) || (grants.list().length > 0 && !grants.statesEpochs());
}

/** An incarnation of another gateway that may hold grants. */
export type PossibleHolder = Pick<HolderRecord, 'daemon' | 'incarnation' | 'address'>;

/** Options of {@linkcode listMissingHolders}. */
export type ListMissingHoldersOptions = {
	/** Reports by gateway. */
	readonly reports: ReadonlyMap<string, GrantReport>;
	/** Returns true for a gateway that has not been heard from for so long that its last claims were read before the log was restored. */
	readonly isPresumedFailed: (daemon: string) => boolean;
};

/** @internal A gateway that has always known all grants also knows those of its earlier incarnations. */
function isAccountedFor({incarnation}: PossibleHolder, report: GrantReport | undefined): boolean {
	return report !== undefined && (report.isWitness ? report.incarnation >= incarnation : report.incarnation === incarnation);
}

/**
 * Lists the holders whose last grants may be unknown: gateways that ran recently
 * and have not reported. One that was restarted after the log was restored holds
 * nothing, but does not know what its previous incarnation held.
 *
 * @example
 * ```ts
 * listMissingHolders(holders, {reports, isPresumedFailed});
 * ```
 *
 * @param holders Incarnations of other gateways that may hold grants
 * @param options The reports
 * @returns The missing holders
 */
export function listMissingHolders<Holder extends PossibleHolder>(holders: readonly Holder[], {reports, isPresumedFailed}: ListMissingHoldersOptions): Holder[] {
	return holders.filter(holder => !isAccountedFor(holder, reports.get(holder.daemon)) && !isPresumedFailed(holder.daemon));
}

/** Options of {@linkcode buildRecoveryRecord}. */
export type BuildRecoveryRecordOptions = {
	readonly missing: readonly string[];
	readonly grants: Pick<GrantRegistry, 'getRecovery' | 'listKeyed' | 'listMissing' | 'sumGranted'>;
	readonly table: RouteTable | undefined;
};

/**
 * Builds the record that ends a recovery. Missing holders may have been granted
 * all that is not known to be granted; what is bought later remains available.
 *
 * @example
 * ```ts
 * buildRecoveryRecord(2, {missing: [], grants, table});
 * ```
 *
 * @param epoch The log's epoch
 * @param options The missing holders and the known grants
 * @returns The record
 */
export function buildRecoveryRecord(epoch: number, {missing, grants, table}: BuildRecoveryRecordOptions): RecoveryRecord {
	const stillMissing = grants.listMissing();
	const holdersOfGrants = grants.listKeyed().filter(({record}) => record.role === 'gateway');
	const sequences = Object.fromEntries(holdersOfGrants.map(({key, record}) => [key, record.sequence]));
	if (missing.length === 0) {
		return {
			epoch, reserved: stillMissing.length > 0 ? grants.getRecovery()!.reserved : {}, missing: [...stillMissing], sequences,
		};
	}

	const reserved = new Map<string, number>();
	for (const {id, bought} of table?.deployment.customers ?? []) {
		const earlier = stillMissing.length > 0 ? getTokens(grants.getRecovery()!.reserved, id) : 0;
		reserved.set(id, earlier + Math.max(0, (bought ?? 0) - grants.sumGranted(id)));
	}

	return {
		epoch, reserved: Object.fromEntries(reserved), missing: [...new Set([...stillMissing, ...missing])], sequences,
	};
}

/**
 * Builds the record that ends a recovery in which no gateway remembers the
 * grants.
 *
 * @example
 * ```ts
 * buildUnknownGrantsRecord(2, {grants, table});
 * ```
 *
 * @param epoch The log's epoch
 * @param options The known grants
 * @returns The record
 */
export function buildUnknownGrantsRecord(epoch: number, options: Omit<BuildRecoveryRecordOptions, 'missing'>): RecoveryRecord {
	return buildRecoveryRecord(epoch, {...options, missing: [anyHolder]});
}

/** Options of {@linkcode listUncoveredTokens}. */
export type ComputeCoveredOptions = {
	readonly recovery: RecoveryRecord;
	/** Key of this gateway's record. */
	readonly key: string;
	/** The newest record of this gateway that is in the log. */
	readonly logged: HolderRecord | undefined;
};

/**
 * Returns the total that a gateway may keep of a customer's budget once the
 * recovery has ended: what the log counts, or all that it holds if the recovery
 * reserved tokens for it.
 *
 * @example
 * ```ts
 * computeCovered(500, 'city-1', {recovery, key, logged});
 * ```
 *
 * @param granted Total that the gateway holds
 * @param customer The customer
 * @param options The recovery and the log's record of the gateway
 * @returns The total that others count
 */
export function computeCovered(granted: number, customer: string, {recovery, key, logged}: ComputeCoveredOptions): number {
	const isReservedFor = recovery.missing.includes(key) || recovery.missing.includes(anyHolder);
	return isReservedFor ? granted : Math.min(granted, getTokens(logged?.granted, customer));
}
