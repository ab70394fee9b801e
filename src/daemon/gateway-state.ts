/**
 * State that a gateway replicates from keyed logs: the deployment, the
 * upstreams and the grants, each from its own log.
 *
 * @module
 */
import * as z from 'zod';
import {
	createKeyedFollower, createExpiryGrace, formatHolderKey, isOriginsKey, isQuarantineKey, isRecoveryKey, type HolderIdentity, type KeyedFollower, type RecordOrigin,
} from '../coordination/mod.js';
import type {
	Deployment, EventLog, GatewayWire, KeyedLog, LogEpoch, Route, StoredRecord, UpstreamRegistration,
} from '../protocol/mod.js';
import {
	createEvacuations, createGrantRegistry, createRecordedOrigins, createRouteTable, createTokenAccount, createUpstreamDirectory, createUpstreamStarts, createValueHistory, findKnownStart, holderRecordSchema, type DomainState, type HeldValue, type HolderRecord, type RouteTable,
} from '../state/mod.js';
import {waitWithTimeout, type Clock} from '../transport/mod.js';

/** Maps the records by which operators evacuate failure domains. The presence of a key means that its failure domain is evacuated. */
export type EvacuationRecords = {
	/** Returns the failure domain that a key of the deployment log evacuates; undefined for other keys. */
	readonly findFailureDomain: (key: string) => string | undefined;
	readonly formatKey: (failureDomain: string) => string;
	/** Throws if the value of a record is malformed. */
	readonly check: (text: string) => void;
};

/** An adapter to a platform: the logs of a deployment, their decoding, and the wire format. */
export type GatewayAdapter = {
	readonly wire: GatewayWire;
	readonly logs: {readonly deployment: KeyedLog; readonly upstreams: KeyedLog; readonly grants: KeyedLog};
	/** Key of the record that contains the deployment. */
	readonly deploymentKey: string;
	readonly decodeDeployment: (text: string) => Deployment;
	readonly decodeUpstream: (id: string, text: string) => UpstreamRegistration;
	readonly evacuationRecords: EvacuationRecords;
	readonly close: () => Promise<void>;
};

/** Options of {@linkcode createGatewayState}. */
export type CreateGatewayStateOptions = {
	readonly adapter: GatewayAdapter;
	readonly self: HolderIdentity;
	/** Interval at which an upstream renews its registration, in milliseconds. */
	readonly upstreamHeartbeatMs: number;
	/** True if the whole fleet starts for the first time, so that no stream has begun before. */
	readonly isFirstStart: boolean;
	readonly clock: Clock;
	readonly events: EventLog;
	/** Called with each deployment that comes into force. */
	readonly onDeployment: (deployment: Deployment) => void;
	/** Called with each grants record of this gateway. */
	readonly onOwnRecord: (record: HolderRecord) => void;
	/** Called with each record of a quarantined request; throws if the record is invalid. */
	readonly onQuarantineRecord: (record: StoredRecord) => void;
	/** Called with each record of the origins that streams can have had; throws if the record is invalid. */
	readonly onOriginsRecord: (record: StoredRecord) => void;
	/** Called with each record that ends a recovery of the grants; throws if the record is invalid. */
	readonly onRecoveryRecord: (record: StoredRecord) => void;
	/** Called when the log of grants was restored from a backup. */
	readonly onGrantsRestored: () => void;
};

/** State that a gateway replicates from keyed logs. */
export type GatewayState = ReturnType<typeof createGatewayState>;

/** Time for which a read of the deployment waits for a change; a longer wait would hide an unresponsive connection. */
const deploymentLongPollMs = 1500;
/** Age above which the deployment's data is outdated; a read that waits for a change and the one before it take up to 3 s. */
const maxDeploymentAgeMs = 4000;
/** Interval between reads of the upstreams' records: a quarter of the time for which an upstream that left still serves. */
const upstreamReadIntervalMs = 500;
/**
 * A read of the deployment or the upstreams that takes longer than this is sent
 * a second time. Longer than a read of a slow store takes, and short compared
 * to the time for which an upstream that left still serves.
 */
