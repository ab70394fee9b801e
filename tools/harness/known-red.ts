/**
 * Faults that are known and not mended: KNOWN-RED.txt, a line each, which
 * begins with `proof NAME |` or `test FILE: NAME |`.
 *
 * @module
 */
import {existsSync, readFileSync} from 'node:fs';

/** One known fault: a proof, or a test of one file. */
export type KnownRed = {readonly kind: string; readonly file: string | undefined; readonly name: string; readonly line: string};

/** Holds the check of the list; a list that could name its tests would switch it off. */
export const knownRedCheckFile = 'tools/prove/prove.test.ts';

const subject = /^(?<kind>proof|test) (?:(?<file>\S+\.test\.ts): )?(?<name>[^|]+) \|/;

/**
 * Parses the text of KNOWN-RED.txt.
 *
 * @example
 * ```ts
 * parseKnownRed('proof killed-holder | cause | issue 10 | command')[0].name; // 'killed-holder'
 * ```
 *
 * @param text A line a fault
 * @returns The faults
 * @throws {TypeError} When a line names neither a proof nor a test of a file
 */
export function parseKnownRed(text: string): KnownRed[] {
	return text.split('\n').filter(Boolean).map(line => {
		const groups = subject.exec(line)?.groups;
		if (!groups || (groups.kind === 'test') !== (groups.file !== undefined)) {
			throw new TypeError(`A line of KNOWN-RED.txt names neither a proof nor a test of a file: ${line}`);
		}

		return {
			kind: groups.kind!, file: groups.file, name: groups.name!, line,
		};
	});
}

/**
 * Reads the known faults.
 *
 * @example
 * ```ts
 * readKnownRed().filter(({kind}) => kind === 'proof');
 * ```
 *
 * @returns The faults
 * @throws {TypeError} When a line names neither a proof nor a test of a file
 */
export function readKnownRed(): KnownRed[] {
	return parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));
}

/**
 * Finds the lines that may not stand in the list: proofs and tests that do not
 * exist, and tests of the file that checks the list.
 *
 * @example
 * ```ts
 * findBadLines(readKnownRed(), ['killed-holder']);
 * ```
 *
 * @param known The list
 * @param proofs The names of all proofs
 * @returns The lines at fault
 */
export function findBadLines(known: readonly KnownRed[], proofs: readonly string[]): string[] {
	const isBad = ({kind, file, name}: KnownRed) => kind === 'proof'
		? !proofs.includes(name)
		: file === knownRedCheckFile || !existsSync(file!) || !readFileSync(file!, 'utf8').includes(`('${name}',`);
	return known.filter(item => isBad(item)).map(({line}) => line);
}
