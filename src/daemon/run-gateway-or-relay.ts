/**
 * Runs a gateway or relay daemon as a process, with settings that an adapter
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
import {installExceptionHandler, installOutputHandlers, installSignalHandlers} from './main.js';
import {startRelayDaemon} from './relay-daemon.js';

/** Options of {@linkcode runGatewayOrRelay}. */
export type RunGatewayOrRelayOptions = {
	/** Reads and validates the settings; throws if they are invalid. */
	readonly readSettings: () => GatewayOrRelaySettings;
	readonly createAdapter: (settings: GatewayOrRelaySettings) => GatewayAdapter;
};

/** A daemon and a function that applies changed settings to it. */
type ReloadableDaemon = {readonly daemon: RunningDaemon; readonly reload: (settings: GatewayOrRelaySettings) => void};

/** @internal */
async function startByRole(settings: GatewayOrRelaySettings, adapter: GatewayAdapter, events: EventLog): Promise<ReloadableDaemon> {
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
function readSettingsOrReport(readSettings: () => GatewayOrRelaySettings): GatewayOrRelaySettings | undefined {
	try {
		return readSettings();
	} catch (error) {
		process.stderr.write(`The settings are invalid: ${(error as Error).message}\n`);
		process.exitCode = failureTable['settings-invalid'].exitCode;
		return undefined;
	}
}

/**
 * Validates the settings and prints the result.
 *
 * @example
 * ```ts
 * checkGatewayOrRelaySettings(() => readSettingsFile('boot.toml'));
 * ```
 *
 * @param readSettings Reads and validates the settings; throws if they are invalid
 */
export function checkGatewayOrRelaySettings(readSettings: () => GatewayOrRelaySettings): void {
	const settings = readSettingsOrReport(readSettings);
	if (settings) {
		process.stdout.write(`The settings of ${settings.role} "${settings.id}" are valid\n`);
	}
}

/**
 * Runs a daemon until a signal stops it. On SIGHUP it reloads its settings; if
 * the new ones are invalid, the old ones stay in force.
 *
 * @example
 * ```ts
 * await runGatewayOrRelay({readSettings, createAdapter});
 * ```
 *
 * @param options The settings and the adapter
 */
export async function runGatewayOrRelay(options: RunGatewayOrRelayOptions): Promise<void> {
	const state: {running?: ReloadableDaemon; isReloadDue: boolean} = {isReloadDue: false};
	const reload = () => {
		state.isReloadDue = state.running === undefined;
		try {
			state.running?.reload(options.readSettings());
		} catch (error) {
			events.write('settingsRefused', {detail: (error as Error).message});
		}
	};

	// Installed before the settings are read, so that no change of them is missed.
	process.on('SIGHUP', reload);
	const settings = readSettingsOrReport(options.readSettings);
	if (!settings) {
		return;
	}

	const events = createLineLog({daemon: settings.id, sink: process.stdout});
	installOutputHandlers();
	installExceptionHandler(events, {findDaemon: () => state.running?.daemon});
	const running = await startByRole(settings, options.createAdapter(settings), events);
	installSignalHandlers(running.daemon, events);
	state.running = running;
	if (state.isReloadDue) {
		reload();
	}
}
