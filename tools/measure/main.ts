/**
 * `npm run measure -- NAME [--json]`
 *
 * @module
 */
import process from 'node:process';
import {
	command, flag, oneOf, positional, run,
} from 'cmd-ts';
import {measureBudgets} from './budgets.js';
import {measureConfiguration} from './configuration.js';
import {measurePath} from './path.js';
import {printDocument} from './report.js';
import {measureRouting} from './routing.js';
import {measureSlopes} from './slopes.js';

const measurements: Record<string, () => Promise<Record<string, unknown>>> = {
	path: measurePath,
	budgets: measureBudgets,
	routing: measureRouting,
	configuration: measureConfiguration,
	slopes: measureSlopes,
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
