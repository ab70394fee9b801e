/**
 * Runs a gateway or relay daemon as a process, from settings that an adapter
 * reads.
 *
 * @module
 */
import process from 'node:process';
import {
	createLineLog, failureTable, type GatewayOrRelaySettings, type EventLog,
} from '../protocol/mod.js';
import type {RunningDaemon} from './core.js';
import {startGatewayDaemon} from './gateway-daemon.js';
import type {GatewayAdapter} from './gateway-state.js';
import {installFailureLog, installSignals} from './main.js';
import {startRelayDaemon} from './relay-daemon.js';

/** Options of {@linkcode runDirectDaemon}. */
export type RunDirectDaemonOptions = {
	/** Reads and checks the settings; throws when they are wrong. */
	readonly readSettings: () => GatewayOrRelaySettings;
	readonly createAdapter: (settings: GatewayOrRelaySettings) => GatewayAdapter;
};

/** A daemon that takes changed settings. */
type Reloadable = {readonly daemon: RunningDaemon; readonly reload: (settings: GatewayOrRelaySettings) => void};

/** @internal */
async function start(settings: GatewayOrRelaySettings, adapter: GatewayAdapter, events: EventLog): Promise<Reloadable> {
	if (settings.role === 'relay') {
		const daemon = await startRelayDaemon(settings, {...adapter, events});
		return {
			daemon,
			reload() {
				events.write('settingsReloaded');
			},
		};
	}

	const daemon = await startGatewayDaemon(settings, {adapter, events});
	return {
		daemon,
		reload(changed) {
			if (changed.role === 'gateway') {
				daemon.reload(changed);
			}
		},
	};
}

/** @internal */
function readOrRefuse(readSettings: () => GatewayOrRelaySettings): GatewayOrRelaySettings | undefined {
	try {
		return readSettings();
	} catch (error) {
		process.stderr.write(`The settings cannot be used: ${(error as Error).message}\n`);
		process.exitCode = failureTable['settings-invalid'].exitCode;
		return undefined;
	}
}

/**
 * Checks settings and says whether they can be used.
 *
 * @example
 * ```ts
 * checkDirectSettings(() => readSettingsFile('boot.toml'));
 * ```
 *
 * @param readSettings Reads and checks the settings; throws when they are wrong
 */
export function checkDirectSettings(readSettings: () => GatewayOrRelaySettings): void {
	const settings = readOrRefuse(readSettings);
	if (settings) {
		process.stdout.write(`The settings of ${settings.role} "${settings.id}" are valid\n`);
	}
}

/**
 * Runs a daemon until a signal stops it. SIGHUP has it read its settings
 * again; a file that is wrong leaves the old ones in force.
 *
 * @example
 * ```ts
 * await runDirectDaemon({readSettings, createAdapter});
 * ```
 *
 * @param options The settings and the adapter
 */
export async function runDirectDaemon(options: RunDirectDaemonOptions): Promise<void> {
	const settings = readOrRefuse(options.readSettings);
	if (!settings) {
		return;
	}

	const events = createLineLog({daemon: settings.id, sink: process.stdout});
	installFailureLog(events);
	const {daemon, reload} = await start(settings, options.createAdapter(settings), events);
	installSignals(daemon, events);
	process.on('SIGHUP', () => {
		try {
			reload(options.readSettings());
		} catch (error) {
			events.write('settingsRefused', {detail: (error as Error).message});
		}
	});
}
