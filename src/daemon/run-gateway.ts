/**
 * Runs a gateway daemon as a process, from settings that an adapter reads.
 *
 * @module
 */
import process from 'node:process';
import {createLineLog, failureTable, type GatewaySettings} from '../protocol/mod.js';
import {startGatewayDaemon} from './gateway-daemon.js';
import type {GatewayAdapter} from './gateway-state.js';
import {installFailureLog, installSignals} from './main.js';

/** Options of {@linkcode runGateway}. */
export type RunGatewayOptions = {
	/** Reads and checks the settings; throws when they are wrong. */
	readonly readSettings: () => GatewaySettings;
	readonly createAdapter: (settings: GatewaySettings) => GatewayAdapter;
};

/**
 * Runs a gateway daemon until a signal stops it. SIGHUP has it read its settings
 * again; a file that is wrong leaves the old ones in force.
 *
 * @example
 * ```ts
 * await runGateway({readSettings, createAdapter});
 * ```
 *
 * @param options The settings and the adapter
 */
export async function runGateway(options: RunGatewayOptions): Promise<void> {
	let settings: GatewaySettings;
	try {
		settings = options.readSettings();
	} catch (error) {
		process.stderr.write(`The settings cannot be used: ${(error as Error).message}\n`);
		process.exitCode = failureTable['settings-invalid'].exitCode;
		return;
	}

	const events = createLineLog({daemon: settings.id, sink: process.stdout});
	installFailureLog(events);
	const daemon = await startGatewayDaemon(settings, {adapter: options.createAdapter(settings), events});
	installSignals(daemon);
	process.on('SIGHUP', () => {
		try {
			daemon.reload(options.readSettings());
		} catch (error) {
			events.write('settingsRefused', {detail: (error as Error).message});
		}
	});
}
