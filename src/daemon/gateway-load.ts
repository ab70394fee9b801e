/**
 * Connects the measured load of a gateway with its callers' server, its
 * readiness and its gossip.
 *
 * @module
 */
import process from 'node:process';
import {
	computeBusiestShare, computeSpareMillicores, countDomainRoom, countPeerRoom, createConnectionAdmission, createConnectionCloseDecision, createLoadMeter, createLoopMeter,
	createRotationDecision, createStartAdmission, isReadyForConnections, listDomainPeers, loadIntervalMs, peerRoomShare, shouldMoveCallers,
	type Admission, type Gossip, type GossipPeer, type LoadShares, type LoopMeter,
} from '../coordination/mod.js';
import type {EventLog, GatewaySettings} from '../protocol/mod.js';
import type {GatewayLoad, HandOverOffer, PeerViews} from '../state/mod.js';
import {startSocketCounters, type CallerServer, type Clock} from '../transport/mod.js';
import {createGatewayHandOver, type HandOverServer} from './gateway-hand-over.js';

/** Options of {@linkcode createGatewayLoadControl}. */
export type CreateGatewayLoadControlOptions = {
	readonly settings: Pick<GatewaySettings, 'id' | 'failureDomain' | 'capacity'>;
	readonly admission: Pick<Admission, 'countRoom' | 'getLimit' | 'isLagging' | 'isOverloaded'>;
	readonly peerViews: Pick<PeerViews, 'findReceivedAt' | 'list'>;
	readonly gossip: Pick<Gossip, 'markUrgent'>;
	/** Lists the other gateways that the log records. */
	readonly listPeers: () => GossipPeer[];
	/** Returns true if requests can be served. */
	readonly isServing: () => boolean;
	readonly isStopping: () => boolean;
	readonly hasDeployment: () => boolean;
	/** Version of the deployment in force; 0 before the first. */
	readonly getDeploymentVersion: () => number;
	/** Default: measures the event loop of this process. */
	readonly loopMeter?: LoopMeter;
	readonly clock: Clock;
	readonly events: EventLog;
	readonly signal: AbortSignal;
};

/** The load of a gateway and what it asks of its callers and of the load balancer. */
export type GatewayLoadControl = ReturnType<typeof createGatewayLoadControl>;

/** Why a gateway is not ready. */
export const notReadyReasons = ['not-serving', 'stopping', 'event-loop', 'load'] as const;

/** Minimum interval between two announcements of a gateway whose load fluctuates around the room that it advertises. */
const minAnnouncementIntervalMs = 1000;
const microsecondsPerMillisecond = 1000;
const percentPerShare = 100;
const resourceNames = {processorShare: 'processor', linkShare: 'link', memoryShare: 'memory'} as const;

/** @internal */
function describeShares({processorShare, linkShare, memoryShare}: LoadShares) {
	return {
		processorPercent: Math.round(processorShare * percentPerShare), linkPercent: Math.round(linkShare * percentPerShare), memoryPercent: Math.round(memoryShare * percentPerShare),
	};
}

/**
 * Creates the control of a gateway's load. Without a processor, link or memory
 * in the settings it measures and advertises nothing, and only the lag of the
 * event loop counts as overload.
 *
 * @example
 * ```ts
 * const loadControl = createGatewayLoadControl(options);
 * loadControl.attach(callerServer);
 * loadControl.run();
 * ```
 *
 * @param options The settings, and what the gateway knows of itself and of others
 * @returns The control
 */
