/**
 * Options that every command of the command line has.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import process from 'node:process';
import {
	flag, option, optional, string,
} from 'cmd-ts';
import type {OperatorTarget} from './operator-client.js';

/** The common options, for `cmd-ts`. */
export const targetOptions = {
	url: option({
		long: 'url', type: string, description: 'an entry daemon\'s address for operators', env: 'FIREFLYLANE_URL', defaultValue: () => 'http://127.0.0.1:7110',
	}),
	keyFile: option({long: 'key-file', type: optional(string), description: 'file with the operator key; else FIREFLYLANE_OPERATOR_KEY is read'}),
	json: flag({long: 'json', description: 'print one JSON document'}),
};

/** The common options as given. */
export type TargetArguments = {readonly url: string; readonly keyFile: string | undefined; readonly json: boolean};

/**
 * Builds the target of a command.
 *
 * @example
 * ```ts
 * buildTarget({url: 'http://127.0.0.1:7110', keyFile: undefined, json: false});
 * ```
 *
 * @param given The options as given
 * @returns Where to ask, and with what key
 */
export function buildTarget(given: TargetArguments): OperatorTarget {
	const key = given.keyFile === undefined ? process.env.FIREFLYLANE_OPERATOR_KEY ?? '' : readFileSync(given.keyFile, 'utf8').trim();
	return {url: given.url, key, operator: userInfo().username};
}
