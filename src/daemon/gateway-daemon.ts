/**
 * Wires a gateway daemon: an entry daemon that serves callers by a
 * deployment's routes and reaches upstreams directly.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {
	createAdmission, createBudgetOwners, createBudgetManager, createCrashDetector, createStorePathTracker, createMetrics, createPeerCatchUp, createPeerNews, createQuarantine, createQuarantineRecorder,
	createRelayedLog, createRequestForwarder, createRetryAfterEstimator, createRetryBudget, createTokenLending, createUpstreamRegistry, monitorEventLoop, type CatchUpAnswer, type CatchUpAsk, type HolderIdentity,
	type NewsPeer, type ProcessStats, type RetryBudget,
} from '../coordination/mod.js';
import {
	Gateway, Relay, createId, type EventLog, type GatewaySettings, type KeyedLog,
} from '../protocol/mod.js';
import {
	createCrashRegistry, createPeerViews, type HolderRecord, type PeerView,
} from '../state/mod.js';
import {
	createFleetClient, createSystemClock, createUpstreamClient, openDatagramSocket, probeAddress, startCallerServer, startFleetServer, startHttpServer,
} from '../transport/mod.js';
import type {RunningDaemon} from './core.js';
import {formatGatewayMetrics} from './gateway-metrics.js';
import {createGatewayInterface} from './gateway-interface.js';
import {createGatewayPeerInterface} from './gateway-peer-interface.js';
import {createGatewayState, type GatewayAdapter} from './gateway-state.js';
import {addQuarantineRoutes} from './quarantine-interface.js';
import {createRelayInterface, openLogThrough} from './relay-interface.js';
import {createStopWindow} from './stop-window.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** Options of {@linkcode startGatewayDaemon}. */
export type StartGatewayOptions = {readonly adapter: GatewayAdapter; readonly events: EventLog};

/** A running gateway daemon. */
export type RunningGateway = RunningDaemon & {
	/** Puts changed settings in force; addresses stay until the process starts again. */
	readonly reload: (settings: GatewaySettings) => void;
};

/** How long a new connection to an upstream may take, in milliseconds. */
const connectTimeout = 400;
/** Connections to one upstream: as many as a model engine runs at once. */
const upstreamConnections = 64;
/** Characters of an incarnation beside its time: two starts of one daemon in the same millisecond differ. */
const incarnationLength = 8;
/** Customers whose free tokens are told to other gateways, those with most first. */
const customersTold = 12;
/** A call to a peer may take this long, in milliseconds: many times the way between two failure domains. */
const peerTimeout = 300;
/** An upstream's host refuses a connection within this time, in milliseconds, if no process listens there. */
const probeTimeout = 150;
/** How long a stopping gateway takes every request, in milliseconds; the balancer needs two of its questions. */
const leaveNotice = 2500;
/** Time kept at the end of a stop for giving grants back, in milliseconds. */
const stopReserve = 700;
const microsecondsPerMillisecond = 1000;
/** The fleet's spare retries are shared out among at least so many gateways: the smallest deployments have four. */
const leastGateways = 4;

/** @internal */
function createIdentity(settings: GatewaySettings): HolderIdentity {
	const {host, port} = settings.listen.peers;
	return {
		role: 'gateway',
		daemon: settings.id,
		// Begins with the time, so that a later start of the same daemon sorts after it; short, since each entry of its news bears it.
		incarnation: `${Date.now().toString(36)}-${createId('i').slice(0, incarnationLength)}`,
		address: `${host}:${port}`,
		failureDomain: settings.failureDomain,
	};
}

/**
 * Starts a gateway daemon.
 *
 * @example
 * ```ts
 * const daemon = await startGatewayDaemon(settings, {adapter, events});
 * ```
 *
 * @param first Checked settings
 * @param options The adapter and the log
 * @returns The running daemon
 * @throws When an address cannot be listened on
 */
