/**
 * Faults that are known and not mended: KNOWN-RED.txt, a line each, which
 * begins with `proof NAME |` or `test NAME |`.
 *
 * @module
 */
import {readFileSync} from 'node:fs';

/** One known fault. */
export type KnownRed = {readonly kind: string; readonly name: string; readonly line: string};

const subject = /^(?<kind>proof|test) (?<name>[^|]+) \|/;

/**
 * Reads the known faults.
 *
 * @example
 * ```ts
 * readKnownRed().filter(({kind}) => kind === 'proof');
 * ```
 *
 * @returns The faults
 * @throws {TypeError} When a line names neither a proof nor a test
 */
export function readKnownRed(): KnownRed[] {
	return readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(Boolean).map(line => {
		const groups = subject.exec(line)?.groups;
		if (!groups) {
			throw new TypeError(`A line of KNOWN-RED.txt names neither a proof nor a test: ${line}`);
		}

		return {kind: groups.kind!, name: groups.name!, line};
	});
}
