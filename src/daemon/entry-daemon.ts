/**
 * Assembles and starts an entry daemon.
 *
 * @module
 */
import {
	AheadGrantPolicy, PrefixRoutingPolicy, createAttemptRunner, createGrantManager, createIntentManager, createLoanManager, createReclaimer, createRequestRouter,
	createRetryBudget, createRouteRegistry, createSettler, startSnapshotter, type GrantPolicy, type RoutingPolicy,
} from '../coordination/mod.js';
import {Peer, type EntrySettings} from '../protocol/mod.js';
import {createGrantHolder} from '../state/mod.js';
import {createByteLimits, startHttpServer} from '../transport/mod.js';
import {createCallerInterface} from './caller-interface.js';
import {createCore, type RunningDaemon} from './core.js';
import {createOperatorInterface} from './operator-interface.js';
import {createPeerInterface} from './peer-interface.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** A broken stream can be resumed for the time that it takes to suspect a peer and to receive its heartbeat again: twice the suspicion timeout. */
const resumeTimeoutFactor = 2;

/** Time during which a stopping entry daemon still accepts requests, so that the load balancer can notice the stop. */
const leaveNoticeMs = 1500;

/** Policies that measurements and proofs may replace. */
export type EntryPolicies = {
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
 * @param settings Validated settings
 * @param policies Policies that replace the default ones
 * @returns The running daemon
 * @throws {FailureError} If a secret cannot be read
 */
export async function startEntryDaemon(settings: EntrySettings, policies: EntryPolicies = {}): Promise<RunningDaemon> {
	const core = createCore(settings);
	const {
		self, follower, membership, writer, fleet, clock, events, metrics, signal,
	} = core;
	const listMembers = () => follower.state().placement.list();
	const holder = createGrantHolder();
	let isRefusingNew = false;
	const loans = createLoanManager({
		holder, membership, fleet, clock, events, listMembers, listWaitingAmounts: budget => grantManager.listWanted(budget),
	});
	const grantManager = createGrantManager({
		follower, writer, membership, holder, loans, clock, events,
		policy: policies.grantPolicy ?? new AheadGrantPolicy({horizonMs: settings.grants.horizon, shortHorizonMs: settings.grants.shortHorizon}),
		intervalMs: settings.grants.every,
	});
	const settler = createSettler({
		follower, membership, fleet, grantManager, clock,
	});
	const routes = createRouteRegistry({membership, failureDomain: settings.failureDomain, listUpstreams: () => follower.state().placement.listUpstreams()});
	const resumeTimeoutMs = settings.heartbeat.suspectAfter * resumeTimeoutFactor;
	const attempts = createAttemptRunner({
		follower, membership, fleet, grants: grantManager, settler, routes, clock, events, resumeTimeoutMs,
	});
	const router = createRequestRouter({
		follower, attempts, routes, clock, events, upstreamWaitMs: resumeTimeoutMs,
		policy: policies.routingPolicy ?? new PrefixRoutingPolicy(),
		retries: createRetryBudget({ratio: settings.requests.retryShare}),
	});
	const requestLimits = createByteLimits({events});
	const callerInterface = createCallerInterface({
		self, settings: settings.requests, isRefusingNew: () => isRefusingNew, follower, router, metrics, clock, events, requestLimits,
	});
	const operatorInterface = createOperatorInterface({
		operatorKey: core.operatorKey, follower, writer, membership, events, metrics, holder,
		intents: createIntentManager({follower, writer, events}),
		isReady: () => follower.isReady() && !self.isLeaving,
		getFigures: () => ({running: callerInterface.countRunning(), openAttempts: settler.countOpen()}),
	});

	const fleetServer = await core.startFleet(connect => {
		connect.service(Peer, createPeerInterface({self, follower, loans}));
	});
	const callerServer = await startHttpServer(settings.listen.callers, callerInterface.addRoutes, {requestLimits});
	const operatorServer = await startHttpServer(settings.listen.operators, operatorInterface.addRoutes);
	const enrolment = core.enrol({address: fleetServer.address, serves: [], work: 'none'});
	const stopSnapshots = startSnapshotter({
		follower, writer, membership, events, recordsPerSnapshot: settings.log.snapshotEvery,
	});
	const reclaimer = createReclaimer({
		follower, writer, membership, clock, events, wasInsufficient: grantManager.wasInsufficient, findLentTo: loans.findGrantsLentTo,
	});
	for (const task of [grantManager, settler, reclaimer]) {
		void task.run(signal);
	}

	events.write('daemonStarted', {role: self.role, incarnation: self.incarnation});
	return {
		addresses: {callers: callerServer.url, operators: operatorServer.url, peers: fleetServer.address},
		superseded: core.superseded,
		async stop() {
			events.write('daemonStopping', {running: callerInterface.countRunning()});
			self.isLeaving = true;
			// The load balancer learns of the stop from `/readyz`. Requests that it sends in the meantime are served as usual.
			await clock.sleep(leaveNoticeMs);
			isRefusingNew = true;
			if (!await waitUntilIdle(() => callerInterface.countRunning() + settler.countOpen(), {timeoutMs: settings.stopWithin, clock})) {
				events.write('requestCut', {running: callerInterface.countRunning()});
			}

			if (follower.isLogUp()) {
				await grantManager.releaseUnused();
				await enrolment.leave();
			}

			stopSnapshots();
			await callerServer.close();
			operatorServer.closeAllConnections();
			await fleetServer.close();
			await core.close();
		},
		logAbortedRequests() {
			events.write('requestCut', {running: callerInterface.countRunning()});
		},
	};
}
