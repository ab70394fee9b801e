/**
 * A fleet in virtual time, with the modules of gateways that record crashes of
 * upstreams and distribute them. Gateways restart, are partitioned and lose
 * datagrams; the store is unavailable; upstreams crash on their own, sometimes
 * all at once.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import {
	NearReceiverPolicy, createGossip, createKeyedFollower, createPeerCatchUp, fanOut, type CatchUpAnswer,
} from '../../src/coordination/mod.js';
import {createGatewayQuarantines} from '../../src/daemon/gateway-quarantines.js';
import type {EventLog} from '../../src/protocol/mod.js';
import {createPeerViews} from '../../src/state/mod.js';
import {createRandom} from '../measure/random.js';
import {createVirtualTime} from '../measure/virtual-clock.js';
import {createFakeKeyedLog} from './fake-keyed-log.js';

const events: EventLog = {write: () => undefined, counts: new Map()};
const upstreamCount = 12;
/** Time from the crash of an upstream to its next start. */
const downtimeMs = 1500;
const networkDelayMs = 1;
const lossRate = 0.05;
/** Interval between a gateway's reads of the log of grants. */
const logReadIntervalMs = 2000;
/** A gateway counts as stable if neither it nor the store has had a fault for this long. */
const stabilityWindowMs = 3000;

/** Fleet of gateways and upstreams in virtual time. */
export type CrashFleet = ReturnType<typeof createCrashFleet>;

/** Distributes gateways over four failure domains. */
const findDomain = (name: string) => `d${Number(name.slice(1)) % 4}`;

type Upstream = {incarnation: number; downUntil: number};
/**
 * Creates a fleet; all its gateways run.
 *
 * @example
 * ```ts
 * const fleet = createCrashFleet(4, 1);
 * await fleet.time.runUntil(40_000);
 * fleet.stop();
 * ```
 *
 * @param gatewayCount Number of gateways
 * @param seed Seed of the losses and of what the fleet's `random` returns
 * @returns The fleet
 */
