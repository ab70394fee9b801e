/**
 * Components shared by entry and upstream daemons: log, membership and enrolment.
 *
 * @module
 */
import type {ConnectRouter} from '@connectrpc/connect';
import {
	createEnrolment, createLogFollower, createLogWriter, createMembership, createMetrics, type Self,
} from '../coordination/mod.js';
import {
	FailureError, createEventLog, createFailure, createId, readSecret, type Join, type Settings,
} from '../protocol/mod.js';
import {
	createFleetClient, createHostListClient, createLogClient, createSystemClock, startFleetServer,
} from '../transport/mod.js';

/** A running daemon. */
export type RunningDaemon = {
	/** Addresses that the daemon listens on, as printed in its ready line. */
	readonly addresses: Readonly<Record<string, string>>;
	/** Stops gracefully: accepts no new requests, finishes the running ones, and records grants and receipts in the log. */
	readonly stop: () => Promise<void>;
	/**
	 * Finishes the running requests after an unexpected error and accepts no others. Records nothing in the log, since what
	 * would be recorded may be wrong.
	 */
	readonly stopAfterFailure?: () => Promise<void>;
	/** Logs the running requests that an immediate exit aborts. */
	readonly logAbortedRequests: () => void;
	/** Resolves when another process has joined under this daemon's name. */
	readonly superseded: Promise<void>;
};

/** Components shared by entry and upstream daemons. */
export type Core = ReturnType<typeof createCore>;

/** @internal */
function requireSecret(source: Settings['fleetKey']): string {
	const secret = readSecret(source);
	if (secret.err) {
		throw new FailureError(createFailure('settings-invalid', secret.val));
	}

	return secret.val;
}

/**
 * Creates the shared components of a daemon.
 *
 * @example
 * ```ts
 * const core = createCore(settings);
 * ```
 *
 * @param settings Validated settings
 * @returns The components
 * @throws {FailureError} If a secret cannot be read
 */
export function createCore(settings: Settings) {
	const fleetKey = requireSecret(settings.fleetKey);
	const operatorKey = requireSecret(settings.operatorKey);
	const events = createEventLog(settings.id);
	const clock = createSystemClock();
	const self: Self = {
		id: settings.id, role: settings.role, incarnation: createId('i'), isLeaving: false,
	};
	const log = createLogClient({url: settings.log.url, stream: settings.log.stream, timeoutMs: settings.log.timeout});
	const hostList = settings.hostList && createHostListClient(settings.hostList.url);
	const fleet = createFleetClient(fleetKey);
	const abortController = new AbortController();
	const follower = createLogFollower({
		log, clock, events, windowMs: settings.log.window, fetchFromPeers: async from => membership.fetchRecords(from),
	});
	const membership = createMembership({
		self, fleet, clock, events, seeds: settings.peers, hostList,
		hostListIntervalMs: settings.hostList?.every ?? 0,
		heartbeatIntervalMs: settings.heartbeat.every,
		suspectTimeoutMs: settings.heartbeat.suspectAfter,
		listMembers: () => follower.state().placement.list(),
		getNextOffset: () => follower.state().getNextOffset(),
	});
	const writer = createLogWriter({
		log, follower, clock, events,
	});
	let supersede: () => void = () => undefined;
	const superseded = new Promise<void>(resolve => {
		supersede = resolve;
	});

	return {
		settings, fleetKey, operatorKey, events, clock, self, fleet, follower, membership, writer, superseded,
		metrics: createMetrics(),
		signal: abortController.signal,

		async startFleet(routes: (router: ConnectRouter) => void) {
			return startFleetServer(settings.listen.peers, {
				fleetKey,
				routes,
				onUnauthenticated() {
					events.write('peerRefused');
				},
			});
		},

		enrol(join: Pick<Join, 'address' | 'serves' | 'work'>) {
			const enrolment = createEnrolment({
				self, follower, writer, clock, events,
				join: {...join, address: settings.advertise ?? join.address, failureDomain: settings.failureDomain},
				onSuperseded() {
					supersede();
				},
			});
			for (const task of [follower, membership, enrolment]) {
				void task.run(abortController.signal);
			}

			return enrolment;
		},

		async close(): Promise<void> {
			abortController.abort();
			fleet.close();
			await log.close();
			await hostList?.close();
			events.write('daemonStopped');
		},
	};
}
