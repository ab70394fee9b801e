/**
 * Processor time and memory of a process, as the system counts them.
 *
 * @module
 */
import {readFileSync} from 'node:fs';

/** What a process has used. */
export type ProcessUse = {
	/** Processor time since its start, in seconds. */
	readonly seconds: number;
	/** Resident memory, in kilobytes. */
	readonly kilobytes: number;
};

const ticksPerSecond = 100;

/**
 * Reads what a process has used.
 *
 * @example
 * ```ts
 * readProcessUse(process.pid).seconds;
 * ```
 *
 * @param pid The process
 * @returns Its processor time and memory
 * @throws When the process is gone
 */
export function readProcessUse(pid: number): ProcessUse {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return {seconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, kilobytes: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1])};
}