export function createCrashFleet(gatewayCount: number, seed: number) {
	const time = createVirtualTime();
	const random = createRandom(seed);
	const log = createFakeKeyedLog();
	const upstreams: Upstream[] = Array.from({length: upstreamCount}, () => ({incarnation: 1, downUntil: 0}));
	const gateways = Array.from({length: gatewayCount}, (_, index) => ({
		name: `g${index}`, incarnation: 0, process: undefined as ReturnType<typeof startProcess> | undefined, isPartitioned: false, lastFaultAt: Number.NEGATIVE_INFINITY,
	}));
	let lastStoreFaultAt = Number.NEGATIVE_INFINITY;

	function startProcess(name: string, incarnation: number) {
		const stopper = new AbortController();
		setMaxListeners(0, stopper.signal);
		const views = createPeerViews();
		const listPeers = () => gateways.map(gateway => gateway.name).filter(other => other !== name);
		const listPresumedUp = () => listPeers().filter(peer => gossip.isPresumedUp(peer));
		const gossip = createGossip({
			clock: time, events, daemon: name, views,
			receiverPolicy: new NearReceiverPolicy({fanOut, failureDomain: findDomain(name), random}),
			listPeers: () => listPeers().map(daemon => ({
				daemon, newsAddress: daemon, address: daemon, failureDomain: findDomain(daemon),
			})),
			getOwnView: () => ({
				daemon: name, incarnation: String(incarnation).padStart(6, '0'), address: name, version: 1, isLeaving: false, hasRoom: true, free: [], uses: [], crashes: quarantines.requests.listRecent(), parts: quarantines.parts.listRecent(), domains: [], limits: [],
			}),
			send(message, receivers) {
				for (const {daemon} of receivers) {
					void deliver(name, daemon, message);
				}
			},
			onView(view) {
				catchUp.handleView(view);
				quarantines.mergeView(view);
			},
			onPrompt: () => undefined,
			onStream: () => undefined,
		});
		const follower = createKeyedFollower({
			log: log.open(), clock: time, events, longPollMs: 0, readIntervalMs: logReadIntervalMs,
			onRecord(record) {
				quarantines.applyRecord(record);
			},
		});
		const quarantines = createGatewayQuarantines({
			daemon: name, log: log.open(), follower, listPeers: listPresumedUp, gossip, clock: time, events, signal: stopper.signal,
		});
		const catchUp = createPeerCatchUp({
			clock: time, events, findVersion: () => 1, queryPeer: async address => queryPeer(name, address),
			onDeployment: () => undefined,
			onPrompt: () => undefined,
			onCrashRecord(record) {
				quarantines.requests.merge(record, 'peer');
			},
			onPartRecord(record) {
				quarantines.parts.merge(record, 'peer');
			},
			onReadParts(digests) {
				quarantines.parts.mergeRead(digests);
			},
			abandonConnection: () => undefined,
		});
		void gossip.run(stopper.signal);
		quarantines.run();
		void follower.run(stopper.signal);
		return {quarantines, gossip, stopper};
	}

	async function queryPeer(from: string, to: string): Promise<CatchUpAnswer> {
		await time.sleep(2 * networkDelayMs);
		const peer = gateways.find(({name}) => name === to)!;
		if (peer.isPartitioned || gateways.find(({name}) => name === from)!.isPartitioned) {
			throw new Error('The peer does not respond');
		}

		const {requests, parts} = peer.process!.quarantines;
		return {
			deployment: new Uint8Array(), prompts: [], crashes: requests.listAll(), parts: parts.listAll(), readParts: parts.listRead(),
		};
	}

	async function deliver(from: string, to: string, message: Uint8Array): Promise<void> {
		await time.sleep(networkDelayMs);
		const sender = gateways.find(({name}) => name === from)!;
		const receiver = gateways.find(({name}) => name === to)!;
		if (!sender.isPartitioned && !receiver.isPartitioned && random() >= lossRate) {
			receiver.process?.gossip.handleMessage(message);
		}
	}

	function crash(upstream: Upstream): void {
		upstream.incarnation += 1;
		upstream.downUntil = time.now() + downtimeMs;
	}

	function restart(index: number): void {
		const gateway = gateways[index]!;
		gateway.process?.stopper.abort();
		gateway.incarnation += 1;
		gateway.lastFaultAt = time.now();
		gateway.process = startProcess(gateway.name, gateway.incarnation);
	}

	for (const index of gateways.keys()) {
		restart(index);
	}

	return {
		time, random, log, gateways, upstreams, crash, restart,
		isStable: (gateway: typeof gateways[number]) => !gateway.isPartitioned && time.now() - Math.max(gateway.lastFaultAt, lastStoreFaultAt) >= stabilityWindowMs,
		setStoreUnavailable(isUnavailable: boolean) {
			log.isUnavailable = isUnavailable;
			lastStoreFaultAt = time.now();
		},

		/** Stops all gateways. */
		stop(): void {
			for (const {process} of gateways) {
				process!.stopper.abort();
			}
		},
	};
}

/**
 * Injects faults of gateways, the store and upstreams, which may overlap.
 *
 * @example
 * ```ts
 * await Promise.all([injectFaults(fleet, {untilMs: 30_000}), fleet.time.runUntil(40_000)]);
 * ```
 *
 * @param fleet The fleet
 * @param options When the last fault begins, in milliseconds of virtual time
 */
export async function injectFaults(fleet: CrashFleet, {untilMs}: {readonly untilMs: number}): Promise<void> {
	const {
		time, random, gateways, upstreams, crash, restart,
	} = fleet;
	async function runAfter(delayMs: number, end: () => void): Promise<void> {
		await time.sleep(delayMs);
		end();
	}

	const pick = <Item>(items: readonly Item[]) => items[Math.floor(random() * items.length)]!;
	function restartAll(): void {
		for (const index of gateways.keys()) {
			restart(index);
		}
	}

	function crashAll(): void {
		for (const upstream of upstreams) {
			crash(upstream);
		}
	}

	function injectFault(kind: number): void {
		switch (kind) {
			case 0: {
				restart(gateways.indexOf(pick(gateways)));
				return;
			}

			case 1: {
				const gateway = pick(gateways);
				gateway.isPartitioned = true;
				void runAfter(4000, () => {
					gateway.isPartitioned = false;
					gateway.lastFaultAt = time.now();
				});
				return;
			}

			case 2: {
				fleet.setStoreUnavailable(true);
				void runAfter(3000, () => {
					fleet.setStoreUnavailable(false);
				});
				return;
			}

			case 3: {
				if (random() < 0.3) {
					restartAll();
					return;
				}

				break;
			}

			case 4: {
				if (random() < 0.5) {
					crashAll();
					return;
				}

				break;
			}

			default:
		}

		crash(pick(upstreams));
	}

	while (time.now() < untilMs) {
		await time.sleep(500 + (random() * 2000));
		injectFault(Math.floor(random() * 6));
	}
}

