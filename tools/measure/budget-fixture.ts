/**
 * Runs the grant modules of several entry daemons in one process and in virtual
 * time, with a fake log, fake connections between daemons and one upstream
 * daemon. Used to compare grant policies.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import {
	createEnrolment, createGrantManager, createLoanManager, createLogFollower, createLogWriter, createMembership, createReceiptReporter, createReclaimer,
	type GrantPolicy, type LoanManager, type LogFollower, type Self,
} from '../../src/coordination/mod.js';
import {
	Err, Ok, createEventLog, createFailure, createId, type Change, type Join, type LogEntry, type LogRecord,
} from '../../src/protocol/mod.js';
import {allocateShares, createGrantHolder, createRequestTable} from '../../src/state/mod.js';
import type {
	FleetClient, HostListClient, LogClient, PeerConnection,
} from '../../src/transport/mod.js';
import {createVirtualTime, type VirtualTime} from './virtual-clock.js';

/** ID of the only budget. */
export const measuredBudgetId = 'b1';

/** Options of {@linkcode createBudgetFixture}. */
export type CreateBudgetFixtureOptions = {
	/** Number of entry daemons. */
	readonly entries: number;
	/** Tokens bought. */
	readonly tokens: number;
	readonly weighs: 'refusals' | 'overspend';
	readonly createPolicy: () => GrantPolicy;
	/** False for the baseline policies, which use neither loans nor reclaims. */
	readonly canLendAndReclaim: boolean;
};

/** A caller's request; costs in tokens. */
export type SimulatedRequest = {
	/** Tokens to reserve. */
	readonly maxCost: number;
	/** Tokens billed in the end. */
	readonly cost: number;
	/** Time that the upstream takes. */
	readonly durationMs: number;
	/** Longest wait for tokens. */
	readonly timeoutMs: number;
};

const retentionMs = 3_600_000;
const appendLatencyMs = 2;
const hopLatencyMs = 1;
const suspectTimeoutMs = 3000;
const hostListDelayMs = 2000;

/** Faults in effect; the sets contain daemon IDs. */
type ActiveFaults = {isLogDown: boolean; readonly partitioned: Set<string>; readonly killed: Set<string>; readonly paused: Set<string>};

/** @internal */
function createFakeLog(time: VirtualTime, activeFaults: ActiveFaults) {
	const entries: LogEntry[] = [];
	const waiters = new Set<() => void>();
	const counts = {appends: 0, bytes: 0};

	function appendRecords(records: readonly LogRecord[]): void {
		for (const data of records) {
			entries.push({offset: entries.length, at: time.now(), data});
		}

		for (const wake of waiters) {
			wake();
		}

		waiters.clear();
	}

	function isUnavailable(daemonId: string): boolean {
		return activeFaults.isLogDown || activeFaults.partitioned.has(daemonId) || activeFaults.killed.has(daemonId);
	}

	return {
		entries, counts, appendRecords,
		createClient(daemonId: string): LogClient {
			const createUnavailableFailure = () => createFailure('log-unavailable', 'The log is unavailable');
			return {
				async append(records) {
					await time.sleep(appendLatencyMs);
					if (isUnavailable(daemonId)) {
						return Err(createUnavailableFailure());
					}

					counts.appends += 1;
					counts.bytes += Buffer.byteLength(JSON.stringify(records));
					appendRecords(records);
					return Ok(undefined);
				},
				async read(from, options = {}) {
					await time.sleep(hopLatencyMs);
					if (from >= entries.length && (options.waitMs ?? 0) > 0 && !isUnavailable(daemonId)) {
						await Promise.race([new Promise<void>(resolve => {
							waiters.add(resolve);
						}), time.sleep(options.waitMs!)]);
					}

					return isUnavailable(daemonId)
						? Err({kind: 'away' as const, failure: createUnavailableFailure()})
						: Ok({records: entries.slice(from, from + 1000), first: 0, next: entries.length});
				},
				async close() {
					waiters.clear();
				},
			};
		},
	};
}

type SimulatedDaemon = {readonly id: string; readonly self: Self; readonly follower: LogFollower; readonly loans?: LoanManager};