const readTimeoutMs = 600;
/** Shorter delays of a request before it is read do not matter: changes come into force within two seconds. */
const minSyncDelayMs = 1000;
/** Time that a request waits for outdated views to be read again; a slow store takes 0.3 s per read. */
const syncTimeoutMs = 400;
const syncRetryDelayMs = 20;
/** A read that is already under way, and one that begins after it. */
const maxReadsToSync = 2;
/** Interval between reads of the grants; a claim triggers its own read. */
const grantReadIntervalMs = 2000;
/** Minimum age of the last read of the grants before they are read for an unknown gateway: when a large fleet starts, one read finds many of them. */
const minGrantAgeMs = 250;
/** Maximum number of customers in one log line, which keeps the line under 4 KB. */
const maxLoggedCustomers = 100;
/** Maximum length of the reason why a record is unreadable, in characters; it may quote the record. */
const maxDetailLength = 200;

/** Maximum number of keys whose unreadable records are remembered as reported. */
const maxReportedRecords = 1000;

/** @internal The message of a schema's error is a JSON document whose beginning does not show the reason. */
function describeError(error: unknown): string {
	return error instanceof z.ZodError
		? error.issues.map(({path, message}) => `${path.join('.')}: ${message}`).join('; ')
		: (error as Error).message;
}

/** @internal Returns the tokens bought by each customer for whom they differ from the previous deployment. */
function listChangedPurchases({customers = []}: Deployment, previous: RouteTable | undefined): Record<string, number> {
	const changed = customers.filter(({id, bought}) => bought !== undefined && bought !== previous?.findCustomer(id)?.bought);
	return Object.fromEntries(changed.slice(0, maxLoggedCustomers).map(({id, bought}) => [id, bought!]));
}

/**
 * Returns the key under which the services of a route are recorded: what its
 * requests have in common, whatever the route is called.
 *
 * @example
 * ```ts
 * formatRouteKey(route); // 'beds.example/holds/'
 * ```
 *
 * @param route The route
 * @returns Host and path prefix
 */
export function formatRouteKey({host, prefix}: Pick<Route, 'host' | 'prefix'>): string {
	return `${host.toLowerCase()}${prefix}`;
}

/** @internal Lists the services to which the requests of each route may go. */
function listRouteTargets({routes}: Deployment): Map<string, HeldValue> {
	return new Map(routes.flatMap(route => {
		const key = formatRouteKey(route);
		return route.targets.filter(({weight}) => weight > 0).map(({service}) => [`${key} ${service}`, {key, value: service}] as const);
	}));
}

/**
 * Creates the state; `run` keeps it up to date until the signal is aborted.
 *
 * @example
 * ```ts
 * const state = createGatewayState(options);
 * state.run(signal);
 * ```
 *
 * @param options The adapter and the callbacks for changes
 * @returns The state
 */
