/**
 * Assembles a gateway daemon: an entry daemon that serves callers by the routes
 * of a deployment and sends requests directly to upstreams.
 *
 * @module
 */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {
	CachedPromptSource, NearReceiverPolicy, OwnedColdShare, ReturnedLoanPolicy, UnseenDemandTargetPolicy,
	createAdmission, createColdAdmission, createBudgetOwners, createBudgetManager, createCrashDetector, createStorePathTracker, createMetrics,
	createPeerCatchUp, createGossip, createLoanReturns, createQuarantine, createQuarantineRecorder, createRelayedLog, createRepaymentClient, createRequestForwarder,
	createRetryAfterEstimator, createRetryBudget, createTokenLending, createTrafficCounter, createUpstreamRegistry, fanOut, monitorEventLoop,
	type CatchUpAnswer, type CatchUpQuery, type HolderIdentity, type GossipPeer, type ProcessStats, type RetryBudget,
} from '../coordination/mod.js';
import {
	Gateway, Relay, createId, type EventLog, type GatewaySettings, type KeyedLog,
} from '../protocol/mod.js';
import {
	createCrashRegistry, createPeerViews, type HolderRecord, type PeerView,
} from '../state/mod.js';
import {
	createFleetClient, createSystemClock, createUpstreamClient, openDatagramSocket, probeAddress, startCallerServer, startFleetServer, startHttpServer,
	waitWithTimeout,
} from '../transport/mod.js';
import type {RunningDaemon} from './core.js';
import {formatGatewayMetrics} from './gateway-metrics.js';
import {createGatewayInterface} from './gateway-interface.js';
import {createGatewayPeerInterface} from './gateway-peer-interface.js';
import {createGatewayState, type GatewayAdapter} from './gateway-state.js';
import {addQuarantineRoutes} from './quarantine-interface.js';
import {createRelayInterface, openRelayedLog} from './relay-interface.js';
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
/** Time within which the store must answer for a stopping gateway to release its grants in the log. */
const storeCheckTimeoutMs = 200;
const trafficReportIntervalMs = 10_000;
const microsecondsPerMillisecond = 1000;
/** Minimum number of gateways among which the fleet's retry slack is divided: the smallest deployments have four. */
const minGateways = 4;

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
		direct, pathTracker, clock, listRelays,
		openRelayedLog: address => openRelayedLog(direct.name, {
			fleet, address,
			onReceived(bytes) {
				traffic.record('relay', {bytes, failureDomain: grantRegistry.listRunning().find(holder => holder.address === address)?.failureDomain});
			},
		}),
	});
	const logs = {deployment: withRelays(adapter.logs.deployment), upstreams: withRelays(adapter.logs.upstreams), grants: withRelays(adapter.logs.grants)};
	const stopWindow = createStopWindow({noticeMs: stopNoticeMs, clock});

	const state = createGatewayState({
		adapter: {...adapter, logs}, self, upstreamHeartbeatMs: settings.upstreamHeartbeat, clock, events,
		onDeployment(deployment) {
			callerServer.setLimits(deployment.limits);
		},
		onOwnRecord(record) {
			budgetManager.applyOwnRecord(record);
		},
		onQuarantineRecord(record) {
			quarantineRecorder.applyRecord(record);
		},
	});
	const {
		account, grantRegistry, directory, evacuations, findRouteTable,
	} = state;
	const peerViews = createPeerViews();

	// Other gateways must not be missing from the list, as each would use the share of a missing one as well.
	function listGateways(): string[] | undefined {
		return state.grantFollower.getNextOffset() === undefined
			? undefined
			: [...new Set([self.daemon, ...grantRegistry.listRunning().filter(({role}) => role === 'gateway').map(({daemon}) => daemon)])];
	}

	const coldAdmission = createColdAdmission({
		clock, processStartedAt: 0, daemon: self.daemon, policy: new OwnedColdShare(), listGateways, overage: settings.coldOverage, slack: settings.coldSlack,
	});
	const upstreamRegistry = createUpstreamRegistry({
		directory, evacuations, coldAdmission, clock, failureDomain: settings.failureDomain, getViewAgeMs: state.computeViewAgeMs, sumPeerUse: peerViews.sumUse,
		onUseChange() {
			gossip.markChanged();
		},
		onPromptPlaced(prompt) {
			gossip.announcePrompt(prompt);
		},
	});

	// Lists relay daemons, which run next to upstreams, before gateways: a partition that separates this gateway from the
	// store often separates the other gateways from it as well.
	function listRelays(): string[] {
		const rank = (holder: HolderRecord) => (holder.role === 'relay' ? 0 : 2) + (holder.failureDomain === self.failureDomain ? 0 : 1);
		const holders = grantRegistry.listRunning().filter(({daemon}) => daemon !== self.daemon).sort((left, right) => rank(left) - rank(right));
		return [...holders.map(({address}) => address), ...settings.seeds.filter(address => address !== self.address)];
	}

	function listPeers(): GossipPeer[] {
		return grantRegistry.listRunning()
			.flatMap(({role, daemon, address, newsAddress, failureDomain}) => role === 'gateway' && daemon !== self.daemon && newsAddress !== undefined
				? [{
					daemon, address, newsAddress, failureDomain,
				}]
				: []);
	}

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
		return account.listCustomers()
			.map(customer => ({customer, tokens: budgetManager.countSpare(customer)}))
			.filter(({tokens}) => tokens > 0)
			.sort((left, right) => right.tokens - left.tokens)
			.slice(0, maxAdvertisedCustomers);
	}

	function buildView(): PeerView {
		upstreamRegistry.prune();
		quarantine.prune();
		return {
			daemon: self.daemon,
			incarnation: self.incarnation,
			address: self.address,
			free: listFreeTokens(),
			uses: upstreamRegistry.listUses(),
			version: getDeploymentVersion(),
			isLeaving: stopWindow.hasBegun(),
			crashes: quarantine.listRecent(),
			domains: evacuations.listAnnounced(clock.now()),
		};
	}

	function handleCatchUp({knownVersion, wantsPrompts}: CatchUpQuery): CatchUpAnswer {
		return {
			deployment: knownVersion < getDeploymentVersion() ? new TextEncoder().encode(state.getDeploymentRecord()) : new Uint8Array(),
			prompts: wantsPrompts ? upstreamRegistry.listCachedPrompts() : [],
			crashes: wantsPrompts ? quarantine.listAll() : [],
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
		queryPeer: async (address, query) => fleet.connect(address).gateway.catchUp(query, {timeoutMs: peerTimeoutMs}),
		onDeployment: state.adoptFromPeer,
		onPrompt: upstreamRegistry.recordPeerPrompt,
		onCrashRecord(record) {
			quarantine.merge(record, 'peer');
		},
		abandonConnection(address) {
			fleet.connect(address).abandon();
		},
	});
	const gossip = createGossip({
		clock, events, daemon: self.daemon, views: peerViews, listPeers,
		getOwnView: buildView,
		receiverPolicy: new NearReceiverPolicy({fanOut, failureDomain: settings.failureDomain, random: Math.random}),
		send(message, receivers) {
			gossipSocket.send(message, receivers.map(({newsAddress}) => newsAddress));
			for (const {failureDomain} of receivers) {
				traffic.record('gossip', {bytes: message.length, failureDomain});
			}
		},
		onView(view) {
			retryAfterEstimator.recordView(view);
			catchUp.handleView(view);
			for (const record of view.crashes) {
				quarantine.merge(record, 'peer');
			}

			for (const domain of view.domains) {
				state.adoptDomainFromPeer(domain, view.daemon);
			}
		},
		onPrompt: upstreamRegistry.recordPeerPrompt,
	});
	const listPresumedUpPeers = () => listPeers().map(({daemon}) => daemon).filter(daemon => gossip.isPresumedUp(daemon));
	const owners = createBudgetOwners({clock, daemon: self.daemon, listPeers: listPresumedUpPeers});
	const crashRegistry = createCrashRegistry();
	const quarantine = createQuarantine({
		crashRegistry, daemon: self.daemon, listPeers: listPresumedUpPeers, clock, events,
		onChange() {
			gossip.markChanged();
		},
		onCrash(digest) {
			quarantineRecorder.recordCrash(digest);
		},
	});
	const quarantineRecorder = createQuarantineRecorder({
		log: logs.grants, crashRegistry, quarantine, daemon: self.daemon, listPeers: listPresumedUpPeers, clock, events,
	});
	const lending = createTokenLending({
		daemon: self.daemon, account, events, clock,
		listOwners: owners.listOwners,
		isOwner: owners.isOwner,
		claim: async (customer, amount) => budgetManager.claimForPeer(customer, amount),
		onLent(customer, amount) {
			budgetManager.recordLent(customer, amount);
		},
		listViews: peerViews.list,
		listUnresponsive: gossip.listUnresponsive,
		listUnheard: gossip.listUnheard,
		countWanted: customer => budgetManager.countWanted(customer),
		async requestLoan(address, request) {
			const {tokens} = await fleet.connect(address).gateway.lend(request, {timeoutMs: peerTimeoutMs});
			return tokens;
		},
	});
	const budgetManager = createBudgetManager({
		self, log: logs.grants, follower: state.grantFollower, grants: grantRegistry, account, owners, clock, events, signal, findRouteTable,
		borrow: lending.borrow, loanPolicy: new ReturnedLoanPolicy(), grantTargetPolicy: new UnseenDemandTargetPolicy(),
	});
	const loanReturns = createLoanReturns({
		self, account, clock, events,
		listViews: peerViews.list,
		listOwners: owners.listOwners,
		computeReturned: budgetManager.computeReturned,
		onReceived: budgetManager.recordReturned,
		sendRepayment: createRepaymentClient({fleet, timeoutMs: peerTimeoutMs}),
	});
	const retryBudgets = new Map<string, RetryBudget>();
	// Never decreases, so that gateways that stop and start do not refill the retry budgets each time.
	let maxGatewaysSeen = minGateways;
	const forwarder = createRequestForwarder({
		wire: adapter.wire, clock, events,
		client: createUpstreamClient({connectTimeoutMs, maxConnections: maxUpstreamConnections}),
		registry: upstreamRegistry,
		traffic,
		promptSourcePolicy: new CachedPromptSource(),
		quarantine,
		crashDetector: createCrashDetector({
			isExpectedUp: upstreamRegistry.isListed,
			probe: async address => probeAddress(address, {timeoutMs: probeTimeoutMs}),
		}),
		findRetryBudget(service) {
			const gateways = grantRegistry.listRunning().filter(({role}) => role === 'gateway').length;
			if (gateways > maxGatewaysSeen) {
				maxGatewaysSeen = gateways;
				retryBudgets.clear();
			}

			const retryBudget = retryBudgets.get(service) ?? createRetryBudget({ratio: settings.retryShare, burst: settings.retrySlack / maxGatewaysSeen});
			retryBudgets.set(service, retryBudget);
			return retryBudget;
		},
	});
	const admission = createAdmission({
		random: Math.random,
		findShortestObjective: () => Math.min(...findRouteTable()?.deployment.routes.map(({objective}) => objective) ?? []),
		onChange(change) {
			events.write('admissionChanged', change);
		},
	});
	const callerInterface = createGatewayInterface({
		wire: adapter.wire, findRouteTable, budgetManager, forwarder, metrics, clock, events, stopWindow, admission, quarantine,
		computeStopRetryAfterMs: () => retryAfterEstimator.estimate(peerViews.list(), {ownRemainingMs: stopWindow.computeRemainingMs()}),
	});
	const callerServer = await startCallerServer(settings.listen.callers, callerInterface.serve);
	let readinessResponses = 0;
	const readinessServer = await startHttpServer(settings.listen.readiness, service => {
		service.get(adapter.wire.readinessPath, (_request, response) => {
			readinessResponses += 1;
			response.statusCode = state.isReady() && !stopWindow.hasBegun() ? 200 : 503;
			response.end();
		});
	});
	const metricsServer = await startHttpServer(settings.listen.metrics, service => {
		addQuarantineRoutes(service, {operatorKey: settings.operatorKey, quarantine, events});
		service.get('/metrics', (_request, response) => {
			response.setHeader('content-type', 'text/plain; version=0.0.4');
			response.end(formatGatewayMetrics({
				metrics,
				events,
				runningRequests: callerInterface.countRunning(),
				deploymentVersion: getDeploymentVersion(),
				account,
				admission,
				quarantine,
				traffic,
				callerServerStatistics: callerServer.getStatistics(),
				readinessResponses,
			}));
		});
	});
	const peerServer = await startFleetServer(settings.listen.peers, {
		fleetKey: settings.fleetKey,
		routes(router) {
			router.service(Relay, createRelayInterface(Object.values(adapter.logs), signal));
			router.service(Gateway, createGatewayPeerInterface({handleCatchUp, lend: lending.lend, receiveRepayment: loanReturns.receive}));
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
		callers: callerServer.url, readiness: readinessServer.url, peers: peerServer.address, metrics: metricsServer.url,
	};
	events.write('daemonStarted', {
		role: self.role, incarnation: self.incarnation, pid: process.pid, ...addresses,
	});
	state.run(signal);
	void budgetManager.run();
	void gossip.run(signal);
	void reportTraffic();
	void loanReturns.run(signal);
	void quarantineRecorder.run(signal);
	void monitorEventLoop({
		clock, onWindow: admission.recordLag, readStats: readProcessStats,
		onStall(stall) {
			events.write('loopStalled', stall);
		},
	}, signal);

	// Grants are released in the log. Loans, and everything if the store is unavailable, can only go to another gateway.
	// They are deducted before the first wait, so the released grants do not include them.
	async function releaseTokens(): Promise<void> {
		const isStoreUp = await waitWithTimeout(state.grantFollower.catchUp(signal), {clock, timeoutMs: storeCheckTimeoutMs}) ?? false;
		const repaid = loanReturns.repayAll({shouldIncludeGrants: !isStoreUp});
		await waitWithTimeout(Promise.all([repaid, budgetManager.releaseUnused()]), {clock, timeoutMs: stopReserveMs / 2});
	}

	return {
		addresses,
		// Never resolves: no other process can supersede a gateway, because each incarnation has its own key.
		superseded: new Promise<void>(() => undefined), // eslint-disable-line no-promise-executor-return
		reload(changed) {
			settings = changed;
			retryBudgets.clear();
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
			if (!await waitUntilIdle(callerInterface.countRunning, {timeoutMs: stopWindow.computeRemainingMs(), clock})) {
				events.write('requestCut', callerInterface.describeRunning());
			}

			stopWindow.finish();
			await releaseTokens();
			abortController.abort();
			callerInterface.markClosing();
			callerServer.closeAllConnections();
			readinessServer.closeAllConnections();
			metricsServer.closeAllConnections();
			gossipSocket.close();
			await peerServer.close();
			fleet.close();
			await adapter.close();
			events.write('daemonStopped');
		},
		logAbortedRequests() {
			events.write('requestCut', callerInterface.describeRunning());
		},
	};
}
