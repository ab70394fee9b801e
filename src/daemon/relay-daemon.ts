/**
 * Assembles a relay daemon: a small process next to an upstream that relays
 * calls to the store for gateways that are partitioned from it.
 *
 * @module
 */
import process from 'node:process';
import {formatHolderKey, type HolderIdentity} from '../coordination/mod.js';
import {
	Relay, createId, type EventLog, type KeyedLog, type RelaySettings,
} from '../protocol/mod.js';
import type {HolderRecord} from '../state/mod.js';
import {createByteLimits, createSystemClock, startFleetServer} from '../transport/mod.js';
import type {RunningDaemon} from './core.js';
import {createRelayInterface} from './relay-interface.js';

/** Options of {@linkcode startRelayDaemon}. */
export type StartRelayOptions = {
	/** The logs that it relays; daemons are registered in the grants log. */
	readonly logs: {readonly deployment: KeyedLog; readonly upstreams: KeyedLog; readonly grants: KeyedLog};
	readonly events: EventLog;
	readonly close: () => Promise<void>;
};

const registerRetryDelayMs = 500;

/**
 * Starts a relay daemon.
 *
 * @example
 * ```ts
 * const daemon = await startRelayDaemon(settings, {logs, events, close});
 * ```
 *
 * @param settings Validated settings
 * @param options The logs that it relays, and the event log
 * @returns The running daemon
 * @throws {Error} If the daemon cannot listen on its address
 */
export async function startRelayDaemon(settings: RelaySettings, options: StartRelayOptions): Promise<RunningDaemon> {
	const {logs, events} = options;
	const clock = createSystemClock();
	const abortController = new AbortController();
	const {signal} = abortController;
	const {host, port} = settings.listen;
	const self: HolderIdentity = {
		role: 'relay', daemon: settings.id, incarnation: createId('i'), address: `${host}:${port}`, failureDomain: settings.failureDomain,
	};
	const server = await startFleetServer(settings.listen, {
		fleetKey: settings.fleetKey,
		requestLimits: createByteLimits({events}),
		onEvict() {
			events.write('connectionsEvicted', {reason: 'too-many', connections: 1});
		},
		routes(router) {
			router.service(Relay, createRelayInterface([logs.deployment, logs.upstreams, logs.grants], signal));
		},
		onUnauthenticated() {
			events.write('peerRefused');
		},
	});

	// The record grants no tokens, so the append needs no condition: a duplicate has no effect.
	async function register(hasEnded: boolean): Promise<boolean> {
		const record: HolderRecord = {
			...self, version: 0, sequence: 1, granted: {}, hasEnded,
		};
		const outcome = await logs.grants.append({key: formatHolderKey({...self, incarnation: self.role}), value: JSON.stringify(record)}, {});
		return outcome.kind === 'appended';
	}

	async function registerUntilDone(): Promise<void> {
		while (!signal.aborted && !await register(false)) {
			await clock.sleep(registerRetryDelayMs, signal);
		}
	}

	self.address = server.address;
	events.write('daemonStarted', {
		role: self.role, incarnation: self.incarnation, pid: process.pid, peers: server.address,
	});
	void registerUntilDone();
	return {
		addresses: {peers: server.address},
		superseded: new Promise<void>(() => undefined), // eslint-disable-line no-promise-executor-return
		async stop() {
			events.write('daemonStopping', {running: 0});
			await register(true);
			abortController.abort();
			await options.close();
			events.write('daemonStopped');
		},
		logAbortedRequests() {
			events.write('requestCut', {running: 0});
		},
	};
}
