/**
 * Assembles a gateway daemon: an entry daemon that serves callers by the routes
 * of a deployment and sends requests directly to upstreams.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {
	CachedPromptSource, NearReceiverPolicy, OwnedShare, SubstitutedShare,
	countPeerRoom, createAdmission, createBudgetOwners, createColdAdmission, createCrashDetector, createFencedLog, createFleetRetryBudgets, createGossip, createLimitAdmission, createLimitRecorder, createMetrics, createNoticeRecorder, createPeerCatchUp,
	createRelayedLog, createRequestForwarder, createRetryAfterEstimator, createStartReportClient,
	createStorePathTracker, createTrafficCounter, createUpstreamEligibility, createUpstreamRegistry, decodePart, fanOut, isViewOutdated, monitorEventLoop,
	type CatchUpAnswer, type CatchUpQuery, type HolderIdentity, type ProcessStats,
} from '../coordination/mod.js';
import {
	Gateway, Relay, createId, type EventLog, type GatewaySettings, type KeyedLog,
} from '../protocol/mod.js';
import {
	createPeerViews, createUpstreamDepartures, createUpstreamLimits, createUpstreamRests, type PeerView,
} from '../state/mod.js';
import {
	computeMaxConnections, computeMaxHeldBytes, createByteLimits, createFleetClient, createSystemClock, createUpstreamClient, joinSignals, openDatagramSocket, probeAddress, startCallerServer, startFleetServer,
} from '../transport/mod.js';
import type {RunningDaemon} from './core.js';
import {formatGatewayMetrics} from './gateway-metrics.js';
import {createGatewayFleet} from './gateway-fleet.js';
import {createGatewayInterface} from './gateway-interface.js';
import {createGatewayLoadControl} from './gateway-load.js';
import {createGatewayPeerInterface} from './gateway-peer-interface.js';
import {createGatewayPressure} from './gateway-pressure.js';
import {createGatewayQuarantines} from './gateway-quarantines.js';
import {createGatewayState, type GatewayAdapter} from './gateway-state.js';
import {createGatewayStreams} from './gateway-streams.js';
import {createGatewayTokens} from './gateway-tokens.js';
import {createRelayInterface, openRelayedLog} from './relay-interface.js';
import {startStatusServers} from './status-servers.js';
import {createStopWindow} from './stop-window.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** Options of {@linkcode startGatewayDaemon}. */
export type StartGatewayOptions = {readonly adapter: GatewayAdapter; readonly events: EventLog};

/** A running gateway daemon. */
export type RunningGateway = RunningDaemon & {
	/** Applies changed settings. Changed addresses take effect only when the process is restarted. */
	readonly reload: (settings: GatewaySettings) => void;
};

