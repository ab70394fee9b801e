/**
 * Reads settings, starts the daemon they describe, and stops it on a signal.
 *
 * @module
 */
import process from 'node:process';
import createDebug from 'debug';
import {
	FailureError, checkSettings, createEventLog, failureTable, readSettings, type EventLog, type Settings, type SettingsIssue,
} from '../protocol/mod.js';
import type {RunningDaemon} from './core.js';
import {startEntryDaemon} from './entry-daemon.js';
import {startUpstreamDaemon} from './upstream-daemon.js';

/** Options of {@linkcode runDaemon}. */
export type RunDaemonOptions = {
	/** The settings file. */
	readonly settings: string;
	/** The daemon wanted of a deployment file; default the only one. */
	readonly daemon?: string;
	/** Only check the settings; default false. */
	readonly check?: boolean;
	/** Starts the daemon; default by the settings' role. */
	readonly start?: StartDaemon;
};

/** Starts a daemon from checked settings. */
export type StartDaemon = (settings: Settings) => Promise<RunningDaemon>;

const cutExitCode = 1;

/**
 * Starts the daemon that the settings describe.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(settings);
 * ```
 *
 * @param settings Checked settings
 * @returns The running daemon
 */
export async function startDaemon(settings: Settings): Promise<RunningDaemon> {
	return settings.role === 'entry' ? startEntryDaemon(settings) : startUpstreamDaemon(settings);
}

/**
 * Stops a daemon on SIGTERM and SIGINT, or when another process takes its name.
 *
 * Two updates that overlap both send SIGTERM. A stop that ended at the second
 * one would cut answers that it has seconds to finish, so it goes on; its end
 * is bounded, and SIGKILL is there for whoever cannot wait. A second SIGINT
 * comes from a person at a terminal: it ends the stop at once, and the log says
 * what it cut.
 */
export function installSignals(daemon: RunningDaemon, events: EventLog): void {
	let isStopping = false;
	const stop = async () => {
		if (isStopping) {
			events.write('stopRepeated');
			return;
		}

		isStopping = true;
		await daemon.stop();
		process.exit(0); // eslint-disable-line unicorn/no-process-exit
	};

	const stopOrCut = async () => {
		if (isStopping) {
			daemon.cut();
			process.exit(cutExitCode); // eslint-disable-line unicorn/no-process-exit
		}

		await stop();
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stopOrCut);
	void daemon.superseded.then(stop); // eslint-disable-line promise/prefer-await-to-then
}

/**
 * Ends the process after a fault that no call caught, with a log line: its
 * state is in doubt, and its host starts a new one.
 */
export function installFailureLog(events: EventLog): void {
	process.on('uncaughtException', error => {
		events.write('daemonFailed', {error: error.stack ?? error.message});
		process.exit(failureTable.internal.exitCode);
	});
}

/** @internal */
function formatIssues(file: string, issues: readonly SettingsIssue[]): string[] {
	return issues.map(issue => `${file}:${issue.line}: ${issue.path}: ${issue.message}`);
}

/** @internal */
function checkOnly(file: string): void {
	const checked = checkSettings(file);
	if (checked.err) {
		refuseToStart(formatIssues(file, checked.val));
		return;
	}

	process.stdout.write(`${file} is valid: ${checked.val.map(daemon => daemon.id).join(', ')}\n`);
}

/** @internal */
function refuseToStart(lines: readonly string[]): void {
	for (const line of lines) {
		process.stderr.write(`${line}\n`);
	}

	process.exitCode = failureTable['settings-invalid'].exitCode;
}

/**
 * Runs a daemon until a signal stops it. Its first line on the standard output
 * is a JSON document with the addresses it listens on.
 *
 * @example
 * ```ts
 * await runDaemon({settings: 'settings/entry.yaml'});
 * ```
 *
 * @param options The settings file
 */
export async function runDaemon(options: RunDaemonOptions): Promise<void> {
	if (options.check) {
		checkOnly(options.settings);
		return;
	}

	const settings = readSettings(options.settings, {daemon: options.daemon});
	if (settings.err) {
		refuseToStart(formatIssues(options.settings, settings.val));
		return;
	}

	if (process.env.DEBUG === undefined) {
		createDebug.enable('fireflylane:*');
	}

	const events = createEventLog(settings.val.id);
	installFailureLog(events);
	try {
		const daemon = await (options.start ?? startDaemon)(settings.val);
		installSignals(daemon, events);
		process.stdout.write(`${JSON.stringify({ready: settings.val.id, pid: process.pid, ...daemon.addresses})}\n`);
	} catch (error) {
		refuseToStart([error instanceof FailureError ? error.failure.detail : `Cannot start: ${(error as Error).message}`]);
	}
}
