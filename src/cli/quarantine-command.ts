/**
 * `fireflylane quarantine`: requests that are held back because upstreams
 * crashed under them.
 *
 * @module
 */
import {
	command, positional, string, subcommands,
} from 'cmd-ts';
import {askDaemon} from './operator-client.js';
import {printResult} from './print.js';
import {formatTable, type TableRow} from './table.js';
import {buildTarget, targetOptions} from './target.js';

/** `fireflylane quarantine` */
export const quarantineCommand = subcommands({
	name: 'quarantine',
	description: 'Look at requests that a gateway holds back, and let them go; --url is the gateway\'s address for metrics',
	cmds: {
		list: command({
			name: 'list',
			description: 'List held requests, with milliseconds since the last crash and until the next trial',
			args: targetOptions,
			async handler(given) {
				const answer = await askDaemon<{held: TableRow[]}>(buildTarget(given), '/v1/quarantine');
				printResult(answer, {json: given.json, format: ({held}) => formatTable(held)});
			},
		}),
		release: command({
			name: 'release',
			description: 'Let a request go, at all gateways',
			args: {...targetOptions, digest: positional({type: string, displayName: 'DIGEST'})},
			async handler(given) {
				const answer = await askDaemon<{released: string}>(buildTarget(given), `/v1/quarantine/${encodeURIComponent(given.digest)}`, {});
				printResult(answer, {json: given.json, format: ({released}) => `Request ${released} is no longer held back`});
			},
		}),
	},
});