export function createGatewayLoadControl(options: CreateGatewayLoadControlOptions) {
	const {
		settings, admission, peerViews, gossip, clock, events, signal, loopMeter = createLoopMeter(),
	} = options;
	const {failureDomain, capacity = {}} = settings;
	const isMeasured = (capacity.processorCores ?? capacity.linkBytesPerSecond ?? capacity.memoryBytes) !== undefined;
	const socketCounters = isMeasured ? startSocketCounters() : undefined;
	const meter = createLoadMeter({
		capacity, clock,
		readCounters() {
			const {user, system} = process.cpuUsage();
			return {
				processorMs: (user + system) / microsecondsPerMillisecond, residentBytes: process.memoryUsage.rss(), receivedBytes: 0, sentBytes: 0, ...socketCounters?.read(),
			};
		},
	});
	// The processor is left to the lag of the event loop: the time that a process counts is not what a host with a usage cap grants.
	const getDecisiveShares = (): LoadShares => ({...meter.getSmoothed(), processorShare: 0});
	const rotation = createRotationDecision({
		daemon: settings.id, failureDomain, clock,
		onChange(change) {
			events.write('rotationChanged', {...change, ...describeShares(meter.getSmoothed())});
			gossip.markUrgent();
		},
	});
	const closeDecision = createConnectionCloseDecision({shouldMoveCallers: () => !options.isServing() || (isMeasured && shouldMoveCallers(getDecisiveShares()))});
	const startAdmission = createStartAdmission({
		linkBytesPerSecond: capacity.linkBytesPerSecond, clock, hasDeployment: options.hasDeployment,
		onChange({isLimited, rejectionShare}) {
			events.write('startAdmissionChanged', {isLimited, rejectionPercent: Math.round(rejectionShare * percentPerShare)});
		},
	});
	const countPeers = () => countPeerRoom(peerViews.list());
	const listDomainMembers = () => options.listPeers().filter(peer => peer.failureDomain === failureDomain).map(({daemon}) => daemon);
	const countDomainPeers = () => countDomainRoom({failureDomain, members: listDomainMembers(), views: peerViews.list()});
	/** Incarnations whose load was reported as unreadable, by gateway. */
	const reportedIncarnations = new Map<string, string>();
	let callerServer: Pick<CallerServer, 'countBytes'> | undefined;
	let handOverAddress: string | undefined;
	let callerBytes = 0;
	let isClosing = false;
	let wasBusy = false;
	let announcedAt = Number.NEGATIVE_INFINITY;
	let hasMeasured = false;

	function listNotReadyReasons(): Array<typeof notReadyReasons[number]> {
		const isReasonGiven = {
			'not-serving': !options.isServing(),
			stopping: options.isStopping(),
			'event-loop': !isReadyForConnections({isOverloaded: admission.isOverloaded(), peers: countPeers()}),
			load: !rotation.takesConnections(),
		};
		return notReadyReasons.filter(reason => isReasonGiven[reason]);
	}

	const isReady = () => listNotReadyReasons().length === 0;

	const handOver = createGatewayHandOver(options);

	const connectionAdmission = createConnectionAdmission({countRoom: handOver.countRoom, clock, countPeers});

	function buildHandOverOffer(): HandOverOffer | undefined {
		const mayTake = handOverAddress !== undefined && capacity.processorCores !== undefined && !admission.isOverloaded() && !admission.isLagging() && isReady();
		const spareMillicores = mayTake ? computeSpareMillicores({busyShare: loopMeter.getBusyShare(), cores: capacity.processorCores!}) : 0;
		return spareMillicores > 0 ? {address: handOverAddress!, spareMillicores} : undefined;
	}

	function buildLoad(): GatewayLoad {
		const offer = buildHandOverOffer();
		return {
			...meter.getLatest(), takesConnections: isReady(), failureDomain, ...offer && {handOver: offer},
		};
	}

	function reportUnreadable(): void {
		for (const {daemon, incarnation, load} of peerViews.list()) {
			if (load && computeBusiestShare(load) === undefined && reportedIncarnations.get(daemon) !== incarnation) {
				reportedIncarnations.set(daemon, incarnation);
				events.write('peerLoadUnreadable', {peer: daemon, incarnation});
			}
		}
	}

	// The others learn at once that there is no more room here, so that gateways that become overloaded together stay ready.
	function announceIfBusy(): void {
		const isBusy = computeBusiestShare(meter.getLatest())! > peerRoomShare;
		if (isBusy && !wasBusy && clock.now() - announcedAt >= minAnnouncementIntervalMs) {
			announcedAt = clock.now();
			gossip.markUrgent();
		}

		wasBusy = isBusy;
	}

	function updateCloseDecision(): void {
		const shouldClose = closeDecision.shouldClose();
		if (shouldClose !== isClosing) {
			isClosing = shouldClose;
			events.write('connectionCloseChanged', {isClosing, ...describeShares(meter.getSmoothed())});
		}
	}

	function update(): void {
		meter.measure();
		loopMeter.measure();
		hasMeasured = true;
		const bytes = callerServer?.countBytes() ?? 0;
		startAdmission.recordCallerBytes(bytes - callerBytes);
		callerBytes = bytes;
		reportUnreadable();
		rotation.update({shares: getDecisiveShares(), peers: listDomainPeers({failureDomain, members: listDomainMembers(), views: peerViews.list()})});
		announceIfBusy();
		updateCloseDecision();
	}

	async function runUpdates(): Promise<void> {
		while (!signal.aborted) {
			await clock.sleep(loadIntervalMs, signal);
			update();
		}

		socketCounters?.stop();
	}

	return {
		isReady,
		countPeers,
		countDomainPeers,
		/** Returns the number of gateways to which a connection can be handed over. */
		countOffers: handOver.countOffers,
		/** Lists why the gateway is not ready; empty if it is. */
		listNotReadyReasons,
		/** Records the answer to a readiness check of the load balancer. */
		recordReadinessCheck: closeDecision.recordCheck,

		/** Returns the load to advertise; undefined if the settings name no capacity or nothing has been measured yet. */
		getLoad: (): GatewayLoad | undefined => hasMeasured ? buildLoad() : undefined,

		/** Lists the smoothed used shares of the measured resources. */
		listShares(): Array<{readonly resource: string; readonly share: number}> {
			const shares = meter.getSmoothed();
			const capacities = {processorShare: capacity.processorCores, linkShare: capacity.linkBytesPerSecond, memoryShare: capacity.memoryBytes};
			return (Object.keys(resourceNames) as Array<keyof typeof resourceNames>)
				.filter(name => hasMeasured && capacities[name] !== undefined)
				.map(name => ({resource: resourceNames[name], share: shares[name]}));
		},

		/** Has the decisions apply to the callers' server. */
		attach(server: HandOverServer & Pick<CallerServer, 'countBytes' | 'setAcceptPolicy' | 'setClosePolicy'>): void {
			callerServer = server;
			server.setAcceptPolicy(awaiting => startAdmission.shouldAccept() && connectionAdmission.shouldAccept(awaiting));
			handOver.attach(server);
			if (isMeasured) {
				server.setClosePolicy(() => closeDecision.shouldClose() || handOver.canHandOver());
			}
		},

		/** Offers other gateways to hand connections over to an address. */
		setHandOverAddress(address: string): void {
			handOverAddress = address;
		},

		/** Measures until the signal is aborted. */
		run(): void {
			if (isMeasured) {
				void runUpdates();
			}
		},
	};
}
