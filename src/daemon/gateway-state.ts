/**
 * What a gateway follows: the deployment, the upstreams and the grants, each
 * from its own keyed log.
 *
 * @module
 */
import {
	createKeyedFollower, createExpiryGrace, formatHolderKey, isQuarantineKey, type HolderIdentity, type KeyedFollower,
} from '../coordination/mod.js';
import type {
	Deployment, EventLog, GatewayWire, KeyedLog, StoredRecord, UpstreamRegistration,
} from '../protocol/mod.js';
import {
	createGrantRegistry, createRouteTable, createTokenAccount, createUpstreamDirectory, holderRecordSchema, type HolderRecord, type RouteTable,
} from '../state/mod.js';
import type {Clock} from '../transport/mod.js';

/** What an adapter brings: the logs of a deployment, their decoding, and the wire. */
export type GatewayAdapter = {
	readonly wire: GatewayWire;
	readonly logs: {readonly deployment: KeyedLog; readonly upstreams: KeyedLog; readonly grants: KeyedLog};
	/** Key of the record that holds the deployment. */
	readonly deploymentKey: string;
	readonly decodeDeployment: (text: string) => Deployment;
	readonly decodeUpstream: (id: string, text: string) => UpstreamRegistration;
	readonly close: () => Promise<void>;
};

/** Options of {@linkcode createGatewayState}. */
export type CreateGatewayStateOptions = {
	readonly adapter: GatewayAdapter;
	readonly self: HolderIdentity;
	/** Pause between two renewals of an upstream's entry, in milliseconds. */
	readonly upstreamHeartbeat: number;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called with each deployment that comes into force. */
	readonly onDeployment: (deployment: Deployment) => void;
	/** Called with each own record of grants. */
	readonly onOwnGrants: (record: HolderRecord) => void;
	/** Called with each record of a request that is held back; throws if it cannot be read. */
	readonly onQuarantine: (record: StoredRecord) => void;
};

/** What a gateway follows. */
export type GatewayState = ReturnType<typeof createGatewayState>;

/** A read of the deployment waits this long for a change, in milliseconds; longer would hide a silent connection. */
const deploymentWait = 1500;
/** Pause between reads of the upstreams' records, in milliseconds: a quarter of the time for which one that left serves. */
const upstreamsEvery = 500;
/**
 * A read of the deployment or of upstreams that takes longer, in milliseconds,
 * is sent a second time: more than a slow store takes, and little of the time
 * for which an upstream that left still serves.
 */
const readPatience = 600;
/** Pause between reads of the grants, in milliseconds; claims read by themselves. */
const grantsEvery = 2000;

/** Customers that one line of the log names; the line stays under 4 KB. */
const namedCustomers = 100;

/** @internal What customers have bought, of those for whom it differs from the deployment before. */
function listChangedPurchases({customers = []}: Deployment, before: RouteTable | undefined): Record<string, number> {
	const changed = customers.filter(({id, bought}) => bought !== undefined && bought !== before?.findCustomer(id)?.bought);
	return Object.fromEntries(changed.slice(0, namedCustomers).map(({id, bought}) => [id, bought!]));
}

/**
 * Creates the state; `run` is its task.
 *
 * @example
 * ```ts
 * const state = createGatewayState(options);
 * void state.run(signal);
 * ```
 *
 * @param options The adapter and what is told of changes
 * @returns The state
 */