const connectTimeoutMs = 400;
/** Maximum number of connections to one upstream: as many as a model engine runs requests concurrently. */
const maxUpstreamConnections = 64;
/** Length of the random suffix of an incarnation, which distinguishes two starts of a daemon in the same millisecond. */
const incarnationSuffixLength = 8;
/** Number of customers whose free tokens are advertised to other gateways, those with the most tokens first. */
const maxAdvertisedCustomers = 12;
/** Timeout of a call to a peer: many times the round-trip time between two failure domains. */
const peerTimeoutMs = 300;
/** An upstream's host refuses a connection within this time if no process listens at the address. */
const probeTimeoutMs = 150;
/** Time for which a stopping gateway accepts every request; the load balancer needs two readiness checks to notice the stop. */
const stopNoticeMs = 2500;
/** Time reserved at the end of a stop for releasing grants. */
const stopReserveMs = 700;
const trafficReportIntervalMs = 10_000;
const microsecondsPerMillisecond = 1000;
/** @internal */
function createIdentity(settings: GatewaySettings): HolderIdentity {
	const {host, port} = settings.listen.peers;
	return {
		role: 'gateway',
		daemon: settings.id,
		// Starts with the time, so that later incarnations of a daemon sort after earlier ones. Kept short because each gossip
		// entry contains it.
		incarnation: `${Date.now().toString(36)}-${createId('i').slice(0, incarnationSuffixLength)}`,
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
 * @param initialSettings Validated settings
 * @param options The adapter and the event log
 * @returns The running daemon
 * @throws {Error} If the daemon cannot listen on an address
 */
export async function startGatewayDaemon(initialSettings: GatewaySettings, {adapter, events}: StartGatewayOptions): Promise<RunningGateway> {
	let settings = initialSettings;
	const clock = createSystemClock();
	const metrics = createMetrics();
	const abortController = new AbortController();
	const {signal} = abortController;
	setMaxListeners(0, signal);
	const self = createIdentity(settings);
	const fleet = createFleetClient(settings.fleetKey);
	const pathTracker = createStorePathTracker({clock, events});
	const traffic = createTrafficCounter(settings.failureDomain);
	const withRelays = (direct: KeyedLog) => createRelayedLog({
		direct, pathTracker, clock,
		listRelays: () => gatewayFleet.listRelays(),
		openRelayedLog: address => openRelayedLog(direct.name, {
			fleet, address,
			onReceived(bytes) {
				traffic.record('relay', {bytes, failureDomain: gatewayFleet.findFailureDomain(address)});
			},
		}),
	});
	/** Aborted by an unexpected error, after which the tokens and the quarantines of this gateway are in doubt. */
	const failureController = new AbortController();
	const hasFailed = () => failureController.signal.aborted;
	const recordSignal = joinSignals([signal, failureController.signal]).signal;
	setMaxListeners(0, recordSignal);
	const logs = {
		deployment: withRelays(adapter.logs.deployment), upstreams: withRelays(adapter.logs.upstreams), grants: createFencedLog(withRelays(adapter.logs.grants), {isFenced: hasFailed}),
	};
	const stopWindow = createStopWindow({noticeMs: stopNoticeMs, clock});

	const state = createGatewayState({
		adapter: {...adapter, logs}, self, upstreamHeartbeatMs: settings.upstreamHeartbeat, isFirstStart: settings.isFirstStart, clock, events,
		onDeployment(deployment) {
			callerServer.setLimits(deployment.limits);
		},
		onOwnRecord(record) {
			budgetManager.applyOwnRecord(record);
		},
		onQuarantineRecord(record) {
			quarantines.applyRecord(record);
		},
		onOriginsRecord(record) {
			streams.applyOriginsRecord(record);
		},
		onRecoveryRecord(record) {
			tokens.recovery.applyRecord(record);
		},
		onGrantsRestored() {
			quarantines.dropLogged();
		},
	});
	const {
		account, grantRegistry, directory, starts, evacuations, findRouteTable,
	} = state;
	const peerViews = createPeerViews();
	const gatewayFleet = createGatewayFleet({
		self, grantRegistry, seeds: settings.seeds, hasReadGrants: () => state.grantFollower.getNextOffset() !== undefined,
	});

	const sender = {
		clock, processStartedAt: 0, daemon: self.daemon, listGateways: gatewayFleet.listGateways,
	};
	const coldAdmission = createColdAdmission({
		...sender, policy: new OwnedShare(), overage: settings.coldOverage, slack: settings.coldSlack,
	});
	const upstreamLimits = createUpstreamLimits();
	const limitAdmission = createLimitAdmission({...sender, policy: new SubstitutedShare(), limits: upstreamLimits});
	const limitRecorder = createLimitRecorder({
		limits: upstreamLimits, clock, events,
		onChange() {
			gossip.markChanged();
		},
	});
	const isOutdated = () => isViewOutdated({
		ownAgeMs: state.computeViewAgeMs(), peerAgesMs: peerViews.list().map(({viewAgeMs}) => viewAgeMs ?? Number.POSITIVE_INFINITY), drainMs: settings.upstreamDrain,
	});
	const departures = createUpstreamDepartures();
	const rests = createUpstreamRests();
	const eligibility = createUpstreamEligibility({
		directory, evacuations, departures, rests, starts, coldAdmission, limitAdmission, clock, random: Math.random,
		isInformed: () => state.isDeploymentRecent() || peerViews.list().length > 0,
		isOutdated,
	});
	const upstreamRegistry = createUpstreamRegistry({
		directory, eligibility, clock, events, failureDomain: settings.failureDomain, getViewAgeMs: state.computeViewAgeMs, sumPeerUse: peerViews.sumUse,
		onUseChange() {
			gossip.markChanged();
		},
		onPromptPlaced(prompt) {
			gossip.announcePrompt(prompt);
		},
	});

	async function reportTraffic(): Promise<void> {
		while (!signal.aborted) {
			await clock.sleep(trafficReportIntervalMs, signal);
			for (const total of traffic.list()) {
				events.write('trafficCounted', {incarnation: self.incarnation, ...total});
			}
		}
	}

	const getDeploymentVersion = () => findRouteTable()?.version ?? 0;

	function listFreeTokens() {
		if (hasFailed()) {
			return [];
		}

		return account.listCustomers()
			.map(customer => ({customer, tokens: budgetManager.countSpare(customer)}))
			.filter(({tokens}) => tokens > 0)
			.sort((left, right) => right.tokens - left.tokens)
			.slice(0, maxAdvertisedCustomers);
	}

	function buildView(): PeerView {
		upstreamRegistry.prune();
		upstreamLimits.prune(upstream => directory.get(upstream) !== undefined);
		rests.prune(clock.now());
		quarantines.prune();
		streams.recorder.prune();
		return {
			daemon: self.daemon,
			incarnation: self.incarnation,
			address: self.address,
			free: listFreeTokens(),
			uses: upstreamRegistry.listUses(),
			version: getDeploymentVersion(),
			isLeaving: stopWindow.hasBegun(),
			hasRoom: admission.countRoom() > 0,
			load: loadControl.getLoad(),
			viewAgeMs: state.computeViewAgeMs(),
			crashes: quarantines.requests.listRecent(),
			parts: quarantines.parts.listRecent(),
			domains: evacuations.listAnnounced(clock.now()),
			limits: upstreamLimits.listAnnouncements(clock.now()),
		};
	}

	function handleCatchUp({knownVersion, wantsPrompts}: CatchUpQuery): CatchUpAnswer {
		return {
			deployment: knownVersion < getDeploymentVersion() ? new TextEncoder().encode(state.getDeploymentRecord()) : new Uint8Array(),
			prompts: wantsPrompts ? upstreamRegistry.listCachedPrompts() : [],
			crashes: wantsPrompts ? quarantines.requests.listAll() : [],
			parts: wantsPrompts ? quarantines.parts.listAll() : [],
			readParts: wantsPrompts ? quarantines.parts.listRead() : [],
		};
	}

	function readProcessStats(): ProcessStats {
		const {user, system} = process.cpuUsage();
		const {connections, requests} = callerServer.getStatistics();
		return {cpuMs: (user + system) / microsecondsPerMillisecond, connections, requests};
	}

	const computeStopDurationMs = () => settings.stopWithin - stopReserveMs;
	const retryAfterEstimator = createRetryAfterEstimator({clock, findMaxStopMs: computeStopDurationMs});
	const catchUp = createPeerCatchUp({
		clock, events, findVersion: getDeploymentVersion,
		async queryPeer(address, query) {
			const {parts, ...answer} = await fleet.connect(address).gateway.catchUp(query, {timeoutMs: peerTimeoutMs});
			return {...answer, parts: parts.map(part => decodePart(part))};
		},
		onDeployment: state.adoptFromPeer,
		onPrompt: upstreamRegistry.recordPeerPrompt,
		onCrashRecord(record) {
			quarantines.requests.merge(record, 'peer');
		},
		onPartRecord(record) {
			quarantines.parts.merge(record, 'peer');
		},
		onReadParts(digests) {
			quarantines.parts.mergeRead(digests);
		},
		abandonConnection(address) {
			fleet.connect(address).abandon();
		},
	});
	const gossip = createGossip({
		clock, events, daemon: self.daemon, views: peerViews, listPeers: gatewayFleet.listPeers,
		getOwnView: buildView,
		receiverPolicy: new NearReceiverPolicy({fanOut, failureDomain: settings.failureDomain, random: Math.random}),
		send(message, receivers) {
			gossipSocket.send(message, receivers.map(({newsAddress}) => newsAddress));
			for (const {failureDomain} of receivers) {
				traffic.record('gossip', {bytes: message.length, failureDomain});
			}
		},
		onPeerBack(peer) {
			state.syncGateway(peer, signal);
		},
		onView(view) {
			retryAfterEstimator.recordView(view);
			catchUp.handleView(view);
			tokens.recovery.recordHeard(view);
			quarantines.mergeView(view);
			for (const domain of view.domains) {
				state.adoptDomainFromPeer(domain, view.daemon);
			}

			for (const limit of view.limits) {
				limitRecorder.recordAnnouncement(limit, view.daemon);
			}
		},
		onPrompt: upstreamRegistry.recordPeerPrompt,
		onStream(announcement) {
			streams.recorder.merge(announcement);
		},
	});
	const maxHeldBytes = computeMaxHeldBytes(settings.capacity?.memoryBytes);
	const byteLimits = createByteLimits({events, maxHeldBytes});
	const requestLimits = createByteLimits({events, maxHeldBytes});
	const upstreamClient = createUpstreamClient({connectTimeoutMs, maxConnections: maxUpstreamConnections, limits: byteLimits});
	const streamFleet = createFleetClient(settings.fleetKey);
	const streams = createGatewayStreams({
		daemon: self.daemon, state, fleet: streamFleet, fetchStart: createStartReportClient({client: upstreamClient, wire: adapter.wire}), listPeers: gatewayFleet.listPeers, gossip, log: logs.grants, clock, events, signal,
	});
	const listPresumedUpPeers = () => gatewayFleet.listPeers().map(({daemon}) => daemon).filter(daemon => gossip.isPresumedUp(daemon));
	const owners = createBudgetOwners({clock, daemon: self.daemon, listPeers: listPresumedUpPeers});
	const quarantines = createGatewayQuarantines({
		daemon: self.daemon, log: logs.grants, follower: state.grantFollower, listPeers: listPresumedUpPeers, gossip, clock, events, signal: recordSignal,
	});
	const tokens = createGatewayTokens({
		self, state, log: logs.grants, fleet, owners, gossip, peerViews, peerTimeoutMs, clock, events, signal: recordSignal, hasFailed, listPeers: listPresumedUpPeers, isFirstStart: settings.isFirstStart,
	});
	const {budgetManager} = tokens;
	const retryBudgets = createFleetRetryBudgets({
		countGateways: () => grantRegistry.listRunning().filter(({role}) => role === 'gateway').length,
		getLimits: () => ({share: settings.retryShare, slack: settings.retrySlack}),
	});
	const forwarder = createRequestForwarder({
		wire: adapter.wire, clock, events, limits: byteLimits,
		client: upstreamClient,
		registry: upstreamRegistry,
		eligibility,
		limitRecorder,
		noticeRecorder: createNoticeRecorder({
			departures, rests, clock, events,
		}),
		traffic,
		streamRecorder: streams.recorder,
		startChecker: streams.startChecker,
		promptSourcePolicy: new CachedPromptSource(),
		shouldPlaceByDelay: settings.shouldPlaceByDelay,
		quarantine: quarantines.requests,
		partQuarantine: quarantines.parts,
		crashDetector: createCrashDetector({
			isExpectedUp: eligibility.isExpectedUp,
			probe: async address => probeAddress(address, {timeoutMs: probeTimeoutMs}),
		}),
		findRetryBudget: retryBudgets.find,
		computeStopRemainingMs: stopWindow.computeRemainingMs,
	});
	const admission = createAdmission({
		clock,
		countPeers: () => countPeerRoom(peerViews.list()),
		findShortestObjective: () => findRouteTable()?.shortestObjective ?? Number.POSITIVE_INFINITY,
		onChange(change) {
			events.write('admissionChanged', change);
		},
	});
	const loadControl = createGatewayLoadControl({
		settings, admission, peerViews, gossip, clock, events, signal,
		listPeers: gatewayFleet.listPeers,
		isServing: () => state.isReady() && !isOutdated(),
		isStopping: stopWindow.hasBegun,
		hasDeployment: () => findRouteTable() !== undefined,
		getDeploymentVersion,
	});
	const callerInterface = createGatewayInterface({
		wire: adapter.wire, findRouteTable, syncViews: async unreadMs => state.syncViews(unreadMs, signal), budgetManager, forwarder, streamResolver: streams.resolver, metrics, clock, events, stopWindow, admission, quarantine: quarantines.requests, partQuarantine: quarantines.parts, byteLimits, requestLimits,
		computeStopRetryAfterMs: () => retryAfterEstimator.estimate(peerViews.list(), {ownRemainingMs: stopWindow.computeRemainingMs()}),
	});
	const callerServer = await startCallerServer(settings.listen.callers, callerInterface.serve, {
		requestLimits, maxUnanswered: settings.maxUnansweredRequests, maxConnections: computeMaxConnections(settings.capacity?.descriptors),
		onEvict(evicted) {
			events.write('connectionsEvicted', evicted);
		},
		onRelayError(address, error) {
			events.write('handOverFailed', {address, reason: 'broken', detail: error.message});
		},
	});
	loadControl.attach(callerServer);
	if (settings.listen.handOver) {
		loadControl.setHandOverAddress(await callerServer.listenForRelayed(settings.listen.handOver));
	}

	const statusServers = await startStatusServers(settings, {
		readinessPath: adapter.wire.readinessPath, quarantine: quarantines.requests, partQuarantine: quarantines.parts, events, requestLimits,
		isReady: loadControl.isReady,
		onReadinessCheck: loadControl.recordReadinessCheck,
		formatMetrics: readinessResponses => formatGatewayMetrics({
			metrics,
			events,
			runningRequests: callerInterface.countRunning(),
			deploymentVersion: getDeploymentVersion(),
			account,
			lending: tokens.lending,
			admission,
			quarantine: quarantines.requests,
			partQuarantine: quarantines.parts,
			upstreamLimits,
			departures,
			countResting: () => rests.count(clock.now()),
			traffic,
			byteLimits,
			requestLimits,
			streamRecorder: streams.recorder,
			load: loadControl,
			callerServerStatistics: callerServer.getStatistics(),
			unanswered: callerInterface.countUnanswered(),
			readinessResponses,
		}),
	});
	const peerServer = await startFleetServer(settings.listen.peers, {
		fleetKey: settings.fleetKey,
		requestLimits,
		onEvict() {
			events.write('connectionsEvicted', {reason: 'too-many', connections: 1});
		},
		routes(router) {
			router.service(Relay, createRelayInterface(Object.values(adapter.logs), signal));
			router.service(Gateway, createGatewayPeerInterface({
				handleCatchUp, lend: tokens.lending.lend, receiveRepayment: repayment => !hasFailed() && tokens.loanReturns.receive(repayment), findStream: streams.findStream, reportGrants: tokens.recovery.report,
			}));
		},
		onUnauthenticated() {
			events.write('peerRefused');
		},
	});
	const gossipSocket = await openDatagramSocket(settings.listen.news, {
		fleetKey: settings.fleetKey,
		onMessage: gossip.handleMessage,
		onUnauthenticated() {
			events.write('peerRefused');
		},
		onSendError(error) {
			events.write('peerNewsLost', {detail: error.message});
		},
	});
	self.address = peerServer.address;
	self.newsAddress = gossipSocket.address;
	const addresses = {
		callers: callerServer.url, readiness: statusServers.readinessUrl, peers: peerServer.address, metrics: statusServers.metricsUrl,
	};
	events.write('daemonStarted', {
		role: self.role, incarnation: self.incarnation, pid: process.pid, ...addresses,
	});
	state.run(signal);
	tokens.run();
	void gossip.run(signal);
	void reportTraffic();
	loadControl.run();
	quarantines.run();
	streams.run();
	const pressure = createGatewayPressure({
		admission, loadControl, callerServer, clock, events, countRunning: callerInterface.countRunning,
	});
	void monitorEventLoop({
		clock, readStats: readProcessStats,
		onWindow(lagMs) {
			admission.recordLag(lagMs);
			pressure.recordLag(lagMs);
		},
		onStall(stall) {
			events.write('loopStalled', stall);
		},
	}, signal);

	return {
		addresses,
		// Never resolves: no other process can supersede a gateway, because each incarnation has its own key.
		superseded: new Promise<void>(() => undefined), // eslint-disable-line no-promise-executor-return
		reload(changed) {
			settings = changed;
			retryBudgets.drop();
			events.write('settingsReloaded', {stopWithin: changed.stopWithin, retryShare: changed.retryShare, retrySlack: changed.retrySlack});
		},
		async stop() {
			events.write('daemonStopping', {running: callerInterface.countRunning()});
			stopWindow.begin(computeStopDurationMs());
			gossip.markChanged();
			callerServer.requestConnectionClose();
			await clock.sleep(stopNoticeMs);
			const connections = callerServer.drain();
			events.write('daemonDraining', {stoppingMs: Math.round(stopWindow.computeElapsedMs()!), running: callerInterface.countRunning(), connections});
			if (!await waitUntilIdle(() => callerInterface.countRunning() + callerServer.listRelayed().length, {timeoutMs: stopWindow.computeRemainingMs(), clock})) {
				events.write('requestCut', callerInterface.describeRunning());
			}

			stopWindow.finish();
			if (!hasFailed()) {
				await tokens.release(stopReserveMs / 2);
			}

			abortController.abort();
			callerInterface.markClosing();
			callerServer.closeAllConnections();
			statusServers.closeAllConnections();
			gossipSocket.close();
			await peerServer.close();
			fleet.close();
			streamFleet.close();
			await adapter.close();
			events.write('daemonStopped');
		},
		async stopAfterFailure() {
			failureController.abort();
			stopWindow.begin(computeStopDurationMs());
			stopWindow.refuseAll();
			gossip.markChanged();
			callerServer.requestConnectionClose();
			if (!await waitUntilIdle(() => callerInterface.countRunning() + callerServer.listRelayed().length, {timeoutMs: stopWindow.computeRemainingMs(), clock})) {
				events.write('requestCut', callerInterface.describeRunning());
			}
		},
		logAbortedRequests() {
			events.write('requestCut', callerInterface.describeRunning());
		},
	};
}
