/**
 * A fleet in virtual time, with the modules of gateways that claim and lend
 * tokens, over a log and connections whose calls take time.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import {
	ReturnedLoanPolicy, UnseenDemandTargetPolicy, createBudgetManager, createBudgetOwners, createKeyedFollower, createLoanReturns, createTokenLending,
} from '../../src/coordination/mod.js';
import type {Deployment, EventLog, KeyedLog} from '../../src/protocol/mod.js';
import {
	createGrantRegistry, createRouteTable, createTokenAccount, holderRecordSchema, type PeerView,
} from '../../src/state/mod.js';
import {waitWithTimeout} from '../../src/transport/mod.js';
import {createRandom} from '../measure/random.js';
import {createVirtualTime} from '../measure/virtual-clock.js';
import {createFakeKeyedLog} from './fake-keyed-log.js';

/** A customer of the fleet; amounts in tokens. */
export type FleetCustomer = {readonly id: string; readonly bought: number};

/** Options of {@linkcode createTokenFleet}. */
export type CreateTokenFleetOptions = {
	readonly gateways: number;
	readonly customers: readonly FleetCustomer[];
	readonly seed: number;
	/** False for loans as before totals: calls end after 300 ms and lenders are not polled; default true. */
	readonly hasLoanTotals?: boolean;
};

/** How long a request waited for its tokens, in milliseconds, and whether it got them. */
export type TokenWait = {readonly at: number; readonly waitMs: number; readonly isReserved: boolean};

/** Shortest and longest delay of a message. */
export type DelayRange = {readonly minMs: number; readonly maxMs: number};

/** Fleet of gateways in virtual time. */
export type TokenFleet = ReturnType<typeof createTokenFleet>;

const events: EventLog = {write: () => undefined, counts: new Map()};
/** Share of the calls and messages that take many times as long as the others. */
const slowShare = 0.2;
const slowFactor = 6;
const logReadIntervalMs = 2000;
const gossipIntervalMs = 250;
/** Timeout of a call for a loan. */
const loanCallTimeoutMs = 5000;
/** Timeout of a repayment, and of a call for a loan before totals. */
const shortTimeoutMs = 300;
/** Timeout of the claim of a request. */
const claimTimeoutMs = 1000;
const noLimits = {
	headerBytes: 1000, bodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
};

/** @internal */
function buildRouteTable(customers: readonly FleetCustomer[]) {
	const deployment: Deployment = {
		version: 1, routes: [], services: [], customers: customers.map(({id, bought}) => ({id, keys: [id], bought})), limits: noLimits,
	};
	return createRouteTable(deployment);
}

/**
 * Creates a fleet; all its gateways run.
 *
 * @example
 * ```ts
 * const fleet = createTokenFleet({gateways: 31, customers: [{id: 'c1', bought: 1_000_000}], seed: 1});
 * fleet.setStoreDelay(60);
 * fleet.request(0, {customer: 'c1', amount: 900, used: 500, durationMs: 1000});
 * await fleet.time.runUntil(5000);
 * fleet.listWaits();
 * ```
 *
 * @param options Number of gateways, customers and seed
 * @returns The fleet
 */
