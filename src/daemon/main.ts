/**
 * Reads the settings, starts the daemon that they describe, and stops it on a signal.
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
	/** Path of the settings file. */
	readonly settings: string;
	/** ID of the daemon to run from a file that describes several; by default the only one. */
	readonly daemon?: string;
	/** Validates the settings without starting the daemon; default false. */
	readonly check?: boolean;
	/** Starts the daemon; by default the one for the role in the settings. */
	readonly start?: StartDaemon;
};

/** Starts a daemon from validated settings. */
export type StartDaemon = (settings: Settings) => Promise<RunningDaemon>;

const abortExitCode = 1;

/**
 * Starts an entry or upstream daemon, depending on the role in the settings.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(settings);
 * ```
 *
 * @param settings Validated settings
 * @returns The running daemon
 */
export async function startDaemon(settings: Settings): Promise<RunningDaemon> {
	return settings.role === 'entry' ? startEntryDaemon(settings) : startUpstreamDaemon(settings);
}

/**
 * Stops a daemon on SIGTERM and SIGINT, or when another process joins under its name.
 *
 * A repeated SIGTERM does not end a stop in progress: two overlapping updates
 * both send one, and ending the stop would abort responses that still have
 * seconds to finish. The duration of a stop is limited, and SIGKILL ends the
 * process immediately. A second SIGINT comes from a person at a terminal: it
 * ends the process immediately, and the aborted requests are logged.
 */
export function installSignalHandlers(daemon: RunningDaemon, events: EventLog): void {
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

	const stopOrAbort = async () => {
		if (isStopping) {
			daemon.logAbortedRequests();
			process.exit(abortExitCode); // eslint-disable-line unicorn/no-process-exit
		}

		await stop();
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stopOrAbort);
	void daemon.superseded.then(stop); // eslint-disable-line promise/prefer-await-to-then
}

/** Options of {@linkcode installExceptionHandler}. */
export type InstallExceptionHandlerOptions = {
	/** Returns the daemon once it has started; default none. */
	readonly findDaemon?: () => Pick<RunningDaemon, 'stopAfterFailure' | 'logAbortedRequests'> | undefined;
};

/**
 * Logs an uncaught exception and exits: the state of the process may be
 * inconsistent, and its host starts a new one. A daemon that has started first
 * finishes its running requests, whose callers could not repeat them.
 */
export function installExceptionHandler(events: EventLog, {findDaemon}: InstallExceptionHandlerOptions = {}): void {
	let isStopping = false;
	const exit = () => {
		process.exit(failureTable.internal.exitCode); // eslint-disable-line unicorn/no-process-exit
	};

	const stop = async (daemon: ReturnType<NonNullable<typeof findDaemon>>) => {
		try {
			await daemon?.stopAfterFailure?.();
		} finally {
			exit();
		}
	};

	process.on('uncaughtException', error => {
		events.write('daemonFailed', {error: error.stack ?? error.message});
		if (!isStopping) {
			isStopping = true;
			void stop(findDaemon?.());
		}
	});
}

/** Lets the daemon go on when what it writes can no longer be read or stored, such as after the end of a log collector. */
export function installOutputHandlers(): void {
	for (const output of [process.stdout, process.stderr]) {
		output.on('error', () => undefined);
	}
}

/** @internal */
function formatIssues(file: string, issues: readonly SettingsIssue[]): string[] {
	return issues.map(issue => `${file}:${issue.line}: ${issue.path}: ${issue.message}`);
}

/** @internal */
function checkSettingsFile(file: string): void {
	const checked = checkSettings(file);
	if (checked.err) {
		reportStartFailure(formatIssues(file, checked.val));
		return;
	}

	process.stdout.write(`${file} is valid: ${checked.val.map(daemon => daemon.id).join(', ')}\n`);
}

/** @internal */
function reportStartFailure(lines: readonly string[]): void {
	for (const line of lines) {
		process.stderr.write(`${line}\n`);
	}

	process.exitCode = failureTable['settings-invalid'].exitCode;
}

/**
 * Runs a daemon until a signal stops it. Its first line on standard output is a
 * JSON document with the addresses that it listens on.
 *
 * @example
 * ```ts
 * await runDaemon({settings: 'settings/entry.yaml'});
 * ```
 *
 * @param options The settings file and what to do with it
 */
export async function runDaemon(options: RunDaemonOptions): Promise<void> {
	if (options.check) {
		checkSettingsFile(options.settings);
		return;
	}

	const settings = readSettings(options.settings, {daemon: options.daemon});
	if (settings.err) {
		reportStartFailure(formatIssues(options.settings, settings.val));
		return;
	}

	if (process.env.DEBUG === undefined) {
		createDebug.enable('fireflylane:*');
	}

	const events = createEventLog(settings.val.id);
	installOutputHandlers();
	installExceptionHandler(events);
	try {
		const daemon = await (options.start ?? startDaemon)(settings.val);
		installSignalHandlers(daemon, events);
		process.stdout.write(`${JSON.stringify({ready: settings.val.id, pid: process.pid, ...daemon.addresses})}\n`);
	} catch (error) {
		reportStartFailure([error instanceof FailureError ? error.failure.detail : `The daemon failed to start: ${(error as Error).message}`]);
	}
}