/** @internal */
function createFakeFleetClient(from: string, daemons: Map<string, SimulatedDaemon>, {time, activeFaults}: {time: VirtualTime; activeFaults: ActiveFaults}): FleetClient {
	async function findReachableDaemon(address: string): Promise<SimulatedDaemon> {
		await time.sleep(hopLatencyMs);
		const daemon = daemons.get(address);
		const isUnreachable = activeFaults.partitioned.has(from) !== activeFaults.partitioned.has(address) || activeFaults.killed.has(address) || activeFaults.paused.has(address);
		if (!daemon || (isUnreachable && address !== from)) {
			await time.sleep(hopLatencyMs);
			throw new Error('The peer cannot be reached');
		}

		return daemon;
	}

	const connect = (address: string) => ({
		peer: {
			async heartbeat() {
				const {self, follower} = await findReachableDaemon(address);
				return {
					id: self.id, incarnation: self.incarnation, role: self.role, leaving: false, nextOffset: follower.state().getNextOffset(), version: 0,
				};
			},
			async records({from: offset}: {from: number}) {
				const {follower} = await findReachableDaemon(address);
				return {records: follower.listRecent(offset).entries.map(entry => JSON.stringify(entry)), snapshot: ''};
			},
			async borrow(request: Parameters<LoanManager['lend']>[0]) {
				const daemon = await findReachableDaemon(address);
				return daemon.loans!.lend(request);
			},
			async repay(request: {loan: string; unspent: Array<{grant: string; amount: number}>}) {
				const daemon = await findReachableDaemon(address);
				daemon.loans!.acceptRepayment(request.loan, request.unspent);
				return {};
			},
		},
		abandon: () => undefined,
	}) as unknown as PeerConnection;
	return {connect, close: () => undefined};
}

/** @internal */
function createDaemonModules(id: string, role: 'entry' | 'upstream', options: {time: VirtualTime; log: LogClient; fleet: FleetClient; hostList: HostListClient}) {
	const clock = options.time.createPausableClock();
	const events = createEventLog(id);
	const self: Self = {
		id, role, incarnation: createId('i'), isLeaving: false,
	};
	const follower = createLogFollower({
		log: options.log, clock, events, windowMs: retentionMs, fetchFromPeers: async from => membership.fetchRecords(from),
	});
	const membership = createMembership({
		self, fleet: options.fleet, clock, events, seeds: [], hostList: options.hostList, hostListIntervalMs: 1000, heartbeatIntervalMs: 500, suspectTimeoutMs,
		listMembers: () => follower.state().placement.list(),
		getNextOffset: () => follower.state().getNextOffset(),
	});
	const writer = createLogWriter({
		log: options.log, follower, clock, events,
	});
	const join: Omit<Join, 'kind' | 'daemon' | 'incarnation' | 'role'> = {
		address: id, failureDomain: 'd', serves: ['m'], work: role === 'entry' ? 'none' : 'model',
	};
	const enrolment = createEnrolment({
		self, join, follower, writer, clock, events, onSuperseded: () => undefined,
	});
	const abortController = new AbortController();
	// Every request of an entry daemon listens to this signal, which exceeds the default listener limit.
	setMaxListeners(0, abortController.signal);
	for (const task of [follower, membership, enrolment]) {
		void task.run(abortController.signal);
	}

	return {
		id, self, clock, events, follower, membership, writer, abortController,
	};
}

/** The simulated daemons, log and faults of one scenario. */
export type BudgetFixture = Awaited<ReturnType<typeof createBudgetFixture>>;

/**
 * Creates a fixture and runs it until its daemons have joined and its budget has been bought.
 *
 * @example
 * ```ts
 * const fixture = await createBudgetFixture({entries: 4, tokens: 1e6, weighs: 'refusals', createPolicy, canLendAndReclaim: true});
 * ```
 *
 * @param options Number of entry daemons, budget and policy
 * @returns The fixture
 */