export function createTokenFleet({gateways: gatewayCount, customers, seed, hasLoanTotals = true}: CreateTokenFleetOptions) {
	const time = createVirtualTime();
	const random = createRandom(seed);
	const log = createFakeKeyedLog();
	const table = buildRouteTable(customers);
	const stopper = new AbortController();
	setMaxListeners(0, stopper.signal);
	const waits: TokenWait[] = [];
	let appends = 0;
	let storeDelayMs = 4;
	let peerDelayMs = 2;
	/** Range of the additional delay of messages to a gateway. */
	const gatewayDelays = new Map<string, DelayRange>();

	// Delays vary by half, so that gateways do not act in step, and some messages wait for a busy process.
	async function delay(meanMs: number): Promise<void> {
		const factor = random() < slowShare ? slowFactor : 1;
		await time.sleep(meanMs * factor * (0.5 + random()));
	}

	async function delayMessage(receiver: string): Promise<void> {
		const {minMs, maxMs} = gatewayDelays.get(receiver) ?? {minMs: 0, maxMs: 0};
		await delay(peerDelayMs);
		await time.sleep(minMs + (random() * (maxMs - minMs)));
	}

	// Calls a gateway; a reply that is later than the timeout is not received.
	async function callGateway<Reply>(from: string, to: string, {timeoutMs, handle}: {readonly timeoutMs: number; readonly handle: (gateway: FleetGateway) => Promise<Reply> | Reply}): Promise<Reply> {
		const pending = (async () => {
			await delayMessage(to);
			const reply = await handle(gateways.find(other => other.daemon === to)!);
			await delayMessage(from);
			return {reply};
		})();
		const answer = await waitWithTimeout(pending, {clock: time, timeoutMs});
		if (answer === undefined) {
			throw new Error('The gateway did not answer in time');
		}

		return answer.reply;
	}

	function openDelayedLog(): KeyedLog {
		const direct = log.open();
		return {
			...direct,
			async read(from, options) {
				await delay(storeDelayMs / 2);
				const page = await direct.read(from, options);
				await delay(storeDelayMs / 2);
				return page;
			},
			async append(record, options) {
				await delay(storeDelayMs / 2);
				const outcome = await direct.append(record, options);
				appends += outcome.kind === 'appended' ? 1 : 0;
				await delay(storeDelayMs / 2);
				return outcome;
			},
		};
	}

	function startGateway(index: number) {
		const daemon = `g${index}`;
		const self = {
			role: 'gateway' as const, daemon, incarnation: 'i1', address: daemon, failureDomain: `d${index % 3}`,
		};
		const account = createTokenAccount();
		const grantRegistry = createGrantRegistry();
		const delayedLog = openDelayedLog();
		const follower = createKeyedFollower({
			log: delayedLog, clock: time, events, longPollMs: 0, readIntervalMs: logReadIntervalMs,
			onRecord({key, value}) {
				const record = holderRecordSchema.parse(JSON.parse(value ?? 'null'));
				grantRegistry.put(key, record);
				if (key === `${daemon}/${self.incarnation}`) {
					manager.applyOwnRecord(record);
				}
			},
		});
		const listViews = () => gateways.filter(other => other.daemon !== daemon).map(other => other.getView());
		const owners = createBudgetOwners({clock: time, daemon, listPeers: () => gateways.map(other => other.daemon).filter(other => other !== daemon)});
		const lending = createTokenLending({
			daemon, incarnation: self.incarnation, account, events, listViews, clock: time,
			listOwners: owners.listOwners,
			isOwner: owners.isOwner,
			listUnresponsive: () => [],
			listUnheard: () => [],
			countWanted: customer => manager.countWanted(customer),
			canClaim: follower.isUp,
			claim: async (customer, amount) => manager.claimForPeer(customer, amount),
			onLent(customer, amount) {
				manager.recordLent(customer, amount);
			},
			onCredited(customer) {
				manager.serveWaiting(customer);
			},
			requestLoan: async (address, request) => callGateway(daemon, address, {
				timeoutMs: hasLoanTotals ? loanCallTimeoutMs : shortTimeoutMs,
				handle: async gateway => gateway.lending.lend(hasLoanTotals ? request : {...request, fromIncarnation: ''}),
			}),
		});
		const manager = createBudgetManager({
			self, log: delayedLog, follower, isLogComplete: () => true, grants: grantRegistry, account, owners, findRouteTable: () => table, clock: time, events, signal: stopper.signal,
			borrow: lending.borrow, loans: lending, loanPolicy: new ReturnedLoanPolicy(), grantTargetPolicy: new UnseenDemandTargetPolicy(),
		});
		const returns = createLoanReturns({
			self, account, events, listViews, clock: time,
			listOwners: owners.listOwners,
			computeReturned: manager.computeReturned,
			onReceived: manager.recordReturned,
			sendRepayment: async (address, repayment) => callGateway(daemon, address, {timeoutMs: shortTimeoutMs, handle: gateway => gateway.returns.receive(repayment)}),
		});
		let view: PeerView | undefined;

		function buildView(): PeerView {
			const free = customers.map(({id}) => ({customer: id, tokens: manager.countSpare(id)})).filter(({tokens}) => tokens > 0);
			return {
				daemon, incarnation: self.incarnation, address: daemon, free, uses: [], version: 1, isLeaving: false, hasRoom: true, crashes: [], parts: [], domains: [], limits: [],
			};
		}

		async function gossip(): Promise<void> {
			while (!stopper.signal.aborted) {
				view = buildView();
				await time.sleep(gossipIntervalMs, stopper.signal);
			}
		}

		return {
			daemon, account, manager, lending, returns,
			getView: (): PeerView => view ?? buildView(),
			run(): void {
				void follower.run(stopper.signal);
				void manager.run();
				void returns.run(stopper.signal);
				if (hasLoanTotals) {
					void lending.run(stopper.signal);
				}

				void gossip();
			},
		};
	}

	type FleetGateway = ReturnType<typeof startGateway>;

	const gateways: FleetGateway[] = Array.from({length: gatewayCount}, (_, index) => startGateway(index));
	for (const gateway of gateways) {
		gateway.run();
	}

	return {
		time, random,

		/** Sets the time that a call to the log takes, in milliseconds. */
		setStoreDelay(delayMs: number): void {
			storeDelayMs = delayMs;
		},

		/** Sets the time that a message between two gateways takes, in milliseconds. */
		setPeerDelay(delayMs: number): void {
			peerDelayMs = delayMs;
		},

		/** Sets an additional delay of all messages to one gateway, as over a saturated link; undefined ends it. */
		setGatewayDelay(gateway: number, range: DelayRange | undefined): void {
			gatewayDelays.set(`g${gateway}`, range ?? {minMs: 0, maxMs: 0});
		},

		/** Starts a request at a gateway: it reserves `amount` tokens, and uses `used` of them after `durationMs`. */
		async request(gateway: number, {customer, amount, used, durationMs}: {readonly customer: string; readonly amount: number; readonly used: number; readonly durationMs: number}): Promise<void> {
			const {manager} = gateways[gateway]!;
			const at = time.now();
			const reservation = await manager.acquire(customer, amount, {timeoutMs: claimTimeoutMs});
			waits.push({at, waitMs: time.now() - at, isReserved: reservation.ok});
			if (reservation.ok) {
				await time.sleep(durationMs);
				manager.settle(reservation.val, used);
			}
		},

		/** Returns how long the requests waited that have got their tokens or were refused. */
		listWaits: (): readonly TokenWait[] => waits,

		/** Returns the number of grants records that were appended. */
		countAppends: (): number => appends,

		/** Returns the free tokens of a customer at all gateways together. */
		countFree: (customer: string): number => gateways.reduce((sum, {account}) => sum + account.countFreeTokens(customer), 0),

		/** Returns the tokens of a customer that were used. */
		countSpent: (customer: string): number => gateways.reduce((sum, {account}) => sum + account.get(customer).spent, 0),

		/** Returns the tokens of a customer that were granted and that no gateway can use. */
		countLost(customer: string): number {
			let lost = 0;
			for (const {account} of gateways) {
				const {granted, spent, reserved} = account.get(customer);
				lost += granted - spent - reserved - account.countFreeTokens(customer);
			}

			return lost;
		},

		stop(): void {
			stopper.abort();
		},
	};
}
