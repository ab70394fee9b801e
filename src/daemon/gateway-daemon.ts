/**
 * Wires a gateway daemon: an entry daemon that serves callers by a
 * deployment's routes and reaches upstreams directly.
 *
 * @module
 */
import {
	PrefixRoutingPolicy, createBudgetKeeper, createKeyedFollower, createMetrics, createRequestForwarder, createRetryBudget, createUpstreamBook, formatHolderKey,
	type RetryBudget,
} from '../coordination/mod.js';
import {
	createId, type Deployment, type EventLog, type GatewaySettings, type GatewayWire, type KeyedLog, type UpstreamEntry,
} from '../protocol/mod.js';
import {
	createGrantBook, createRouteTable, createTokenAccount, createUpstreamDirectory, holderRecordSchema, type RouteTable,
} from '../state/mod.js';
import {
	createSystemClock, createUpstreamClient, startCallerServer, startHttpServer,
} from '../transport/mod.js';
import type {RunningDaemon} from './core.js';
import {createGatewayInterface} from './gateway-interface.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** What an adapter brings: the logs of a deployment, their decoding, and the wire. */
export type GatewayAdapter = {
	readonly wire: GatewayWire;
	readonly logs: {readonly deployment: KeyedLog; readonly upstreams: KeyedLog; readonly grants: KeyedLog};
	/** Key of the record that holds the deployment. */
	readonly deploymentKey: string;
	readonly decodeDeployment: (text: string) => Deployment;
	readonly decodeUpstream: (id: string, text: string) => UpstreamEntry;
	readonly close: () => Promise<void>;
};

/** Options of {@linkcode startGatewayDaemon}. */
export type StartGatewayOptions = {readonly adapter: GatewayAdapter; readonly events: EventLog};

/** A read of the deployment waits this long for a change, in milliseconds; longer would hide a silent connection. */
const deploymentWait = 1500;
/** Pause between reads of the upstreams' records, in milliseconds: each upstream writes about once a second. */
const upstreamsEvery = 500;
/** Pause between reads of the grants, in milliseconds; claims read by themselves. */
const grantsEvery = 2000;
/** A store that failed within this span, in milliseconds, may have let entries lapse. */
const unstableSpan = 3000;
/** How long a new connection to an upstream may take, in milliseconds. */
const connectTimeout = 400;
/** How long a stopping gateway still accepts connections, in milliseconds; the balancer needs two of its questions. */
const leaveNotice = 2500;
/** Time kept at the end of a stop for giving grants back, in milliseconds. */
const stopReserve = 700;
/** Share of the fleet's retries that one gateway may use, before the number of gateways is known. */
const firstRetryPart = 0.25;

/**
 * Starts a gateway daemon.
 *
 * @example
 * ```ts
 * const daemon = await startGatewayDaemon(settings, {adapter, events});
 * ```
 *
 * @param settings Checked settings
 * @param options The adapter and the log
 * @returns The running daemon
 */
