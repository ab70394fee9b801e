/**
 * Writes the grants record of one gateway: claims the expected demand of the
 * next seconds in the log, and releases tokens that are idle.
 *
 * @module
 */
import type {EventLog, KeyedLog} from '../../protocol/mod.js';
import {
	getTokens, unstatedEpoch, type GrantRegistry, type HolderRecord, type RouteTable, type TokenAccount,
} from '../../state/mod.js';
import type {Clock} from '../../transport/mod.js';
import type {KeyedFollower} from '../store/keyed-follower.js';
import type {BudgetOwners} from './budget-owners.js';
import {createClaimDuration} from './claim-duration.js';
import type {Demand} from './demand.js';
import {computeGrant, type GrantTargetPolicy} from './grant-size.js';

/** Identity under which a gateway holds its grants. */
export type HolderIdentity = Pick<HolderRecord, 'role' | 'daemon' | 'incarnation' | 'address' | 'newsAddress' | 'failureDomain'>;

/** Options of {@linkcode createGrantWriter}. */
export type CreateGrantWriterOptions = {
	readonly self: HolderIdentity;
	readonly log: KeyedLog;
	readonly follower: KeyedFollower;
	readonly grants: GrantRegistry;
	readonly account: TokenAccount;
	readonly demand: Demand;
	/** Returns the routes and customers of the deployment in force; undefined before the first one is known. */
	readonly findRouteTable: () => RouteTable | undefined;
	/** Determines which gateway claims a customer's budget. */
	readonly owners: Pick<BudgetOwners, 'isOwner' | 'isSettled' | 'countClaimers' | 'refresh'>;
	/** Number of pending claims by customer, including customers whose budget another gateway owns. */
	readonly waitingClaims: ReadonlyMap<string, number>;
	/** Decides how many free tokens a grant should have. */
	readonly grantTargetPolicy: GrantTargetPolicy;
	/** Returns true if the log has all grants; it may lack some after it was restored from a backup. */
	readonly isLogComplete: () => boolean;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** Writes the grants record of one gateway. */
export type GrantWriter = ReturnType<typeof createGrantWriter>;

/** Attempts to append a record against concurrent writers before it is left to the next round. */
const maxAppendAttempts = 6;
const millisecondsPerSecond = 1000;

/**
 * Formats the key of an incarnation's record in the grants log.
 *
 * @example
 * ```ts
 * formatHolderKey({daemon: 'entry-1', incarnation: 'i-9'}); // 'entry-1/i-9'
 * ```
 *
 * @param holder The incarnation
 * @returns The key
 */
export function formatHolderKey(holder: Pick<HolderRecord, 'daemon' | 'incarnation'>): string {
	return `${holder.daemon}/${holder.incarnation}`;
}

/**
 * Creates a writer.
 *
 * @example
 * ```ts
 * const writer = createGrantWriter(options);
 * await writer.renew();
 * ```
 *
 * @param options The grants log, the token account and the demand
 * @returns The writer
 */
export function createGrantWriter(options: CreateGrantWriterOptions) {
	const {
		self, log, follower, grants, account, demand, owners, waitingClaims, findRouteTable, clock, events, signal,
	} = options;
	const key = formatHolderKey(self);
	let sequence = 0;
	const claimDuration = createClaimDuration(clock);
	/** Duration of the last claim. */
	let lastClaimMs = 0;
	/** Appends of the last claim, including those that another writer preceded. */
	let claimAttempts = 0;
	let roundStartedAt: number | undefined;
	let isEnding = false;
	let hasRestoredRates = false;
	let activeRound: Promise<void> | undefined;

	// Restores the rates of the previous incarnation, so that the first claim covers all customers. When all gateways lose
	// power at once, callers of every customer retry together; if each first request needed its own claim, the colliding
	// claims would take 50 to 600 ms each for two seconds.
	function restoreRates(): void {
		if (hasRestoredRates) {
			return;
		}

		hasRestoredRates = true;
		for (const [customer, rate] of Object.entries(grants.findPredecessor(self.daemon, self.incarnation)?.rates ?? {})) {
			if (demand.findRate(customer) === 0) {
				demand.setRate(customer, rate / millisecondsPerSecond);
			}
		}
	}

	function computeGrantTotal(customer: string, bought: number): number {
		const {granted} = account.get(customer);
		const isOwner = owners.isOwner(customer);
		return computeGrant({
			granted,
			bound: account.countCommittedTokens(customer),
			free: account.countFreeTokens(customer),
			wanted: isOwner || waitingClaims.has(customer) ? demand.countWanted(customer) : 0,
			// Tokens of a budget that another gateway owns are borrowed on demand, not claimed ahead.
			rate: isOwner ? demand.findRate(customer) : 0,
			claimDurationMs: claimDuration.getMs(),
			available: bought - grants.sumGranted(customer, key),
			ungranted: bought - grants.sumGranted(customer),
			bought,
			claimers: owners.countClaimers(),
			isKnownClaimer: isOwner && owners.isSettled(),
			observedMs: demand.computeObservedMs(customer),
			isEnding,
		}, options.grantTargetPolicy);
	}

	const getEpoch = () => follower.getEpoch() ?? unstatedEpoch;

	// Tokens are reserved for this gateway until it has written a record since the recovery.
	function isMissing(): boolean {
		return grants.listMissing().includes(key) && grants.get(key)?.epoch !== getEpoch();
	}

	// Returns the next record, or undefined if nothing changes or another writer has seen a newer deployment, in which
	// budgets may have been lowered.
	function buildNextRecord(): HolderRecord | undefined {
		const table = findRouteTable();
		if (!table || grants.findNewestVersion() > table.version) {
			return undefined;
		}

		restoreRates();
		const granted = new Map<string, number>();
		const rates = new Map<string, number>();
		let hasChanged = !grants.isLogged(key) || isMissing() || (isEnding && !grants.get(key)!.hasEnded);
		for (const customer of new Set([...account.listCustomers(), ...(table.deployment.customers ?? []).map(({id}) => id)])) {
			const bought = table.findCustomer(customer)?.bought;
			// Compares with the total in the log, because a decrease takes effect in the account before it is appended.
			const recordedTotal = getTokens(grants.get(key)?.granted, customer);
			grants.reserveForUnreadable(customer, bought ?? 0);
			const nextTotal = bought === undefined ? account.get(customer).granted : computeGrantTotal(customer, bought);
			hasChanged ||= nextTotal !== recordedTotal;
			if (nextTotal > 0) {
				granted.set(customer, nextTotal);
				// The rate is negative when large reservations are settled with much smaller amounts.
				rates.set(customer, Math.max(0, Math.round(demand.findRate(customer) * millisecondsPerSecond)));
			}
		}

		return hasChanged
			? {
				...self, version: table.version, sequence: sequence + 1, granted: Object.fromEntries(granted), rates: Object.fromEntries(rates), hasEnded: isEnding, epoch: getEpoch(),
			}
			: undefined;
	}

	// Removes released tokens from the account before the record is appended: if the answer is lost, the record may be in
	// the log, and other gateways may claim the tokens.
	function applyDecreases(record: HolderRecord): void {
		for (const customer of account.listCustomers()) {
			const next = getTokens(record.granted, customer);
			if (next < account.get(customer).granted) {
				account.setGranted(customer, next);
			}
		}
	}

	// Reads the log before each claim, and whenever a request lacks tokens. A round that changes nothing does not read,
	// because the follower's own reads bring the records of other writers.
	async function tryWriteRecord(): Promise<'done' | 'again'> {
		const canSkipRead = follower.getNextOffset() !== undefined && waitingClaims.size === 0;
		if ((canSkipRead && !buildNextRecord()) || !await follower.catchUp(signal) || !options.isLogComplete()) {
			return 'done';
		}

		owners.refresh();
		const record = buildNextRecord();
		const nextOffset = follower.getNextOffset();
		if (!record || nextOffset === undefined) {
			return 'done';
		}

		sequence = record.sequence;
		applyDecreases(record);
		const value = JSON.stringify(record);
		const outcome = await log.append({key, value}, {expectedEnd: nextOffset});
		switch (outcome.kind) {
			case 'appended': {
				lastClaimMs = clock.now() - (roundStartedAt ?? clock.now());
				claimDuration.record(lastClaimMs);
				follower.recordEpoch(outcome.epoch);
				follower.applyOwnRecord({key, value, offset: outcome.offset}, outcome.epoch);
				return 'done';
			}

			case 'behind': {
				follower.recordEpoch(outcome.epoch);
				return 'again';
			}

			case 'unknown':
			case 'refused': {
				events.write('answerLost', {log: log.name, kind: outcome.kind, detail: outcome.failure.detail});
				return 'again';
			}
		}
	}

	async function writeGrants(): Promise<void> {
		for (let attempt = 0; attempt < maxAppendAttempts && !signal.aborted; attempt += 1) {
			claimAttempts = attempt + 1;
			if (await tryWriteRecord() === 'done') {
				return;
			}
		}
	}

	// Runs one round at a time; concurrent calls wait for the same round.
	async function renewGrants(): Promise<void> {
		activeRound ??= (async () => {
			roundStartedAt = clock.now();
			try {
				await writeGrants();
			} finally {
				activeRound = undefined;
				roundStartedAt = undefined;
			}
		})();
		return activeRound;
	}

	return {
		/** Applies a record of this gateway that was read back or confirmed; its increases may not be used before. */
		applyOwnRecord(record: HolderRecord): void {
			// Computed in another epoch, in which others held other totals, or superseded by what this gateway has sent since.
			if (record.epoch !== getEpoch() || record.sequence < sequence) {
				return;
			}

			for (const customer of new Set([...account.listCustomers(), ...Object.keys(record.granted)])) {
				account.setGranted(customer, getTokens(record.granted, customer));
			}

			sequence = Math.max(sequence, record.sequence);
			events.write('grantClaimed', {
				sequence: record.sequence, version: record.version, granted: JSON.stringify(record.granted), ms: Math.round(lastClaimMs), expectedMs: Math.round(claimDuration.getMs()), attempts: claimAttempts,
			});
		},

		/** Builds a record of what this gateway holds that supersedes all that it has sent, whether or not it was appended. */
		buildOwnRecord(): HolderRecord {
			sequence += 1;
			const granted = account.listCustomers().map(customer => [customer, account.get(customer).granted] as const).filter(([, tokens]) => tokens > 0);
			return {
				...self, version: Math.max(findRouteTable()?.version ?? 0, grants.get(key)?.version ?? 0), sequence, granted: Object.fromEntries(granted), hasEnded: grants.get(key)?.hasEnded ?? false, epoch: grants.get(key)?.epoch,
			};
		},

		/** Runs a round now: claims the demand of the next seconds and releases idle tokens. */
		renew: renewGrants,

		/** Returns the milliseconds that recent claims took, or that the running one has taken if that is more. */
		getClaimDurationMs: (): number => Math.max(claimDuration.getMs(), roundStartedAt === undefined ? 0 : clock.now() - roundStartedAt),

		/** Releases all unused tokens, when the gateway stops. */
		async releaseUnused(): Promise<void> {
			isEnding = true;
			await activeRound;
			await renewGrants();
		},
	};
}
