/**
 * `fireflylane quarantine`: lists and releases requests and parts of prompts that
 * gateways hold back because upstreams crashed while running them.
 *
 * @module
 */
import {
	command, positional, string, subcommands,
} from 'cmd-ts';
import {sendOperatorRequest} from './operator-client.js';
import {printResult} from './print.js';
import {formatTable, type TableRow} from './table.js';
import {buildTarget, targetOptions} from './target.js';

/** `fireflylane quarantine` */
export const quarantineCommand = subcommands({
	name: 'quarantine',
	description: 'List and release requests and parts of prompts that a gateway holds in quarantine; --url is the metrics address of the gateway',
	cmds: {
		list: command({
			name: 'list',
			description: 'List held requests and parts, with milliseconds since the last crash or trial and until the next trial',
			args: targetOptions,
			async handler(args) {
				const result = await sendOperatorRequest<{held: TableRow[]; heldParts: TableRow[]}>(buildTarget(args), '/v1/quarantine');
				printResult(result, {json: args.json, format: ({held, heldParts}) => `Requests:\n${formatTable(held)}\nParts of prompts:\n${formatTable(heldParts)}`});
			},
		}),
		release: command({
			name: 'release',
			description: 'Release a request or part at all gateways',
			args: {...targetOptions, digest: positional({type: string, displayName: 'DIGEST'})},
			async handler(args) {
				const result = await sendOperatorRequest<{released: string}>(buildTarget(args), `/v1/quarantine/${encodeURIComponent(args.digest)}`, {});
				printResult(result, {json: args.json, format: ({released}) => `${released} is no longer held back`});
			},
		}),
	},
});
