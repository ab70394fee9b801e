/**
 * Reads and validates a daemon's settings. All issues are reported at once, each
 * with its path and line.
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

/** One problem in a settings file. */
export type SettingsIssue = {
	readonly line: number;
	/** Keys from the root of the settings, joined by dots. */
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
function expandIssue(issue: z.core.$ZodIssue): Array<{path: PropertyKey[]; message: string}> {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({path: [...issue.path, key], message: `Unknown key "${key}"`}));
	}

	return [{path: issue.path, message: issue.message}];
}

/** Options of {@linkcode parseSettings} and {@linkcode readSettings}. */
export type ParseSettingsOptions = {
	/** ID of the daemon to select from a deployment file; may be omitted if the file describes only one. */
	readonly daemon?: string;
};

/** Unvalidated settings of one daemon. `toDocumentPath` maps a path in its settings to the path in the document. */
type UncheckedSettings = {
	readonly value: unknown;
	readonly toDocumentPath: (path: readonly PropertyKey[]) => PropertyKey[];
};

const deploymentKeys: ReadonlySet<string> = new Set(['deployment', 'shared', 'daemons']);

/** @internal */
function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** @internal */
function listUncheckedSettings(document: Document): UncheckedSettings[] {
	const value = document.toJS() as unknown;
	if (!isRecord(value) || !Array.isArray(value.daemons)) {
		return [{value, toDocumentPath: path => [...path]}];
	}

	const shared = isRecord(value.shared) ? value.shared : {};
	return value.daemons.map((daemon: unknown, index) => ({
		value: isRecord(daemon) ? {...shared, ...daemon} : daemon,
		toDocumentPath(path) {
			const isOwn = path.length === 0 || (isRecord(daemon) && Object.hasOwn(daemon, path[0]!)) || !Object.hasOwn(shared, path[0]!);
			return isOwn ? ['daemons', index, ...path] : ['shared', ...path];
		},
	}));
}

/** @internal */
function listUnknownKeys(document: Document): PropertyKey[][] {
	const value = document.toJS() as unknown;
	const isDeployment = isRecord(value) && Array.isArray(value.daemons);
	return isDeployment ? Object.keys(value).filter(key => !deploymentKeys.has(key)).map(key => [key]) : [];
}

/** @internal */
function validateSettings(document: Document, lines: LineCounter, daemons: readonly UncheckedSettings[]): Result<Settings[], SettingsIssue[]> {
	const issues = new Map<string, SettingsIssue>();
	const addIssue = (path: readonly PropertyKey[], message: string) => {
		const issue = {line: findLine(document, lines, path), path: path.join('.'), message};
		issues.set(`${issue.path}: ${message}`, issue);
	};

	for (const path of listUnknownKeys(document)) {
		addIssue(path, `Unknown key "${String(path[0])}"`);
	}

	const valid: Settings[] = [];
	for (const daemon of daemons) {
		const parsed = settingsSchema.safeParse(daemon.value);
		if (parsed.success) {
			valid.push(parsed.data);
			continue;
		}

		for (const {path, message} of parsed.error.issues.flatMap(issue => expandIssue(issue))) {
			addIssue(daemon.toDocumentPath(path), message);
		}
	}

	return issues.size === 0 ? Ok(valid) : Err([...issues.values()].toSorted((left, right) => left.line - right.line));
}

/** @internal */
function selectDaemon(daemons: readonly Settings[], id: string | undefined): Result<Settings, SettingsIssue[]> {
	const found = id === undefined && daemons.length === 1 ? daemons[0] : daemons.find(daemon => daemon.id === id);
	if (found) {
		return Ok(found);
	}

	const names = daemons.map(daemon => daemon.id).join(', ');
	const message = id === undefined
		? `The file describes ${daemons.length} daemons: select one of ${names} with --daemon`
		: `Daemon "${id}" not found: the file describes ${names}`;
	return Err([{line: 1, path: 'daemons', message}]);
}

/**
 * Parses and validates a settings file. The file contains the settings of one
 * daemon, or is a deployment file with a list of `daemons`. The `shared` settings
 * of a deployment file apply to each daemon that does not override them.
 *
 * @example Settings with only a role
 * ```ts
 * parseDeployment('role: entry').err; // true, with an issue for each missing key
 * ```
 *
 * @param text YAML
 * @returns The settings of all daemons, or all issues ordered by line
 */
export function parseDeployment(text: string): Result<Settings[], SettingsIssue[]> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	if (document.errors.length > 0) {
		return Err(document.errors.map(error => ({line: error.linePos?.[0].line ?? 1, path: '', message: error.message.split('\n')[0] ?? ''})));
	}

	return validateSettings(document, lines, listUncheckedSettings(document));
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
 * @param options The daemon to select from a deployment file
 * @returns The settings, or all issues ordered by line
 */
export function parseSettings(text: string, options: ParseSettingsOptions = {}): Result<Settings, SettingsIssue[]> {
	return parseDeployment(text).andThen(daemons => selectDaemon(daemons, options.daemon));
}

/** @internal */
function readSettingsText(file: string): Result<string, SettingsIssue[]> {
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
 * const settings = readSettings('settings/fleet.yaml', {daemon: 'entry-1'});
 * ```
 *
 * @param file The file's path
 * @param options The daemon to select from a deployment file
 * @returns The settings, or all issues
 */
export function readSettings(file: string, options: ParseSettingsOptions = {}): Result<Settings, SettingsIssue[]> {
	return readSettingsText(file).andThen(text => parseSettings(text, options));
}

/**
 * Validates the settings of every daemon in a file.
 *
 * @example
 * ```ts
 * checkSettings('settings/fleet.yaml');
 * ```
 *
 * @param file The file's path
 * @returns The settings of all daemons, or all issues
 */
export function checkSettings(file: string): Result<Settings[], SettingsIssue[]> {
	return readSettingsText(file).andThen(text => parseDeployment(text));
}

/**
 * Reads a secret from the file or environment variable named in the settings.
 *
 * @example
 * ```ts
 * readSecret({environment: 'FIREFLYLANE_FLEET_KEY'});
 * ```
 *
 * @param source The file or the environment variable
 * @returns The secret, or an error message
 */
export function readSecret(source: Settings['fleetKey']): Result<string, string> {
	try {
		const secret = 'file' in source ? readFileSync(source.file, 'utf8').trim() : process.env[source.environment];
		return secret ? Ok(secret) : Err(`The secret in ${JSON.stringify(source)} is empty or not set`);
	} catch (error) {
		return Err(`Cannot read the secret in ${JSON.stringify(source)}: ${(error as Error).message}`);
	}
}