export async function startGatewayDaemon(first: GatewaySettings, {adapter, events}: StartGatewayOptions): Promise<RunningGateway> {
	let settings = first;
	const clock = createSystemClock();
	const metrics = createMetrics();
	const stopper = new AbortController();
	const {signal} = stopper;
	setMaxListeners(0, signal);
	const self = createIdentity(settings);
	const fleet = createFleetClient(settings.fleetKey);
	const path = createStorePathTracker({clock, events});
	const openRelayed = (direct: KeyedLog) => createRelayedLog({
		direct, pathTracker: path, clock, listRelays,
		openRelayedLog: address => openLogThrough(direct.name, {fleet, address}),
	});
	const logs = {deployment: openRelayed(adapter.logs.deployment), upstreams: openRelayed(adapter.logs.upstreams), grants: openRelayed(adapter.logs.grants)};
	const stopWindow = createStopWindow({notice: leaveNotice, clock});

	const state = createGatewayState({
		adapter: {...adapter, logs}, self, upstreamHeartbeat: settings.upstreamHeartbeat, clock, events,
		onDeployment(deployment) {
			callerServer.setLimits(deployment.limits);
		},
		onOwnGrants(record) {
			keeper.applyOwnRecord(record);
		},
		onQuarantine(record) {
			recorder.take(record);
		},
	});
	const {account, book, directory, findTable} = state;
	const views = createPeerViews();
	const upstreams = createUpstreamRegistry({
		directory, clock, failureDomain: settings.failureDomain, getViewAgeMs: state.countViewAge, sumPeerUse: views.sumUse,
		onUseChange() {
			news.noteChange();
		},
		onPromptPlaced(prompt) {
			news.notePrompt(prompt);
		},
	});

	// Daemons beside upstreams first: a partition that cuts this gateway off from the store often cuts the others off too.
	function listRelays(): string[] {
		const rank = (holder: HolderRecord) => (holder.role === 'relay' ? 0 : 2) + (holder.failureDomain === self.failureDomain ? 0 : 1);
		const known = book.listRunning().filter(({daemon}) => daemon !== self.daemon).sort((left, right) => rank(left) - rank(right));
		return [...known.map(({address}) => address), ...settings.seeds.filter(address => address !== self.address)];
	}

	function listPeers(): NewsPeer[] {
		return book.listRunning().flatMap(({role, daemon, newsAddress}) => role === 'gateway' && daemon !== self.daemon && newsAddress !== undefined ? [{daemon, newsAddress}] : []);
	}

	const findVersion = () => findTable()?.version ?? 0;

	function listFree() {
		return account.listCustomers()
			.map(customer => ({customer, tokens: keeper.countSpare(customer)}))
			.filter(({tokens}) => tokens > 0)
			.sort((left, right) => right.tokens - left.tokens)
			.slice(0, customersTold);
	}

	function buildView(): PeerView {
		upstreams.prune();
		quarantine.prune();
		return {
			daemon: self.daemon,
			incarnation: self.incarnation,
			address: self.address,
			free: listFree(),
			uses: upstreams.listUses(),
			version: findVersion(),
			isLeaving: stopWindow.hasBegun(),
			crashes: quarantine.listNews(),
		};
	}

	function answerCatchUp({knownVersion, wantsPrompts}: CatchUpAsk): CatchUpAnswer {
		return {
			deployment: knownVersion < findVersion() ? new TextEncoder().encode(state.deploymentRecord()) : new Uint8Array(),
			prompts: wantsPrompts ? upstreams.listCachedPrompts() : [],
			crashes: wantsPrompts ? quarantine.listAll() : [],
		};
	}

	function readWork(): ProcessStats {
		const {user, system} = process.cpuUsage();
		const {connections, requests} = callerServer.getStatistics();
		return {cpuMs: (user + system) / microsecondsPerMillisecond, connections, requests};
	}

	const findStopSpan = () => settings.stopWithin - stopReserve;
	const forecast = createRetryAfterEstimator({clock, findMaxStopMs: findStopSpan});
	const catchUp = createPeerCatchUp({
		clock, events, findVersion,
		ask: async (address, ask) => fleet.connect(address).gateway.catchUp(ask, {timeoutMs: peerTimeout}),
		onDeployment: state.adoptFromPeer,
		onPrompt: upstreams.recordPeerPrompt,
		onCrashes(record) {
			quarantine.take(record, 'peer');
		},
		abandon(address) {
			fleet.connect(address).abandon();
		},
	});
	const news = createPeerNews({
		clock, events, daemon: self.daemon, views, listPeers,
		readOwn: buildView,
		send(message, addresses) {
			newsSocket.send(message, addresses);
		},
		onView(view) {
			forecast.recordView(view);
			catchUp.note(view);
			for (const record of view.crashes) {
				quarantine.take(record, 'peer');
			}
		},
		onPrompt: upstreams.recordPeerPrompt,
		random: Math.random,
	});
	const listUp = () => listPeers().map(({daemon}) => daemon).filter(daemon => news.isPresumedUp(daemon));
	const homes = createBudgetOwners({clock, daemon: self.daemon, listPeers: listUp});
	const crashBook = createCrashRegistry();
	const quarantine = createQuarantine({
		book: crashBook, daemon: self.daemon, listPeers: listUp, clock, events,
		onChange() {
			news.noteChange();
		},
		onCrash(digest) {
			recorder.noteCrash(digest);
		},
	});
	const recorder = createQuarantineRecorder({
		log: logs.grants, book: crashBook, quarantine, daemon: self.daemon, listPeers: listUp, clock, events,
	});
	const lending = createTokenLending({
		daemon: self.daemon, account, events, clock,
		listOwners: homes.listOwners,
		isOwner: homes.isOwner,
		claim: async (customer, amount) => keeper.claimForPeer(customer, amount),
		onLent(customer, amount) {
			keeper.recordLent(customer, amount);
		},
		listViews: views.list,
		listUnresponsive: news.listSilent,
		countWanted: customer => keeper.countWanted(customer),
		async requestLoan(address, ask) {
			const {tokens} = await fleet.connect(address).gateway.lend(ask, {timeoutMs: peerTimeout});
			return tokens;
		},
	});
	const keeper = createBudgetManager({
		self, log: logs.grants, follower: state.grants, grants: book, account, owners: homes, clock, events, signal, findRouteTable: findTable,
		borrow: lending.borrow,
	});
	const retries = new Map<string, RetryBudget>();
	// Only ever rises: gateways that come and go must not refill the budgets each time.
	let mostGateways = leastGateways;
	const forwarder = createRequestForwarder({
		wire: adapter.wire, clock, events,
		client: createUpstreamClient({connectTimeoutMs: connectTimeout, maxConnections: upstreamConnections}),
		registry: upstreams,
		quarantine,
		crashDetector: createCrashDetector({
			isExpectedUp: upstreams.isListed,
			probe: async address => probeAddress(address, {timeoutMs: probeTimeout}),
		}),
		findRetryBudget(service) {
			const gateways = book.listRunning().filter(({role}) => role === 'gateway').length;
			if (gateways > mostGateways) {
				mostGateways = gateways;
				retries.clear();
			}

			const known = retries.get(service) ?? createRetryBudget({ratio: settings.retryShare, burst: settings.retrySlack / mostGateways});
			retries.set(service, known);
			return known;
		},
	});
	const admission = createAdmission({
		random: Math.random,
		findShortestObjective: () => Math.min(...findTable()?.deployment.routes.map(({objective}) => objective) ?? []),
		onChange(change) {
			events.write('admissionChanged', change);
		},
	});
	const callers = createGatewayInterface({
		wire: adapter.wire, findTable, keeper, forwarder, metrics, clock, events, stopWindow, admission, quarantine,
		findLeavingRetryAfter: () => forecast.estimate(views.list(), {ownRemainingMs: stopWindow.countLeft()}),
	});
	const callerServer = await startCallerServer(settings.listen.callers, callers.serve);
	let readinessAnswers = 0;
	const readinessServer = await startHttpServer(settings.listen.readiness, service => {
		service.get(adapter.wire.readinessPath, (_request, response) => {
			readinessAnswers += 1;
			response.statusCode = state.isReady() && !stopWindow.hasBegun() ? 200 : 503;
			response.end();
		});
	});
	const metricsServer = await startHttpServer(settings.listen.metrics, service => {
		addQuarantineRoutes(service, {operatorKey: settings.operatorKey, quarantine, events});
		service.get('/metrics', (_request, response) => {
			response.setHeader('content-type', 'text/plain; version=0.0.4');
			response.end(formatGatewayMetrics({
				metrics, events, running: callers.countRunning(), version: findVersion(), account, admission, quarantine, work: callerServer.getStatistics(), readinessAnswers,
			}));
		});
	});
	const peerServer = await startFleetServer(settings.listen.peers, {
		fleetKey: settings.fleetKey,
		routes(router) {
			router.service(Relay, createRelayInterface(Object.values(adapter.logs), signal));
			router.service(Gateway, createGatewayPeerInterface({answerCatchUp, lend: lending.lend}));
		},
		onUnauthenticated() {
			events.write('peerRefused');
		},
	});
	const newsSocket = await openDatagramSocket(settings.listen.news, {
		fleetKey: settings.fleetKey,
		onMessage: news.take,
		onUnauthenticated() {
			events.write('peerRefused');
		},
		onSendError(error) {
			events.write('peerNewsLost', {detail: error.message});
		},
	});
	self.address = peerServer.address;
	self.newsAddress = newsSocket.address;
	const addresses = {
		callers: callerServer.url, readiness: readinessServer.url, peers: peerServer.address, metrics: metricsServer.url,
	};
	events.write('daemonStarted', {
		role: self.role, incarnation: self.incarnation, pid: process.pid, ...addresses,
	});
	state.run(signal);
	void keeper.run();
	void news.run(signal);
	void recorder.run(signal);
	void monitorEventLoop({
		clock, onWindow: admission.recordLag, readStats: readWork,
		onStall(stall) {
			events.write('loopStalled', stall);
		},
	}, signal);

	return {
		addresses,
		// A gateway's name is never taken over: each incarnation has its own key.
		superseded: new Promise<void>(() => undefined), // eslint-disable-line no-promise-executor-return
		reload(changed) {
			settings = changed;
			retries.clear();
			events.write('settingsReloaded', {stopWithin: changed.stopWithin, retryShare: changed.retryShare, retrySlack: changed.retrySlack});
		},
		async stop() {
			events.write('daemonStopping', {running: callers.countRunning()});
			stopWindow.begin(findStopSpan());
			news.noteChange();
			callerServer.requestConnectionClose();
			await clock.sleep(leaveNotice);
			const connections = callerServer.drain();
			events.write('daemonDraining', {stoppingMs: Math.round(stopWindow.countElapsed()!), running: callers.countRunning(), connections});
			if (!await waitUntilIdle(callers.countRunning, {within: stopWindow.countLeft(), clock})) {
				events.write('requestCut', callers.describeRunning());
			}

			stopWindow.finish();
			await Promise.race([keeper.releaseUnused(), clock.sleep(stopReserve / 2)]);
			stopper.abort();
			callers.noteEnding();
			callerServer.closeAllConnections();
			readinessServer.closeAllConnections();
			metricsServer.closeAllConnections();
			newsSocket.close();
			await peerServer.close();
			fleet.close();
			await adapter.close();
			events.write('daemonStopped');
		},
		cut() {
			events.write('requestCut', callers.describeRunning());
		},
	};
}
