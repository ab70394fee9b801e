/**
 * Reads a daemon's settings and reports everything that is wrong with them at
 * once, each with its path and line.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	LineCounter, isNode, parseDocument, type Document,
} from 'yaml';
import type {z} from 'zod';
import {Err, Ok, type Result} from './results.js';
import {settingsSchema, type Settings} from './settings.js';

/** One thing wrong with a settings file. */
export type SettingsIssue = {
	readonly line: number;
	/** Members from the root, joined by dots. */
	readonly path: string;
	readonly message: string;
};

/** @internal */
function findLine(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number {
	for (let {length} = path; length >= 0; length--) {
		const node = document.getIn(path.slice(0, length), true);
		if (isNode(node) && node.range) {
			return lines.linePos(node.range[0]).line;
		}
	}

	return 1;
}

/** @internal */
function listIssues(issue: z.core.$ZodIssue): Array<{path: PropertyKey[]; message: string}> {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: [...issue.path, key], message: `Unknown key "${key}"`}));
	}

	return [{path: issue.path, message: issue.message}];
}

/**
 * Parses the text of a settings file.
 *
 * @example Nothing but a role
 * ```ts
 * parseSettings('role: entry').err; // true, with an issue for each missing member
 * ```
 *
 * @param text YAML
 * @returns The settings, or all issues in the order of their lines
 */
export function parseSettings(text: string): Result<Settings, SettingsIssue[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	if (document.errors.length > 0) {
		return Err(document.errors.map(error => ({line: error.linePos?.[0].line ?? 1, path: '', message: error.message.split('\n')[0] ?? ''})));
	}

	const parsed = settingsSchema.safeParse(document.toJS());
	if (parsed.success) {
		return Ok(parsed.data);
	}

	const issues = parsed.error.issues.flatMap(issue => listIssues(issue)).map(({path, message}) => ({
		line: findLine(document, lines, path),
		path: path.join('.'),
		message,
	}));
	issues.sort((left, right) => left.line - right.line);
	return Err(issues);
}

/**
 * Reads a settings file.
 *
 * @example
 * ```ts
 * const settings = readSettings('settings/entry.yaml');
 * ```
 *
 * @param file The file's path
 * @returns The settings, or all issues
 */
export function readSettings(file: string): Result<Settings, SettingsIssue[]> {
	try {
		return parseSettings(readFileSync(file, 'utf8'));
	} catch (error) {
		return Err([{line: 0, path: '', message: `Cannot read "${file}": ${(error as Error).message}`}]);
	}
}

/**
 * Reads a secret from where the settings say it is.
 *
 * @example
 * ```ts
 * readSecret({environment: 'FIREFLYLANE_FLEET_KEY'});
 * ```
 *
 * @param source The file or the environment variable
 * @returns The secret, or why it cannot be had
 */
export function readSecret(source: Settings['fleetKey']): Result<string, string> {
	try {
		const secret = 'file' in source ? readFileSync(source.file, 'utf8').trim() : process.env[source.environment];
		return secret ? Ok(secret) : Err(`The secret in ${JSON.stringify(source)} is empty or not set`);
	} catch (error) {
		return Err(`Cannot read the secret in ${JSON.stringify(source)}: ${(error as Error).message}`);
	}
}
