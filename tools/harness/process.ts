/**
 * Processes of a test fleet: started, killed, frozen and stopped by id.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** What a process printed as its ready line. */
export type ReadyLine = {
	readonly pid: number; readonly url: string; readonly callers: string; readonly operators: string; readonly peers: string; readonly readiness: string; readonly metrics: string;
};

/** A process of the fleet. */
export type FleetProcess = {
	readonly name: string;
	readonly ready: ReadyLine;
	/** Everything it wrote. */
	readonly readLog: () => string;
	readonly kill: () => Promise<void>;
	readonly freeze: () => void;
	readonly resume: () => void;
	/** Sends SIGTERM and returns the exit code. */
	readonly stop: () => Promise<number>;
	readonly hasExited: () => boolean;
};

/** Options of {@linkcode startProcess}. */
export type StartProcessOptions = {
	/** The program's path from the build folder. */
	readonly file: string;
	readonly args?: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
	/** Modules replaced by others, both by path from the build folder; default none. */
	readonly replace?: Readonly<Record<string, string>>;
	/** Writes the process's log to this one's standard error; default false. */
	readonly showLog?: boolean;
};

/** Environment variable that names the replaced modules. */
export const replaceVariable = 'FIREFLYLANE_PROOF_REPLACE';

const logLimit = 4_000_000;
/** The build folder, whether this module runs from one or from its source. */
const buildFolder = new URL(import.meta.url.endsWith('.js') ? '../../' : '../../dist/', import.meta.url);

type ReadReadyLineOptions = {readonly readLog: () => string; readonly keepLine: (line: string) => void};

/** @internal */
async function readReadyLine(child: ChildProcess, name: string, {readLog, keepLine}: ReadReadyLineOptions): Promise<ReadyLine> {
	const lines = createInterface({input: child.stdout!});
	lines.on('line', keepLine);
	const first = await Promise.race([
		once(lines, 'line') as Promise<[string]>,
		once(child, 'exit') as Promise<[number]>,
	]);
	if (typeof first[0] !== 'string') {
		throw new TypeError(`Process "${name}" ended with code ${String(first[0])} before it was ready: ${readLog()}`);
	}

	return JSON.parse(first[0]) as ReadyLine;
}

/**
 * Starts a process and waits for its ready line.
 *
 * @example
 * ```ts
 * const log = await startProcess('log', {file: 'stand-ins/log-service.js'});
 * ```
 *
 * @param name What to call it
 * @param options The program
 * @returns The running process
 * @throws When it ends before it is ready
 */
export async function startProcess(name: string, options: StartProcessOptions): Promise<FleetProcess> {
	const file = fileURLToPath(new URL(options.file, buildFolder));
	const replacing = options.replace ? ['--import', fileURLToPath(new URL('tools/prove/replace.js', buildFolder))] : [];
	const child = spawn(process.execPath, [...replacing, file, ...options.args ?? []], {
		stdio: ['ignore', 'pipe', 'pipe'],
		// A terminal's Ctrl-C goes to the whole process group; the fleet is stopped in order by the one that started it.
		detached: true,
		env: {...process.env, ...options.environment, [replaceVariable]: JSON.stringify(options.replace ?? {})},
	});
	let log = '';
	child.stderr.on('data', (data: Uint8Array) => {
		log = (log + String(data)).slice(-logLimit);
		if (options.showLog) {
			process.stderr.write(data);
		}
	});
	const exited = once(child, 'exit') as Promise<[number | undefined]>;
	const readLog = () => log;
	const ready = await readReadyLine(child, name, {
		readLog,
		keepLine(line) {
			log = (log + line + '\n').slice(-logLimit);
		},
	});
	return {
		name,
		ready,
		readLog,
		hasExited: () => child.exitCode !== null || child.signalCode !== null,
		async kill() {
			child.kill('SIGKILL');
			await exited;
		},
		freeze() {
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
			const [code] = await exited;
			return code ?? -1;
		},
	};
}
