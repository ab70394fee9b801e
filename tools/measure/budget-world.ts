/**
 * Entry daemons' own grant modules over small in-process fakes of the log, the
 * wire and one upstream daemon, for measuring grant policies.
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

/** The customer's only budget. */
export const measuredBudget = 'b1';

/** Options of {@linkcode createBudgetWorld}. */
export type CreateBudgetWorldOptions = {
	readonly entries: number;
	readonly tokens: number;
	readonly weighs: 'refusals' | 'overspend';
	readonly createPolicy: () => GrantPolicy;
	/** False for baselines, which neither lend nor reclaim. */
	readonly cooperates: boolean;
};

/** A call of a caller. */
export type MeasuredCall = {readonly worst: number; readonly cost: number; readonly span: number; readonly patience: number};

const window = 3_600_000;
const appendSpan = 2;
const hopSpan = 1;
const suspectAfter = 3000;
const hostListLag = 2000;

type Links = {isLogDown: boolean; readonly cut: Set<string>; readonly dead: Set<string>; readonly paused: Set<string>};

/** @internal */
function createFakeLog(time: VirtualTime, links: Links) {
	const entries: LogEntry[] = [];
	const waiters = new Set<() => void>();
	const counts = {appends: 0, bytes: 0};

	function put(records: readonly LogRecord[]): void {
		for (const data of records) {
			entries.push({offset: entries.length, at: time.now(), data});
		}

		for (const wake of waiters) {
			wake();
		}

		waiters.clear();
	}

	function isAway(daemon: string): boolean {
		return links.isLogDown || links.cut.has(daemon) || links.dead.has(daemon);
	}

	return {
		entries, counts, put,
		createClient(daemon: string): LogClient {
			const away = () => createFailure('log-unavailable', 'The log is away');
			return {
				async append(records) {
					await time.sleep(appendSpan);
					if (isAway(daemon)) {
						return Err(away());
					}

					counts.appends += 1;
					counts.bytes += Buffer.byteLength(JSON.stringify(records));
					put(records);
					return Ok(undefined);
				},
				async read(from, options = {}) {
					await time.sleep(hopSpan);
					if (from >= entries.length && (options.waitMs ?? 0) > 0 && !isAway(daemon)) {
						await Promise.race([new Promise<void>(resolve => {
							waiters.add(resolve);
						}), time.sleep(options.waitMs!)]);
					}

					return isAway(daemon)
						? Err({kind: 'away' as const, failure: away()})
						: Ok({records: entries.slice(from, from + 1000), first: 0, next: entries.length});
				},
				async close() {
					waiters.clear();
				},
			};
		},
	};
}

type Actor = {readonly id: string; readonly self: Self; readonly follower: LogFollower; readonly loans?: LoanManager};

/** @internal */
function createFakeFleet(from: string, actors: Map<string, Actor>, {time, links}: {time: VirtualTime; links: Links}): FleetClient {
	async function reach(address: string): Promise<Actor> {
		await time.sleep(hopSpan);
		const actor = actors.get(address);
		const isCut = links.cut.has(from) !== links.cut.has(address) || links.dead.has(address) || links.paused.has(address);
		if (!actor || (isCut && address !== from)) {
			await time.sleep(hopSpan);
			throw new Error('The peer cannot be reached');
		}

		return actor;
	}

	const connect = (address: string) => ({
		peer: {
			async heartbeat() {
				const {self, follower} = await reach(address);
				return {
					id: self.id, incarnation: self.incarnation, role: self.role, leaving: false, nextOffset: follower.state().getNextOffset(), version: 0,
				};
			},
			async records({from: offset}: {from: number}) {
				const {follower} = await reach(address);
				return {records: follower.listRecent(offset).entries.map(entry => JSON.stringify(entry)), snapshot: ''};
			},
			async borrow(request: Parameters<LoanManager['lend']>[0]) {
				const actor = await reach(address);
				return actor.loans!.lend(request);
			},
			async repay(request: {loan: string; unspent: Array<{grant: string; amount: number}>}) {
				const actor = await reach(address);
				actor.loans!.acceptRepayment(request.loan, request.unspent);
				return {};
			},
		},
		abandon: () => undefined,
	}) as unknown as PeerConnection;
	return {connect, close: () => undefined};
}

