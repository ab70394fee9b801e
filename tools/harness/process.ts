/**
 * Starts, pauses, stops and kills the processes of a test fleet.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** The JSON line that a process prints once it is ready. */
export type ReadyLine = {
	readonly pid: number; readonly url: string; readonly callers: string; readonly operators: string; readonly peers: string; readonly readiness: string; readonly metrics: string;
};

/** A running process of the test fleet. */
export type FleetProcess = {
	readonly name: string;
	readonly ready: ReadyLine;
	/** Returns what the process wrote to standard output and standard error, limited to the last 4 million characters. */
	readonly readLog: () => string;
	readonly kill: () => Promise<void>;
	readonly pause: () => void;
	readonly resume: () => void;
	/** Sends SIGTERM, waits for the exit and returns the exit code. */
	readonly stop: () => Promise<number>;
	readonly hasExited: () => boolean;
	/** Waits for the exit and returns the exit code. */
	readonly waitUntilExit: () => Promise<number>;
	/** Closes the pipes to which the process writes, as a log collector that ends. */
	readonly closeOutput: () => void;
};

/** Options of {@linkcode startProcess}. */
export type StartProcessOptions = {
	/** Path of the program, relative to the build folder. */
	readonly file: string;
	readonly args?: readonly string[];
	/** Options of Node.js; default none. */
	readonly nodeOptions?: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
	/** Maps modules to their replacements, both as paths relative to the build folder; default none. */
	readonly replacedModules?: Readonly<Record<string, string>>;
	/** Whether to copy the standard error of the process to that of this process; default false. */
	readonly showLog?: boolean;
};

/** Environment variable that passes the replaced modules to the process, as JSON. */
export const replacedModulesVariable = 'FIREFLYLANE_PROOF_REPLACE';

const maxLogCharacters = 4_000_000;
/** URL of the build folder, both when this module runs from it and when it runs from source. */
const buildFolder = new URL(import.meta.url.endsWith('.js') ? '../../' : '../../dist/', import.meta.url);

type ReadReadyLineOptions = {readonly readLog: () => string; readonly onLine: (line: string) => void};

/** @internal */
async function readReadyLine(child: ChildProcess, name: string, {readLog, onLine}: ReadReadyLineOptions): Promise<ReadyLine> {
	const lines = createInterface({input: child.stdout!});
	lines.on('line', onLine);
	const firstEvent = await Promise.race([
		once(lines, 'line') as Promise<[string]>,
		once(child, 'exit') as Promise<[number]>,
	]);
	if (typeof firstEvent[0] !== 'string') {
		throw new TypeError(`Process "${name}" exited with code ${String(firstEvent[0])} before it was ready: ${readLog()}`);
	}

	return JSON.parse(firstEvent[0]) as ReadyLine;
}

/**
 * Starts a process and waits for its ready line.
 *
 * @example
 * ```ts
 * const log = await startProcess('log', {file: 'stand-ins/log-service.js'});
 * ```
 *
 * @param name Name for logs and error messages
 * @param options The program, its arguments and its environment
 * @returns The running process
 * @throws {TypeError} If the process exits before it is ready
 */
export async function startProcess(name: string, options: StartProcessOptions): Promise<FleetProcess> {
	const file = fileURLToPath(new URL(options.file, buildFolder));
	const importArguments = options.replacedModules ? ['--import', fileURLToPath(new URL('tools/prove/replace.js', buildFolder))] : [];
	const child = spawn(process.execPath, [...options.nodeOptions ?? [], ...importArguments, file, ...options.args ?? []], {
		stdio: ['ignore', 'pipe', 'pipe'],
		// Ctrl-C in a terminal signals the whole process group. A group of its own lets the starting process stop the fleet in order.
		detached: true,
		env: {...process.env, ...options.environment, [replacedModulesVariable]: JSON.stringify(options.replacedModules ?? {})},
	});
	let log = '';
	child.stderr.on('data', (data: Uint8Array) => {
		log = (log + String(data)).slice(-maxLogCharacters);
		if (options.showLog) {
			process.stderr.write(data);
		}
	});
	const exit = once(child, 'exit') as Promise<[number | undefined]>;
	const readLog = () => log;
	const ready = await readReadyLine(child, name, {
		readLog,
		onLine(line) {
			log = (log + line + '\n').slice(-maxLogCharacters);
		},
	});
	return {
		name,
		ready,
		readLog,
		hasExited: () => child.exitCode !== null || child.signalCode !== null,
		async waitUntilExit() {
			const [code] = await exit;
			return code ?? -1;
		},
		closeOutput() {
			child.stdout.destroy();
			child.stderr.destroy();
		},
		async kill() {
			child.kill('SIGKILL');
			await exit;
		},
		pause() {
			child.kill('SIGSTOP');
		},
		resume() {
			child.kill('SIGCONT');
		},
		async stop() {
			if (child.exitCode !== null || child.signalCode !== null) {
				return child.exitCode ?? -1;
			}

			child.kill('SIGCONT');
			child.kill('SIGTERM');
			const [code] = await exit;
			return code ?? -1;
		},
	};
}
