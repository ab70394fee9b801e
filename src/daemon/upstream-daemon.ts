/**
 * Wires an upstream daemon.
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
import {createUpstreamWatch} from './upstream-watch.js';
import {waitUntilIdle} from './wait-until-idle.js';

/** How long a stopping daemon still waits for entries to hear of it, in milliseconds: two heartbeats. */
const leaveNotice = 1000;
/** A call whose connection broke may come back for the rest within this span, in milliseconds: an entry pauses for 100. */
const resumeNotice = 1000;

/** @internal */
function createWork(core: Core, settings: UpstreamSettings) {
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
	const client = upstream.work === 'service' ? createServiceClient(upstream.url) : undefined;
	const models = engine && createModelRunner({
		engine, reporter, clock, events,
	});
	const services = client && createServiceRunner({
		self, client, follower, writer, reporter, clock, events,
	});
	const desk = createRequestExecutor({
		self, table, queue, follower, reporter, models, services, clock, events,
	});
	const watch = createUpstreamWatch({
		clock, capacity: upstream.capacity,
		countRunning: () => table.countRunning(),
		countQueued: () => queue.countWaiting(),
		fetchLoad: async () => engine?.fetchLoad(),
		isAlive: async () => client ? client.isAlive() : true,
	});
	const orders = engine && createOrderSender({
		self, follower, engine, clock, events,
	});
	const tasks = [reporter.run, watch.run, ...services ? [services.runRecorder] : [], ...orders ? [orders.run] : []];
	return {
		table, queue, reporter, desk, watch, tasks,
		async close() {
			await engine?.close();
			await client?.close();
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
 * @param settings Checked settings
 * @returns The running daemon
 * @throws {FailureError} When a secret cannot be read
 */
export async function startUpstreamDaemon(settings: UpstreamSettings): Promise<RunningDaemon> {
	const core = createCore(settings);
	const {
		self, follower, membership, writer, clock, events, metrics, signal,
	} = core;
	const work = createWork(core, settings);
	const {table, queue, reporter, desk} = work;
	const fleetServer = await core.startFleet(connect => {
		connect.service(Peer, createPeerInterface({self, follower, tellLoad: work.watch.tellLoad}));
		connect.service(Upstream, createUpstreamInterface(self, desk));
	});
	const enrolment = core.enrol({address: fleetServer.address, serves: settings.upstream.serves, work: settings.upstream.work});
	const operators = createOperatorInterface({
		operatorKey: core.operatorKey, follower, writer, membership, events, metrics,
		isReady: () => enrolment.isJoined() && !self.isLeaving,
		countFigures: () => ({
			running: table.countRunning(), queued: queue.countWaiting(), answerBytes: table.countFinishedBytes(), receiptsWaiting: reporter.countUnreported(),
		}),
	});
	const operatorServer = await startHttpServer(settings.listen.operators, operators.addRoutes);
	for (const run of work.tasks) {
		void run(signal);
	}

	// What a stop waits for: from the moment a request was taken until its entry has the last frame.
	function countWork(): number {
		return desk.countOpening() + table.countRunning() + desk.countDeliveries();
	}

	events.write('daemonStarted', {role: self.role, incarnation: self.incarnation});
	return {
		addresses: {operators: operatorServer.url, peers: fleetServer.address},
		superseded: core.superseded,
		async stop() {
			events.write('daemonStopping', {running: table.countRunning()});
			self.isLeaving = true;
			// Entries learn of it by their next heartbeat; until then what they send is refused as not run and goes elsewhere.
			await clock.sleep(leaveNotice);
			if (!await waitUntilIdle(countWork, {within: settings.stopWithin, settle: resumeNotice, clock})) {
				events.write('requestCut', {opening: desk.countOpening(), running: table.countRunning(), delivering: desk.countDeliveries()});
			}

			if (follower.isLogUp() && await reporter.flush()) {
				await enrolment.leave();
			}

			operatorServer.closeAllConnections();
			await fleetServer.close();
			await work.close();
			await core.close();
		},
		cut() {
			events.write('requestCut', {running: table.countRunning()});
		},
	};
}