export function createGatewayState(options: CreateGatewayStateOptions) {
	const {adapter, clock, events} = options;
	const ownKey = formatHolderKey(options.self);
	const directory = createUpstreamDirectory({isServiceNamed: service => routeTable?.findService(service) !== undefined});
	const starts = createUpstreamStarts();
	const versionHistory = createValueHistory({isComplete: options.isFirstStart});
	const routeHistory = createValueHistory({isComplete: options.isFirstStart});
	const recordedOrigins = createRecordedOrigins({isFirstStart: options.isFirstStart});
	const evacuations = createEvacuations();
	const grantRegistry = createGrantRegistry();
	const account = createTokenAccount();
	const expiryGrace = createExpiryGrace({heartbeatIntervalMs: options.upstreamHeartbeatMs});
	/** Why the last record of a key was unreadable. */
	const reportedDetails = new Map<string, string>();
	/** Since when the registrations of upstreams have been read without interruption; undefined before the first read. */
	let followedSince: number | undefined;
	let routeTable: RouteTable | undefined;
	let deploymentRecord = '';
	let pendingSync: Promise<unknown> | undefined;

	// A writer that goes on writing the same odd record must not fill the log with lines.
	function reportUnreadable({key, offset}: StoredRecord, detail: string): void {
		if (reportedDetails.get(key) === detail) {
			return;
		}

		events.write('recordUnreadable', {key, offset, detail});
		reportedDetails.delete(key);
		reportedDetails.set(key, detail);
		if (reportedDetails.size > maxReportedRecords) {
			reportedDetails.delete(reportedDetails.keys().next().value!);
		}
	}

	// Reports and skips a record that cannot be read, so that it does not block the records after it.
	function applyOrSkip(record: StoredRecord, apply: () => void): void {
		try {
			apply();
			reportedDetails.delete(record.key);
		} catch (error) {
			reportUnreadable(record, describeError(error).slice(0, maxDetailLength));
		}
	}

	function observeRoutes({routes}: Deployment): void {
		for (const route of routes.filter(({isResumable}) => isResumable)) {
			for (const {service} of route.targets.filter(({weight}) => weight > 0)) {
				recordedOrigins.observeRoute(formatRouteKey(route), service);
			}
		}
	}

	// Records arrive from the log and from peers in any order; the version in force never decreases.
	function adoptDeployment(text: string, source: string): void {
		const deployment = adapter.decodeDeployment(text);
		if (deployment.version <= (routeTable?.version ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		const bought = listChangedPurchases(deployment, routeTable);
		routeTable = createRouteTable(deployment);
		deploymentRecord = text;
		routeHistory.replace(listRouteTargets(deployment), clock.now());
		observeRoutes(deployment);
		options.onDeployment(deployment);
		events.write('deploymentAdopted', {version: deployment.version, source, bought: JSON.stringify(bought)});
	}

	function removeUpstream(key: string, offset: number): void {
		const known = directory.get(key);
		const now = clock.now();
		directory.drop(key, expiryGrace.findGraceEnd(now));
		versionHistory.drop(key, now);
		events.write('upstreamGone', {
			upstream: key, service: known?.service, wasDraining: known?.isDraining, offset, sinceReadMs: upstreamFollower.computeStalenessMs(), graceMs: directory.computeRemainingGraceMs(key, now),
		});
	}

	// Records that the last read did not show were written after that read was sent.
	function recordStart(registration: UpstreamRegistration, {mayBeOlder}: RecordOrigin): void {
		const start = findKnownStart(registration);
		const sinceReadMs = upstreamFollower.computeStalenessMs();
		if (start !== undefined) {
			starts.recordVersion(start, registration.softwareVersion);
		}

		if (start !== undefined && sinceReadMs !== undefined && !mayBeOlder) {
			starts.recordAlive(start, clock.now() - sinceReadMs - 1);
		}
	}

	function applyUpstreamRecord({key, value, offset}: StoredRecord, {mayBeOlder}: RecordOrigin): void {
		followedSince ??= clock.now();
		if (value === undefined) {
			removeUpstream(key, offset);
			return;
		}

		const registration = adapter.decodeUpstream(key, value);
		if (mayBeOlder && directory.mayBeOutdated(registration)) {
			return;
		}

		recordStart(registration, {mayBeOlder});
		const known = directory.get(key);
		const wasOnGrace = directory.computeRemainingGraceMs(key, clock.now()) > 0;
		directory.put(registration, clock.now());
		versionHistory.put(key, {key: registration.service, value: registration.softwareVersion}, clock.now());
		recordedOrigins.observeVersion(registration.service, registration.softwareVersion);
		if (known?.isDraining !== registration.isDraining || wasOnGrace) {
			events.write('upstreamListed', {
				upstream: key, service: registration.service, softwareVersion: registration.softwareVersion, isDraining: registration.isDraining, offset, sinceReadMs: upstreamFollower.computeStalenessMs(),
			});
		}
	}

	// A holder whose record cannot be read may have been granted any tokens. What a deleted record granted stays counted.
	function readHolderRecord(key: string, value: string | undefined): HolderRecord {
		try {
			return holderRecordSchema.parse(JSON.parse(value ?? 'null'));
		} catch (error) {
			if (value !== undefined) {
				grantRegistry.putUnreadable(key);
			}

			throw error;
		}
	}

	function applyGrantRecord(stored: StoredRecord): void {
		const {key, value} = stored;
		if (isOriginsKey(key)) {
			options.onOriginsRecord(stored);
			return;
		}

		if (isQuarantineKey(key)) {
			options.onQuarantineRecord(stored);
			return;
		}

		if (isRecoveryKey(key)) {
			options.onRecoveryRecord(stored);
			return;
		}

		const record = readHolderRecord(key, value);
		grantRegistry.put(key, record);
		if (key === ownKey) {
			options.onOwnRecord(record);
		}
	}

	function adoptDomainState(domain: DomainState, source: string): void {
		if (evacuations.merge(domain, clock.now())) {
			const {failureDomain, offset} = domain;
			events.write(domain.isEvacuated ? 'domainEvacuated' : 'domainReturned', {domain: failureDomain, offset, source});
		}
	}

	function applyDeploymentRecord({key, value, offset}: StoredRecord): void {
		const failureDomain = adapter.evacuationRecords.findFailureDomain(key);
		if (failureDomain !== undefined) {
			if (value !== undefined) {
				adapter.evacuationRecords.check(value);
			}

			adoptDomainState({
				failureDomain, offset, isEvacuated: value !== undefined, epoch: deploymentFollower.getEpoch(),
			}, 'log');
		} else if (key === adapter.deploymentKey && value !== undefined) {
			adoptDeployment(value, 'log');
		}
	}

	const skipUnreadable = (apply: (record: StoredRecord, origin: RecordOrigin) => void) => (record: StoredRecord, origin: RecordOrigin) => {
		applyOrSkip(record, () => {
			apply(record, origin);
		});
	};

	// All logs are of one store, which is restored as a whole.
	function shareEpoch(epoch: LogEpoch): void {
		for (const follower of [deploymentFollower, upstreamFollower, grantFollower]) {
			follower.recordEpoch(epoch);
		}
	}

	const deploymentFollower: KeyedFollower = createKeyedFollower({
		log: adapter.logs.deployment, clock, events, longPollMs: deploymentLongPollMs, readIntervalMs: 0, readTimeoutMs, onRecord: skipUnreadable(applyDeploymentRecord), onRestore: shareEpoch,
		onGap() {
			routeHistory.restart(clock.now());
		},
		listKnownKeys: () => evacuations.listEvacuated().map(failureDomain => adapter.evacuationRecords.formatKey(failureDomain)),
	});
	const upstreamFollower: KeyedFollower = createKeyedFollower({
		log: adapter.logs.upstreams, clock, events, longPollMs: 0, readIntervalMs: upstreamReadIntervalMs, readTimeoutMs, onRecord: skipUnreadable(applyUpstreamRecord),
		listKnownKeys: directory.listIds,
		onRecovery(outage) {
			followedSince = outage.recoveredAt;
			expiryGrace.recordOutage(outage);
		}, onRestore: shareEpoch,
		onGap() {
			followedSince = clock.now();
			versionHistory.restart(clock.now());
		},
	});
	/** The followers whose views decide how a request is handled. */
	const viewFollowers = [deploymentFollower, upstreamFollower];
	const grantFollower: KeyedFollower = createKeyedFollower({
		log: adapter.logs.grants, clock, events, longPollMs: 0, readIntervalMs: grantReadIntervalMs, onRecord: skipUnreadable(applyGrantRecord),
		onRestore(epoch) {
			grantRegistry.dropLogged();
			recordedOrigins.dropLogged();
			options.onGrantsRestored();
			shareEpoch(epoch);
		},
	});

	// The first read after a stall can fail, as its connection timed out during the stall.
	async function readAgain(follower: KeyedFollower, {until, signal}: {readonly until: number; readonly signal: AbortSignal}): Promise<void> {
		while (!await follower.catchUp(signal) && clock.now() < until) {
			await clock.sleep(syncRetryDelayMs, signal);
		}
	}

	// A read that is already under way may be older than what the caller must not miss.
	async function readSince(follower: KeyedFollower, time: number, signal: AbortSignal): Promise<boolean> {
		for (let reads = 0; reads < maxReadsToSync && !follower.hasReadSince(time); reads += 1) {
			await follower.catchUp(signal);
		}

		return follower.hasReadSince(time);
	}

	function startSync(unreadMs: number, signal: AbortSignal): Promise<unknown> | undefined {
		const outdated = viewFollowers.filter(follower => follower.isUp() && (follower.computeStalenessMs() ?? 0) >= unreadMs);
		if (unreadMs < minSyncDelayMs || outdated.length === 0) {
			return undefined;
		}

		const until = clock.now() + syncTimeoutMs;
		const reads = Promise.all(outdated.map(async follower => readAgain(follower, {until, signal})));
		return waitWithTimeout(reads, {clock, timeoutMs: syncTimeoutMs});
	}

	return {
		directory, starts, evacuations, grantRegistry, account, grantFollower, versionHistory, routeHistory, recordedOrigins,
		/** Returns the age of the upstreams' data, in whole milliseconds; undefined before the first read. */
		computeViewAgeMs: () => upstreamFollower.computeStalenessMs(),
		/** Returns the age of the older one of the deployment's and the upstreams' data, in milliseconds; infinite before the first read. */
		computeViewsAgeMs: () => Math.max(...viewFollowers.map(follower => follower.computeStalenessMs() ?? Number.POSITIVE_INFINITY)),
		findRouteTable: () => routeTable,
		/** Returns the record of the deployment in force, to send to peers. */
		getDeploymentRecord: () => deploymentRecord,

		/** Adopts a deployment record received from a peer if it is newer. */
		adoptFromPeer(text: string, peer: string): void {
			applyOrSkip({key: adapter.deploymentKey, value: text, offset: -1}, () => {
				adoptDeployment(text, peer);
			});
		},

		/** Adopts the state of a failure domain received from a peer if it is newer. */
		adoptDomainFromPeer: adoptDomainState,

		/** Returns true if the log of the deployment was read in the last seconds. */
		isDeploymentRecent: (): boolean => (deploymentFollower.computeStalenessMs() ?? Number.POSITIVE_INFINITY) < maxDeploymentAgeMs,

		/**
		 * Reads views again that are older than a request that may have waited to be
		 * read, and waits for a limited time. A process that was stalled receives
		 * requests together with the answers of the logs that they depend on.
		 */
		async syncViews(unreadMs: number, signal: AbortSignal): Promise<void> {
			const sync = pendingSync ?? startSync(unreadMs, signal);
			pendingSync = sync;
			try {
				await sync;
			} finally {
				pendingSync = undefined;
			}
		},

		/** Reads the deployment and the upstreams once more; false if the logs do not answer in time. */
		async readViews(signal: AbortSignal): Promise<boolean> {
			const startedAt = clock.now();
			const reads = Promise.all(viewFollowers.map(async follower => readSince(follower, startedAt, signal)));
			const outcomes = await waitWithTimeout(reads, {clock, timeoutMs: syncTimeoutMs});
			return outcomes?.every(Boolean) ?? false;
		},

		/** Reads the grants now if they do not show a gateway that is heard from. */
		syncGateway(daemon: string, signal: AbortSignal): void {
			const isKnown = grantRegistry.listRunning().some(holder => holder.daemon === daemon);
			if (!isKnown && (grantFollower.computeStalenessMs() ?? 0) >= minGrantAgeMs) {
				void grantFollower.catchUp(signal);
			}
		},

		/** Returns true if the registrations of upstreams were read without interruption since a time, in milliseconds of the clock. */
		hasFollowedSince: (time: number): boolean => followedSince !== undefined && followedSince <= time,

		/** Returns true if requests can be served. */
		isReady: () => routeTable !== undefined && directory.hasLive(clock.now()),

		run(signal: AbortSignal): void {
			for (const follower of [deploymentFollower, upstreamFollower, grantFollower]) {
				void follower.run(signal);
			}
		},
	};
}