export function createGatewayState(options: CreateGatewayStateOptions) {
	const {adapter, clock, events} = options;
	const ownKey = formatHolderKey(options.self);
	const directory = createUpstreamDirectory();
	const book = createGrantRegistry();
	const account = createTokenAccount();
	const grace = createExpiryGrace({heartbeatIntervalMs: options.upstreamHeartbeat});
	let table: RouteTable | undefined;
	let deploymentRecord = '';

	// A record that cannot be read is told and skipped: the others must not wait for it.
	function guardRecord(record: StoredRecord, take: () => void): void {
		try {
			take();
		} catch (error) {
			events.write('recordUnreadable', {key: record.key, offset: record.offset, detail: (error as Error).message});
		}
	}

	// Records reach a gateway from the log and from peers, in any order; a version never goes down.
	function adoptDeployment(text: string, source: string): void {
		const deployment = adapter.decodeDeployment(text);
		if (deployment.version <= (table?.version ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		const bought = listChangedPurchases(deployment, table);
		table = createRouteTable(deployment);
		deploymentRecord = text;
		options.onDeployment(deployment);
		events.write('deploymentAdopted', {version: deployment.version, source, bought: JSON.stringify(bought)});
	}

	function dropUpstream(key: string, offset: number): void {
		const known = directory.get(key);
		const now = clock.now();
		directory.drop(key, grace.findGraceEnd(now));
		events.write('upstreamGone', {
			upstream: key, service: known?.service, wasDraining: known?.isDraining, offset, sinceReadMs: upstreams.computeStalenessMs(), graceMs: directory.computeRemainingGraceMs(key, now),
		});
	}

	function takeUpstream({key, value, offset}: StoredRecord): void {
		if (value === undefined) {
			dropUpstream(key, offset);
			return;
		}

		const entry = adapter.decodeUpstream(key, value);
		const known = directory.get(key);
		const wasOnGrace = directory.computeRemainingGraceMs(key, clock.now()) > 0;
		directory.put(entry, clock.now());
		if (known?.isDraining !== entry.isDraining || wasOnGrace) {
			events.write('upstreamListed', {
				upstream: key, service: entry.service, isDraining: entry.isDraining, offset, sinceReadMs: upstreams.computeStalenessMs(),
			});
		}
	}

	function takeGrants(stored: StoredRecord): void {
		const {key, value} = stored;
		if (isQuarantineKey(key)) {
			options.onQuarantine(stored);
			return;
		}

		const record = holderRecordSchema.parse(JSON.parse(value ?? 'null'));
		book.put(key, record);
		if (key === ownKey) {
			options.onOwnGrants(record);
		}
	}

	function takeDeployment({key, value}: StoredRecord): void {
		if (key === adapter.deploymentKey && value !== undefined) {
			adoptDeployment(value, 'log');
		}
	}

	const guard = (take: (record: StoredRecord) => void) => (record: StoredRecord) => {
		guardRecord(record, () => {
			take(record);
		});
	};

	const deployments = createKeyedFollower({
		log: adapter.logs.deployment, clock, events, longPollMs: deploymentWait, readIntervalMs: 0, readTimeoutMs: readPatience, onRecord: guard(takeDeployment),
	});
	const upstreams: KeyedFollower = createKeyedFollower({
		log: adapter.logs.upstreams, clock, events, longPollMs: 0, readIntervalMs: upstreamsEvery, readTimeoutMs: readPatience, onRecord: guard(takeUpstream),
		listKnownKeys: directory.listIds, onRecovery: grace.recordOutage,
	});
	const grants = createKeyedFollower({
		log: adapter.logs.grants, clock, events, longPollMs: 0, readIntervalMs: grantsEvery, onRecord: guard(takeGrants),
	});

	return {
		directory, book, account, grants,
		/** Age of what is known of upstreams, in whole milliseconds; undefined while nothing is. */
		countViewAge: () => upstreams.computeStalenessMs(),
		findTable: () => table,
		/** The record of the deployment in force, to hand on to peers. */
		deploymentRecord: () => deploymentRecord,

		/** Takes a deployment's record from a peer. */
		adoptFromPeer(text: string, peer: string): void {
			guardRecord({key: adapter.deploymentKey, value: text, offset: -1}, () => {
				adoptDeployment(text, peer);
			});
		},

		/** True while requests can be served. */
		isReady: () => table !== undefined && directory.hasLive(clock.now()),

		run(signal: AbortSignal): void {
			for (const follower of [deployments, upstreams, grants]) {
				void follower.run(signal);
			}
		},
	};
}
