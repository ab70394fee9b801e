/**
 * Assembles and starts an upstream daemon.
 *
 * @module
 */
import {
	createModelRunner, createOrderSender, createReceiptReporter, createServiceRunner, createRequestExecutor, createWorkQueue,
} from '../coordination/mod.js';
import {Peer, Upstream, type UpstreamSettings} from '../protocol/mod.js';
import {createRequestTable} from '../state/mod.js';
import {createEngineClient, createServiceClient, startHttpServer} from '../transport/mod.js';
import {createCore, type Core, type RunningDaemon} from './core.js';
import {createOperatorInterface} from './operator-interface.js';
import {createPeerInterface} from './peer-interface.js';
import {createUpstreamInterface} from './upstream-interface.js';
import {createUpstreamMonitor} from './upstream-monitor.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** Time for entry daemons to learn that this daemon is stopping: two heartbeats. */
const leaveNoticeMs = 1000;
/** Time for an entry daemon to resume a call whose connection broke, which it does after 100 ms. */
const resumeGraceMs = 1000;

/** @internal */
function createExecution(core: Core, settings: UpstreamSettings) {
	const {
		self, follower, writer, clock, events,
	} = core;
	const {upstream} = settings;
	const table = createRequestTable({maxAnswerBytes: settings.answers});
	const queue = createWorkQueue({maxRunning: upstream.capacity, maxWaiting: upstream.queue, clock});
	const reporter = createReceiptReporter({
		self, follower, writer, table, clock, events, intervalMs: settings.receipts.every,
	});
	const engine = upstream.work === 'model' ? createEngineClient({url: upstream.url, idleTimeoutMs: upstream.silence}) : undefined;
	const serviceClient = upstream.work === 'service' ? createServiceClient(upstream.url) : undefined;
	const modelRunner = engine && createModelRunner({
		engine, reporter, clock, events,
	});
	const serviceRunner = serviceClient && createServiceRunner({
		self, client: serviceClient, follower, writer, reporter, clock, events,
	});
	const executor = createRequestExecutor({
		self, table, queue, follower, reporter, models: modelRunner, services: serviceRunner, clock, events,
	});
	const watch = createUpstreamMonitor({
		clock, capacity: upstream.capacity,
		countRunning: () => table.countRunning(),
		countQueued: () => queue.countWaiting(),
		fetchLoad: async () => engine?.fetchLoad(),
		isAlive: async () => serviceClient ? serviceClient.isAlive() : true,
	});
	const orderSender = engine && createOrderSender({
		self, follower, engine, clock, events,
	});
	const tasks = [reporter.run, watch.run, ...serviceRunner ? [serviceRunner.runRecorder] : [], ...orderSender ? [orderSender.run] : []];
	return {
		table, queue, reporter, executor, watch, tasks,
		async close() {
			await engine?.close();
			await serviceClient?.close();
		},
	};
}

/**
 * Starts an upstream daemon.
 *
 * @example
 * ```ts
 * const daemon = await startUpstreamDaemon(settings);
 * ```
 *
 * @param settings Validated settings
 * @returns The running daemon
 * @throws {FailureError} If a secret cannot be read
 */
export async function startUpstreamDaemon(settings: UpstreamSettings): Promise<RunningDaemon> {
	const core = createCore(settings);
	const {
		self, follower, membership, writer, clock, events, metrics, signal,
	} = core;
	const execution = createExecution(core, settings);
	const {table, queue, reporter, executor} = execution;
	const fleetServer = await core.startFleet(connect => {
		connect.service(Peer, createPeerInterface({self, follower, getLoad: execution.watch.getLoad}));
		connect.service(Upstream, createUpstreamInterface(self, executor));
	});
	const enrolment = core.enrol({address: fleetServer.address, serves: settings.upstream.serves, work: settings.upstream.work});
	const operatorInterface = createOperatorInterface({
		operatorKey: core.operatorKey, follower, writer, membership, events, metrics,
		isReady: () => enrolment.isJoined() && !self.isLeaving,
		getFigures: () => ({
			running: table.countRunning(), queued: queue.countWaiting(), answerBytes: table.countFinishedBytes(), receiptsWaiting: reporter.countUnreported(),
		}),
	});
	const operatorServer = await startHttpServer(settings.listen.operators, operatorInterface.addRoutes);
	for (const run of execution.tasks) {
		void run(signal);
	}

	// Counts the requests that a stop waits for: each from its arrival until the last frame has been delivered to its entry
	// daemon.
	function countUnfinished(): number {
		return executor.countOpening() + table.countRunning() + executor.countDeliveries();
	}

	events.write('daemonStarted', {role: self.role, incarnation: self.incarnation});
	return {
		addresses: {operators: operatorServer.url, peers: fleetServer.address},
		superseded: core.superseded,
		async stop() {
			events.write('daemonStopping', {running: table.countRunning()});
			self.isLeaving = true;
			// Entry daemons learn of the stop with their next heartbeat. Requests that they send until then are refused as not run,
			// and are sent to another upstream daemon.
			await clock.sleep(leaveNoticeMs);
			if (!await waitUntilIdle(countUnfinished, {timeoutMs: settings.stopWithin, settleMs: resumeGraceMs, clock})) {
				events.write('requestCut', {opening: executor.countOpening(), running: table.countRunning(), delivering: executor.countDeliveries()});
			}

			if (follower.isLogUp() && await reporter.flush()) {
				await enrolment.leave();
			}

			operatorServer.closeAllConnections();
			await fleetServer.close();
			await execution.close();
			await core.close();
		},
		logAbortedRequests() {
			events.write('requestCut', {running: table.countRunning()});
		},
	};
}
