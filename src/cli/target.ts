/**
 * Options shared by all commands that contact a daemon.
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

/** Definitions of the shared options, for `cmd-ts`. */
export const targetOptions = {
	url: option({
		long: 'url', type: string, description: 'operator address of an entry daemon', env: 'FIREFLYLANE_URL', defaultValue: () => 'http://127.0.0.1:7110',
	}),
	keyFile: option({long: 'key-file', type: optional(string), description: 'file with the operator key (default: the value of FIREFLYLANE_OPERATOR_KEY)'}),
	json: flag({long: 'json', description: 'print one JSON document'}),
};

/** Parsed values of the shared options. */
export type TargetArguments = {readonly url: string; readonly keyFile: string | undefined; readonly json: boolean};

/**
 * Builds the target of a command, and reads the operator key.
 *
 * @example
 * ```ts
 * buildTarget({url: 'http://127.0.0.1:7110', keyFile: undefined, json: false});
 * ```
 *
 * @param args Parsed values of the shared options
 * @returns Address and key of the daemon, with the name of the current user as operator
 */
export function buildTarget(args: TargetArguments): OperatorTarget {
	const key = args.keyFile === undefined ? process.env.FIREFLYLANE_OPERATOR_KEY ?? '' : readFileSync(args.keyFile, 'utf8').trim();
	return {url: args.url, key, operator: userInfo().username};
}
