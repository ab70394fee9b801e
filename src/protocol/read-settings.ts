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

/** Options of {@linkcode parseSettings} and {@linkcode readSettings}. */
export type ParseSettingsOptions = {
	/** The daemon wanted of a deployment file; default the only one. */
	readonly daemon?: string;
};

/** Settings of one daemon in a document, with the way from its members to their lines. */
type Candidate = {
	readonly value: unknown;
	readonly locate: (path: readonly PropertyKey[]) => PropertyKey[];
};

const deploymentMembers: ReadonlySet<string> = new Set(['deployment', 'shared', 'daemons']);

/** @internal */
function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** @internal */
function listCandidates(document: Document): Candidate[] {
	const value = document.toJS() as unknown;
	if (!isRecord(value) || !Array.isArray(value.daemons)) {
		return [{value, locate: path => [...path]}];
	}

	const shared = isRecord(value.shared) ? value.shared : {};
	return value.daemons.map((daemon: unknown, index) => ({
		value: isRecord(daemon) ? {...shared, ...daemon} : daemon,
		locate(path) {
			const isOwn = path.length === 0 || (isRecord(daemon) && Object.hasOwn(daemon, path[0]!)) || !Object.hasOwn(shared, path[0]!);
			return isOwn ? ['daemons', index, ...path] : ['shared', ...path];
		},
	}));
}

/** @internal */
function listUnknownMembers(document: Document): PropertyKey[][] {
	const value = document.toJS() as unknown;
	const isDeployment = isRecord(value) && Array.isArray(value.daemons);
	return isDeployment ? Object.keys(value).filter(key => !deploymentMembers.has(key)).map(key => [key]) : [];
}

/** @internal */
function checkCandidates(document: Document, lines: LineCounter, candidates: readonly Candidate[]): Result<Settings[], SettingsIssue[]> {
	const issues = new Map<string, SettingsIssue>();
	const note = (path: readonly PropertyKey[], message: string) => {
		const issue = {line: findLine(document, lines, path), path: path.join('.'), message};
		issues.set(`${issue.path}: ${message}`, issue);
	};

	for (const path of listUnknownMembers(document)) {
		note(path, `Unknown key "${String(path[0])}"`);
	}

	const checked: Settings[] = [];
	for (const candidate of candidates) {
		const parsed = settingsSchema.safeParse(candidate.value);
		if (parsed.success) {
			checked.push(parsed.data);
			continue;
		}

		for (const {path, message} of parsed.error.issues.flatMap(issue => listIssues(issue))) {
			note(candidate.locate(path), message);
		}
	}

	return issues.size === 0 ? Ok(checked) : Err([...issues.values()].toSorted((left, right) => left.line - right.line));
}

/** @internal */
function pickDaemon(daemons: readonly Settings[], wanted: string | undefined): Result<Settings, SettingsIssue[]> {
	const found = wanted === undefined && daemons.length === 1 ? daemons[0] : daemons.find(daemon => daemon.id === wanted);
	if (found) {
		return Ok(found);
	}

	const names = daemons.map(daemon => daemon.id).join(', ');
	const message = wanted === undefined
		? `The file describes ${daemons.length} daemons: name one of ${names} with --daemon`
		: `There is no daemon "${wanted}"; the file describes ${names}`;
	return Err([{line: 1, path: 'daemons', message}]);
}

/**
 * Parses a settings file of one daemon, or a deployment file whose `shared`
 * members hold for each of its `daemons`, and checks every daemon in it.
 *
 * @example Nothing but a role
 * ```ts
 * parseDeployment('role: entry').err; // true, with an issue for each missing member
 * ```
 *
 * @param text YAML
 * @returns The settings of all daemons, or all issues in the order of their lines
 */
export function parseDeployment(text: string): Result<Settings[], SettingsIssue[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	if (document.errors.length > 0) {
		return Err(document.errors.map(error => ({line: error.linePos?.[0].line ?? 1, path: '', message: error.message.split('\n')[0] ?? ''})));
	}

	return checkCandidates(document, lines, listCandidates(document));
}

/**
 * Parses the settings of one daemon.
 *
 * @example One daemon of a deployment
 * ```ts
 * parseSettings(text, {daemon: 'entry-1'});
 * ```
 *
 * @param text YAML
 * @param options Which daemon of a deployment file
 * @returns The settings, or all issues in the order of their lines
 */
export function parseSettings(text: string, options: ParseSettingsOptions = {}): Result<Settings, SettingsIssue[]> {
	return parseDeployment(text).andThen(daemons => pickDaemon(daemons, options.daemon));
}

/** @internal */
function readText(file: string): Result<string, SettingsIssue[]> {
	try {
		return Ok(readFileSync(file, 'utf8'));
	} catch (error) {
		return Err([{line: 0, path: '', message: `Cannot read "${file}": ${(error as Error).message}`}]);
	}
}

/**
 * Reads the settings of one daemon from a file.
 *
 * @example
 * ```ts
 * const settings = readSettings('settings/abrigo.yaml', {daemon: 'entry-1'});
 * ```
 *
 * @param file The file's path
 * @param options Which daemon of a deployment file
 * @returns The settings, or all issues
 */
export function readSettings(file: string, options: ParseSettingsOptions = {}): Result<Settings, SettingsIssue[]> {
	return readText(file).andThen(text => parseSettings(text, options));
}

/**
 * Checks every daemon of a settings file.
 *
 * @example
 * ```ts
 * checkSettings('settings/abrigo.yaml');
 * ```
 *
 * @param file The file's path
 * @returns The settings of all daemons, or all issues
 */
export function checkSettings(file: string): Result<Settings[], SettingsIssue[]> {
	return readText(file).andThen(text => parseDeployment(text));
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