export async function startGatewayDaemon(settings: GatewaySettings, {adapter, events}: StartGatewayOptions): Promise<RunningDaemon> {
	const clock = createSystemClock();
	const metrics = createMetrics();
	const stopper = new AbortController();
	const {signal} = stopper;
	const self = {
		daemon: settings.id, incarnation: `${Date.now().toString(36)}-${createId('i')}`, address: `${settings.listen.peers.host}:${settings.listen.peers.port}`, failureDomain: settings.failureDomain,
	};
	const ownKey = formatHolderKey(self);
	const directory = createUpstreamDirectory();
	const book = createGrantBook();
	const account = createTokenAccount();
	let table: RouteTable | undefined;
	let isStopping = false;

	const deploymentFollower = createKeyedFollower({
		log: adapter.logs.deployment, clock, events, wait: deploymentWait, every: 0,
		onRecord({key, value, offset}) {
			if (key !== adapter.deploymentKey || value === undefined) {
				return;
			}

			try {
				const deployment = adapter.decodeDeployment(value);
				if (deployment.version > (table?.version ?? Number.NEGATIVE_INFINITY)) {
					table = createRouteTable(deployment);
					callerServer.setLimits(deployment.limits);
					events.write('deploymentAdopted', {version: deployment.version, offset});
				}
			} catch (error) {
				events.write('recordUnreadable', {offset, detail: (error as Error).message});
			}
		},
	});
	const upstreamFollower = createKeyedFollower({
		log: adapter.logs.upstreams, clock, events, wait: 0, every: upstreamsEvery, listKeys: directory.listIds,
		onRecord({key, value, offset}) {
			if (value === undefined) {
				directory.drop(key, clock.now(), upstreamFollower.wasLostWithin(unstableSpan));
				events.write('upstreamGone', {upstream: key, offset});
				return;
			}

			try {
				const upstream = adapter.decodeUpstream(key, value);
				const known = directory.get(key);
				directory.put(upstream, clock.now());
				if (known?.isDraining !== upstream.isDraining) {
					events.write('upstreamListed', {
						upstream: key, service: upstream.service, isDraining: upstream.isDraining, offset,
					});
				}
			} catch (error) {
				events.write('recordUnreadable', {offset, detail: (error as Error).message});
			}
		},
	});
	const grantsFollower = createKeyedFollower({
		log: adapter.logs.grants, clock, events, wait: 0, every: grantsEvery,
		onRecord({key, value, offset}) {
			const record = holderRecordSchema.safeParse(value === undefined ? undefined : JSON.parse(value));
			if (!record.success) {
				events.write('recordUnreadable', {offset, detail: record.error.message});
				return;
			}

			book.put(key, record.data);
			if (key === ownKey) {
				keeper.takeOwnRecord(record.data);
			}
		},
	});
	const keeper = createBudgetKeeper({
		self, log: adapter.logs.grants, follower: grantsFollower, book, account, clock, events, signal,
		findTable: () => table,
		borrow: async () => 0,
	});
	const retries = new Map<string, RetryBudget>();
	const client = createUpstreamClient({connectTimeout, connections: 64});
	const forwarder = createRequestForwarder({
		wire: adapter.wire, client, clock, events,
		book: createUpstreamBook({directory, clock, failureDomain: settings.failureDomain}),
		policy: new PrefixRoutingPolicy(),
		findRetries(service) {
			const known = retries.get(service) ?? createRetryBudget({share: settings.retryShare, burst: settings.retrySlack * firstRetryPart});
			retries.set(service, known);
			return known;
		},
	});
	const callers = createGatewayInterface({
		wire: adapter.wire, findTable: () => table, keeper, forwarder, metrics, clock, events,
	});
	const callerServer = await startCallerServer(settings.listen.callers, callers.serve);
	const readinessServer = await startHttpServer(settings.listen.readiness, service => {
		service.get(adapter.wire.readinessPath, (_request, response) => {
			response.statusCode = table && directory.count() > 0 && !isStopping ? 200 : 503;
			response.end();
		});
	});
	for (const follower of [deploymentFollower, upstreamFollower, grantsFollower]) {
		void follower.run(signal);
	}

	void keeper.run();
	events.write('daemonStarted', {role: 'gateway', incarnation: self.incarnation});
	return {
		addresses: {callers: callerServer.url, readiness: readinessServer.url},
		// A gateway's name is never taken over: each incarnation has its own key.
		superseded: new Promise<void>(() => undefined), // eslint-disable-line no-promise-executor-return
		async stop() {
			const until = clock.now() + settings.stopWithin - stopReserve;
			events.write('daemonStopping', {running: callers.countRunning()});
			isStopping = true;
			await clock.sleep(leaveNotice);
			callerServer.drain();
			if (!await waitUntilIdle(callers.countRunning, {within: until - clock.now(), clock})) {
				events.write('requestCut', {running: callers.countRunning()});
			}

			await Promise.race([keeper.end(), clock.sleep(stopReserve / 2)]);
			stopper.abort();
			callerServer.cut();
			readinessServer.cut();
			await adapter.close();
			events.write('daemonStopped');
		},
		cut() {
			events.write('requestCut', {running: callers.countRunning()});
		},
	};
}