export async function createBudgetFixture(options: CreateBudgetFixtureOptions) {
	const time = createVirtualTime();
	const activeFaults: ActiveFaults = {
		isLogDown: false, partitioned: new Set(), killed: new Set(), paused: new Set(),
	};
	const log = createFakeLog(time, activeFaults);
	const daemons = new Map<string, SimulatedDaemon>();
	const changes: Change[] = [
		{change: 'put-customer', customer: {id: 'c1', priority: 5}},
		{change: 'put-budget', budget: {id: measuredBudgetId, customer: 'c1', weighs: options.weighs}},
		{change: 'top-up', budget: measuredBudgetId, tokens: options.tokens},
	];
	log.appendRecords([{
		kind: 'plan', plan: 'p', basis: 0, by: 'm', changes,
	}, {kind: 'confirm', plan: 'p', by: 'm'}]);

	// Partitioned and paused entry daemons stay on the host list; killed ones are removed after a delay.
	const listedHosts = new Set<string>(['up', ...Array.from({length: options.entries}, (_, index) => `e${index}`)]);
	const hostList: HostListClient = {
		fetch: async () => Ok({hosts: [...listedHosts].map(id => ({id, state: 'live' as const}))}),
		close: async () => undefined,
	};
	const upstream = createDaemonModules('up', 'upstream', {
		time, log: log.createClient('up'), fleet: createFakeFleetClient('up', daemons, {time, activeFaults}), hostList,
	});
	const table = createRequestTable({maxAnswerBytes: 1000});
	const reporter = createReceiptReporter({...upstream, table, intervalMs: 500});
	void reporter.run(upstream.abortController.signal);
	daemons.set('up', upstream);

	function createEntry(id: string) {
		const fleet = createFakeFleetClient(id, daemons, {time, activeFaults});
		const modules = createDaemonModules(id, 'entry', {
			time, log: log.createClient(id), fleet, hostList,
		});
		const holder = createGrantHolder();
		const loans = createLoanManager({
			...modules, holder, fleet, listMembers: () => modules.follower.state().placement.list(), listWaitingAmounts: budget => manager.listWanted(budget),
		});
		const manager = createGrantManager({
			...modules, holder, policy: options.createPolicy(), intervalMs: 250,
			loans: options.canLendAndReclaim ? loans : {...loans, borrow: async () => ({reserved: 0, isComplete: true})},
		});
		void manager.run(modules.abortController.signal);
		if (options.canLendAndReclaim) {
			void createReclaimer({...modules, wasInsufficient: manager.wasInsufficient, findLentTo: loans.findGrantsLentTo}).run(modules.abortController.signal);
		}

		daemons.set(id, {...modules, loans});
		return {...modules, holder, manager};
	}

	async function removeFromHostList(id: string): Promise<void> {
		await time.sleep(hostListDelayMs);
		listedHosts.delete(id);
	}

	const entries = Array.from({length: options.entries}, (_, index) => createEntry(`e${index}`));
	await time.runUntil(5000);

	return {
		time, log, activeFaults, entries,
		/** Runs a request at an entry daemon; returns true if it was served. */
		async serve(index: number, request: SimulatedRequest): Promise<boolean> {
			const entry = entries[index]!;
			const reservation = await entry.manager.acquire(measuredBudgetId, request.maxCost, {timeoutMs: request.timeoutMs, signal: entry.abortController.signal});
			if (reservation.err) {
				return false;
			}

			const {shares} = reservation.val;
			await time.sleep(hopLatencyMs);
			if (reporter.findFencedGrant(shares, entry.follower.state().getNextOffset()) !== undefined) {
				entry.manager.settle(reservation.val, []);
				return false;
			}

			const tracked = table.open(createId('r'), {
				attempt: 1, incarnation: upstream.self.incarnation, payloadDigest: '', shares,
			});
			await time.sleep(request.durationMs);
			const billed = allocateShares(shares, request.cost);
			reporter.add(upstream.self.incarnation, {request: tracked.id, attempt: 1, shares: billed});
			table.remove(tracked);
			if (!activeFaults.killed.has(entry.id)) {
				entry.manager.settle(reservation.val, billed);
			}

			return !activeFaults.killed.has(entry.id);
		},
		/** Stops an entry daemon permanently, without releasing its grants. */
		kill(index: number): void {
			const entry = entries[index]!;
			activeFaults.killed.add(entry.id);
			entry.abortController.abort();
			void removeFromHostList(entry.id);
		},
		setPaused(index: number, isPaused: boolean): void {
			const entry = entries[index]!;
			entry.clock.setPaused(isPaused);
			if (isPaused) {
				activeFaults.paused.add(entry.id);
			} else {
				activeFaults.paused.delete(entry.id);
			}
		},
		/** Counts unspent tokens in grants that are closed but not yet reported, or whose holder is killed, partitioned or paused. */
		countLockedTokens(): number {
			let lockedTokens = 0;
			for (const grant of upstream.follower.state().ledger.listGrants()) {
				const isHolderUnavailable = activeFaults.killed.has(grant.daemon) || activeFaults.partitioned.has(grant.daemon) || activeFaults.paused.has(grant.daemon);
				lockedTokens += isHolderUnavailable || grant.waitsFor ? Math.max(0, grant.amount - grant.receipted) : 0;
			}

			return lockedTokens;
		},
		stop(): void {
			for (const daemon of [upstream, ...entries]) {
				daemon.abortController.abort();
			}
		},
	};
}
