/**
 * `npm run measure -- NAME [--json]`
 *
 * @module
 */
import process from 'node:process';
import {
	command, flag, oneOf, positional, run,
} from 'cmd-ts';
import {measurePath} from './path.js';
import {printDocument} from './report.js';

const measurements: Record<string, () => Promise<Record<string, unknown>>> = {
	path: measurePath,
};

await run(command({
	name: 'measure',
	description: 'Runs one measurement; each ends within 50 s',
	args: {
		name: positional({type: oneOf(Object.keys(measurements)), displayName: 'NAME'}),
		json: flag({long: 'json', description: 'print one JSON document'}),
	},
	async handler({name, json}) {
		printDocument(await measurements[name]!(), json);
	},
}), process.argv.slice(2));
