/**
 * Command line of the measurements: `npm run measure -- NAME [--json]`.
 *
 * @module
 */
import process from 'node:process';
import {
	command, flag, oneOf, option, positional, run, string,
} from 'cmd-ts';
import {measureBudgets} from './budgets.js';
import {measureConfiguration} from './configuration.js';
import {measureContention} from './contention.js';
import {measurePath} from './path.js';
import {printReport} from './report.js';
import {measureRouting} from './routing.js';
import {measureSlopes} from './slopes.js';

type MeasureOptions = {readonly sizes: readonly number[]};

const measurements: Record<string, (options: MeasureOptions) => Promise<Record<string, unknown>>> = {
	path: measurePath,
	budgets: measureBudgets,
	routing: measureRouting,
	configuration: measureConfiguration,
	slopes: measureSlopes,
	contention: measureContention,
};

await run(command({
	name: 'measure',
	description: 'Runs one measurement; each takes at most 50 s, contention at most 30 s per number of gateways',
	args: {
		name: positional({type: oneOf(Object.keys(measurements)), displayName: 'NAME'}),
		sizes: option({
			long: 'sizes', type: string, defaultValue: () => '4,14,31,90', description: 'numbers of gateways, for contention',
		}),
		json: flag({long: 'json', description: 'print one JSON document'}),
	},
	async handler({name, sizes, json}) {
		printReport(await measurements[name]!({sizes: sizes.split(',').map(Number)}), json);
	},
}), process.argv.slice(2));
