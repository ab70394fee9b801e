/**
 * Wires an entry daemon.
 *
 * @module
 */
import {
	AheadGrantPolicy, PrefixRoutingPolicy, createAttemptRunner, createGrantManager, createIntentManager, createLoanManager, createReclaimer, createRequestRouter,
	createRetryBudget, createRouteRegistry, createSettler, startSnapshotter, type GrantPolicy, type RoutingPolicy,
} from '../coordination/mod.js';
import {Peer, type EntrySettings} from '../protocol/mod.js';
import {createGrantHolder} from '../state/mod.js';
import {startHttpServer} from '../transport/mod.js';
import {createCallerInterface} from './caller-interface.js';
import {createCore, type RunningDaemon} from './core.js';
import {createOperatorInterface} from './operator-interface.js';
import {createPeerInterface} from './peer-interface.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** A lost stream is tried to be resumed for as long as it takes to suspect a peer, and to hear of it again. */
const resumeFactor = 2;

/** How long a stopping entry still takes requests, in milliseconds. */
const leaveNotice = 1500;

/** Parts that measurements and proofs may replace. */
export type EntryParts = {
	/** Default {@linkcode AheadGrantPolicy}. */
	readonly grantPolicy?: GrantPolicy;
	/** Default {@linkcode PrefixRoutingPolicy}. */
	readonly routingPolicy?: RoutingPolicy;
};

/**
 * Starts an entry daemon.
 *
 * @example
 * ```ts
 * const daemon = await startEntryDaemon(settings);
 * ```
 *
 * @param settings Checked settings
 * @param parts Parts in place of the default ones
 * @returns The running daemon
 * @throws {FailureError} When a secret cannot be read
 */
export async function startEntryDaemon(settings: EntrySettings, parts: EntryParts = {}): Promise<RunningDaemon> {
	const core = createCore(settings);
	const {
		self, follower, membership, writer, fleet, clock, events, metrics, signal,
	} = core;
	const listMembers = () => follower.state().placement.list();
	const holder = createGrantHolder();
	let refusesNew = false;
	const loans = createLoanManager({
		holder, membership, fleet, clock, events, listMembers, listWaitingAmounts: budget => keeper.listWanted(budget),
	});
	const keeper = createGrantManager({
		follower, writer, membership, holder, loans, clock, events,
		policy: parts.grantPolicy ?? new AheadGrantPolicy({horizonMs: settings.grants.horizon, shortHorizonMs: settings.grants.shortHorizon}),
		intervalMs: settings.grants.every,
	});
	const settler = createSettler({
		follower, membership, fleet, grantManager: keeper, clock,
	});
	const book = createRouteRegistry({membership, failureDomain: settings.failureDomain, listUpstreams: () => follower.state().placement.listUpstreams()});
	const resumeWithin = settings.heartbeat.suspectAfter * resumeFactor;
	const attempts = createAttemptRunner({
		follower, membership, fleet, grants: keeper, settler, routes: book, clock, events, resumeTimeoutMs: resumeWithin,
	});
	const router = createRequestRouter({
		follower, attempts, routes: book, clock, events, upstreamWaitMs: resumeWithin,
		policy: parts.routingPolicy ?? new PrefixRoutingPolicy(),
		retries: createRetryBudget({ratio: settings.requests.retryShare}),
	});
	const callers = createCallerInterface({
		self, settings: settings.requests, refusesNew: () => refusesNew, follower, router, metrics, clock, events,
	});
	const operators = createOperatorInterface({
		operatorKey: core.operatorKey, follower, writer, membership, events, metrics, holder,
		intents: createIntentManager({follower, writer, events}),
		isReady: () => follower.isReady() && !self.isLeaving,
		countFigures: () => ({running: callers.countRunning(), openAttempts: settler.countOpen()}),
	});

	const fleetServer = await core.startFleet(connect => {
		connect.service(Peer, createPeerInterface({self, follower, loans}));
	});
	const callerServer = await startHttpServer(settings.listen.callers, callers.addRoutes);
	const operatorServer = await startHttpServer(settings.listen.operators, operators.addRoutes);
	const enrolment = core.enrol({address: fleetServer.address, serves: [], work: 'none'});
	const stopSnapshots = startSnapshotter({
		follower, writer, membership, events, recordsPerSnapshot: settings.log.snapshotEvery,
	});
	const reclaimer = createReclaimer({
		follower, writer, membership, clock, events, wasInsufficient: keeper.wasInsufficient, findLentTo: loans.findGrantsLentTo,
	});
	for (const task of [keeper, settler, reclaimer]) {
		void task.run(signal);
	}

	events.write('daemonStarted', {role: self.role, incarnation: self.incarnation});
	return {
		addresses: {callers: callerServer.url, operators: operatorServer.url, peers: fleetServer.address},
		superseded: core.superseded,
		async stop() {
			events.write('daemonStopping', {running: callers.countRunning()});
			self.isLeaving = true;
			// The balancer learns from /readyz; what it still sends meanwhile is served like any request.
			await clock.sleep(leaveNotice);
			refusesNew = true;
			if (!await waitUntilIdle(() => callers.countRunning() + settler.countOpen(), {within: settings.stopWithin, clock})) {
				events.write('requestCut', {running: callers.countRunning()});
			}

			if (follower.isLogUp()) {
				await keeper.releaseUnused();
				await enrolment.leave();
			}

			stopSnapshots();
			await callerServer.close();
			operatorServer.closeAllConnections();
			await fleetServer.close();
			await core.close();
		},
		cut() {
			events.write('requestCut', {running: callers.countRunning()});
		},
	};
}
