/**
 * Wires a relay daemon: the small process beside an upstream that carries
 * calls to the store for gateways that are cut off from it.
 *
 * @module
 */
import process from 'node:process';
import {formatHolderKey, type HolderIdentity} from '../coordination/mod.js';
import {
	Relay, createId, type EventLog, type KeyedLog, type RelaySettings,
} from '../protocol/mod.js';
import type {HolderRecord} from '../state/mod.js';
import {createSystemClock, startFleetServer} from '../transport/mod.js';
import type {RunningDaemon} from './core.js';
import {createRelayInterface} from './relay-interface.js';

/** Options of {@linkcode startRelayDaemon}. */
export type StartRelayOptions = {
	/** The logs that it carries; the one of grants also names the daemons. */
	readonly logs: {readonly deployment: KeyedLog; readonly upstreams: KeyedLog; readonly grants: KeyedLog};
	readonly events: EventLog;
	readonly close: () => Promise<void>;
};

/** Pause before a registration that failed is tried again, in milliseconds. */
const registerPause = 500;

/**
 * Starts a relay daemon.
 *
 * @example
 * ```ts
 * const daemon = await startRelayDaemon(settings, {logs, events, close});
 * ```
 *
 * @param settings Checked settings
 * @param options The logs it carries
 * @returns The running daemon
 * @throws When its address cannot be listened on
 */
export async function startRelayDaemon(settings: RelaySettings, options: StartRelayOptions): Promise<RunningDaemon> {
	const {logs, events} = options;
	const clock = createSystemClock();
	const stopper = new AbortController();
	const {signal} = stopper;
	const {host, port} = settings.listen;
	const self: HolderIdentity = {
		role: 'relay', daemon: settings.id, incarnation: createId('i'), address: `${host}:${port}`, failureDomain: settings.failureDomain,
	};
	const server = await startFleetServer(settings.listen, {
		fleetKey: settings.fleetKey,
		routes(router) {
			router.service(Relay, createRelayInterface([logs.deployment, logs.upstreams, logs.grants], signal));
		},
		onUnauthenticated() {
			events.write('peerRefused');
		},
	});

	// The record names no tokens, so it needs no condition: a second copy says the same.
	async function register(hasEnded: boolean): Promise<boolean> {
		const record: HolderRecord = {
			...self, version: 0, sequence: 1, granted: {}, hasEnded,
		};
		const outcome = await logs.grants.append({key: formatHolderKey({...self, incarnation: self.role}), value: JSON.stringify(record)}, {});
		return outcome.kind === 'appended';
	}

	async function registerUntilDone(): Promise<void> {
		while (!signal.aborted && !await register(false)) {
			await clock.sleep(registerPause, signal);
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
			stopper.abort();
			await options.close();
			events.write('daemonStopped');
		},
		cut() {
			events.write('requestCut', {running: 0});
		},
	};
}
