/**
 * Processor time and memory of a process, from `/proc`.
 *
 * @module
 */
import {readFileSync} from 'node:fs';

/** Resources used by a process. */
export type ProcessUsage = {
	/** Processor time since its start, in seconds. */
	readonly cpuSeconds: number;
	/** Resident memory, in kilobytes. */
	readonly residentKilobytes: number;
};

const ticksPerSecond = 100;

/**
 * Reads the resources used by a process.
 *
 * @example
 * ```ts
 * readProcessUsage(process.pid).cpuSeconds;
 * ```
 *
 * @param pid ID of the process
 * @returns Its processor time and memory
 * @throws {Error} If the process no longer exists
 */
export function readProcessUsage(pid: number): ProcessUsage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, residentKilobytes: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1])};
}