/** @internal */
function createDaemonParts(id: string, role: 'entry' | 'upstream', options: {time: VirtualTime; log: LogClient; fleet: FleetClient; hostList: HostListClient}) {
	const clock = options.time.createActorClock();
	const events = createEventLog(id);
	const self: Self = {
		id, role, incarnation: createId('i'), isLeaving: false,
	};
	const follower = createLogFollower({
		log: options.log, clock, events, windowMs: window, fetchFromPeers: async from => membership.fetchRecords(from),
	});
	const membership = createMembership({
		self, fleet: options.fleet, clock, events, seeds: [], hostList: options.hostList, hostListIntervalMs: 1000, heartbeatIntervalMs: 500, suspectTimeoutMs: suspectAfter,
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
	const stopper = new AbortController();
	// Every call of the entry waits on this one signal.
	setMaxListeners(0, stopper.signal);
	for (const task of [follower, membership, enrolment]) {
		void task.run(stopper.signal);
	}

	return {
		id, self, clock, events, follower, membership, writer, stopper,
	};
}

/** The world of one scenario. */
export type BudgetWorld = Awaited<ReturnType<typeof createBudgetWorld>>;

/**
 * Creates a world whose daemons have joined and whose budget is bought.
 *
 * @example
 * ```ts
 * const world = await createBudgetWorld({entries: 4, tokens: 1e6, weighs: 'refusals', createPolicy, cooperates: true});
 * ```
 *
 * @param options Size, budget and policy
 * @returns The world
 */
export async function createBudgetWorld(options: CreateBudgetWorldOptions) {
	const time = createVirtualTime();
	const links: Links = {
		isLogDown: false, cut: new Set(), dead: new Set(), paused: new Set(),
	};
	const log = createFakeLog(time, links);
	const actors = new Map<string, Actor>();
	const changes: Change[] = [
		{change: 'put-customer', customer: {id: 'c1', priority: 5}},
		{change: 'put-budget', budget: {id: measuredBudget, customer: 'c1', weighs: options.weighs}},
		{change: 'top-up', budget: measuredBudget, tokens: options.tokens},
	];
	log.put([{
		kind: 'plan', plan: 'p', basis: 0, by: 'm', changes,
	}, {kind: 'confirm', plan: 'p', by: 'm'}]);

	// The host list names an entry that is cut off or paused, and drops a dead one late.
	const listed = new Set<string>(['up', ...Array.from({length: options.entries}, (_, index) => `e${index}`)]);
	const hostList: HostListClient = {
		fetch: async () => Ok({hosts: [...listed].map(id => ({id, state: 'live' as const}))}),
		close: async () => undefined,
	};
	const upstream = createDaemonParts('up', 'upstream', {
		time, log: log.createClient('up'), fleet: createFakeFleet('up', actors, {time, links}), hostList,
	});
	const table = createRequestTable({maxAnswerBytes: 1000});
	const reporter = createReceiptReporter({...upstream, table, intervalMs: 500});
	void reporter.run(upstream.stopper.signal);
	actors.set('up', upstream);

	function createEntry(id: string) {
		const fleet = createFakeFleet(id, actors, {time, links});
		const parts = createDaemonParts(id, 'entry', {
			time, log: log.createClient(id), fleet, hostList,
		});
		const holder = createGrantHolder();
		const loans = createLoanManager({
			...parts, holder, fleet, listMembers: () => parts.follower.state().placement.list(), listWaitingAmounts: budget => keeper.listWanted(budget),
		});
		const keeper = createGrantManager({
			...parts, holder, policy: options.createPolicy(), intervalMs: 250,
			loans: options.cooperates ? loans : {...loans, borrow: async () => ({reserved: 0, isComplete: true})},
		});
		void keeper.run(parts.stopper.signal);
		if (options.cooperates) {
			void createReclaimer({...parts, wasInsufficient: keeper.wasInsufficient, findLentTo: loans.findGrantsLentTo}).run(parts.stopper.signal);
		}

		actors.set(id, {...parts, loans});
		return {...parts, holder, keeper};
	}

	async function dropFromHostList(id: string): Promise<void> {
		await time.sleep(hostListLag);
		listed.delete(id);
	}

	const entries = Array.from({length: options.entries}, (_, index) => createEntry(`e${index}`));
	await time.runUntil(5000);

	return {
		time, log, links, entries,
		/** Serves one call at one entry; true when it was served. */
		async serve(index: number, call: MeasuredCall): Promise<boolean> {
			const entry = entries[index]!;
			const reserved = await entry.keeper.acquire(measuredBudget, call.worst, {timeoutMs: call.patience, signal: entry.stopper.signal});
			if (reserved.err) {
				return false;
			}

			const {shares} = reserved.val;
			await time.sleep(hopSpan);
			if (reporter.findFencedGrant(shares, entry.follower.state().getNextOffset()) !== undefined) {
				entry.keeper.settle(reserved.val, []);
				return false;
			}

			const request = table.open(createId('r'), {
				attempt: 1, incarnation: upstream.self.incarnation, payloadDigest: '', shares,
			});
			await time.sleep(call.span);
			const billed = allocateShares(shares, call.cost);
			reporter.add(upstream.self.incarnation, {request: request.id, attempt: 1, shares: billed});
			table.remove(request);
			if (!links.dead.has(entry.id)) {
				entry.keeper.settle(reserved.val, billed);
			}

			return !links.dead.has(entry.id);
		},
		/** Stops an entry for good, with whatever it holds. */
		kill(index: number): void {
			const entry = entries[index]!;
			links.dead.add(entry.id);
			entry.stopper.abort();
			void dropFromHostList(entry.id);
		},
		setPaused(index: number, isPaused: boolean): void {
			const entry = entries[index]!;
			entry.clock.setPaused(isPaused);
			if (isPaused) {
				links.paused.add(entry.id);
			} else {
				links.paused.delete(entry.id);
			}
		},
		/** Unspent tokens under grants of entries that are dead, cut off or paused. */
		countLocked(): number {
			let locked = 0;
			for (const grant of upstream.follower.state().ledger.listGrants()) {
				const isAway = links.dead.has(grant.daemon) || links.cut.has(grant.daemon) || links.paused.has(grant.daemon);
				locked += isAway || grant.waitsFor ? Math.max(0, grant.amount - grant.receipted) : 0;
			}

			return locked;
		},
		stop(): void {
			for (const parts of [upstream, ...entries]) {
				parts.stopper.abort();
			}
		},
	};
}
