/**
 * Reads KNOWN-RED.txt, the list of known faults that are not fixed yet. Each
 * line is one fault and begins with `proof NAME |` or `test FILE: NAME |`.
 *
 * @module
 */
import {existsSync, readFileSync} from 'node:fs';

/** A known fault: a proof or a test that fails. */
export type KnownRed = {readonly kind: string; readonly file: string | undefined; readonly name: string; readonly line: string};

/** The test file that validates the list. The list may not name its tests, as that would disable the validation. */
export const knownRedCheckFile = 'tools/prove/prove.test.ts';

const linePattern = /^(?<kind>proof|test) (?:(?<file>\S+\.test\.ts): )?(?<name>[^|]+) \|/;

/**
 * Parses the text of KNOWN-RED.txt.
 *
 * @example
 * ```ts
 * parseKnownRed('proof killed-holder | cause | issue 10 | command')[0].name; // 'killed-holder'
 * ```
 *
 * @param text The text, one fault per line
 * @returns The faults
 * @throws {TypeError} If a line names neither a proof nor a test of a file
 */
export function parseKnownRed(text: string): KnownRed[] {
	return text.split('\n').filter(Boolean).map(line => {
		const groups = linePattern.exec(line)?.groups;
		if (!groups || (groups.kind === 'test') !== (groups.file !== undefined)) {
			throw new TypeError(`A line of KNOWN-RED.txt names neither a proof nor a test of a file: ${line}`);
		}

		return {
			kind: groups.kind!, file: groups.file, name: groups.name!, line,
		};
	});
}

/**
 * Reads and parses KNOWN-RED.txt.
 *
 * @example
 * ```ts
 * readKnownRed().filter(({kind}) => kind === 'proof');
 * ```
 *
 * @returns The faults
 * @throws {TypeError} If a line names neither a proof nor a test of a file
 */
export function readKnownRed(): KnownRed[] {
	return parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));
}

/**
 * Finds invalid lines: those that name a proof or test that does not exist, or a
 * test of the file that validates the list.
 *
 * @example
 * ```ts
 * findBadLines(readKnownRed(), ['killed-holder']);
 * ```
 *
 * @param known The known faults
 * @param proofs The names of all proofs
 * @returns The invalid lines
 */
export function findBadLines(known: readonly KnownRed[], proofs: readonly string[]): string[] {
	const isBad = ({kind, file, name}: KnownRed) => kind === 'proof'
		? !proofs.includes(name)
		: file === knownRedCheckFile || !existsSync(file!) || !readFileSync(file!, 'utf8').includes(`('${name}',`);
	return known.filter(item => isBad(item)).map(({line}) => line);
}
