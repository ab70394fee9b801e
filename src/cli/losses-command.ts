/**
 * `fireflylane losses`: where callers and budgets lose, from the daemons' logs.
 *
 * @module
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {
	command, flag, number, option, optional, restPositionals, string,
} from 'cmd-ts';
import type {CustomerLosses} from './budget-count.js';
import {readLog} from './log-line.js';
import {buildLosses, type Losses} from './losses.js';
import {formatLossesPlot} from './losses-plot.js';
import {formatTable, type TableRow} from './table.js';

const secondsPerWindow = 2;
/** Reasons that a table shows; the rest is in the document of `--json`. */
const reasonsShown = 12;

/** @internal */
function listWindowRows({windows}: Losses): TableRow[] {
	const outcomes = [...new Set(windows.flatMap(window => Object.keys(window.outcomes)))].sort();
	return windows.map(({from, outcomes: counts}) => ({second: from, ...Object.fromEntries(outcomes.map(outcome => [outcome, counts[outcome] ?? 0]))}));
}

/** @internal */
function formatShare(tokens: number, {bought}: CustomerLosses): string {
	return bought ? `${tokens} (${(tokens / bought * 100).toFixed(1)}%)` : String(tokens);
}

/** @internal */
function listCustomerRows({customers}: Losses): TableRow[] {
	return customers.map(item => ({
		customer: item.customer,
		bought: item.bought,
		counted: formatShare(item.counted, item),
		'not served': formatShare(item.unserved, item),
		'left with dead': formatShare(item.leftWithDead, item),
		short: item.short,
	}));
}

/** @internal */
function formatLosses(losses: Losses, skipped: number): string {
	return [
		`Since ${losses.since}; ${skipped} lines without an event were left out`,
		formatTable(listWindowRows(losses)),
		'Not served:',
		formatTable(losses.reasons.slice(0, reasonsShown).map(item => ({...item}))),
		'Customers, in tokens; short: requests that found too few:',
		formatTable(listCustomerRows(losses)),
	].join('\n\n');
}

/** `fireflylane losses` */
export const lossesCommand = command({
	name: 'losses',
	description: 'Tell where requests and tokens were lost from the logs of several daemons; asks no daemon',
	args: {
		files: restPositionals({type: string, displayName: 'FILE', description: 'logs of gateways; - is the standard input'}),
		window: option({
			long: 'window', type: number, defaultValue: () => secondsPerWindow, description: 'seconds that a row covers',
		}),
		json: flag({long: 'json', description: 'print one JSON document'}),
		plot: option({long: 'plot', type: optional(string), description: 'also write a picture to this SVG file'}),
	},
	async handler({files, window, json, plot}) {
		if (!(window > 0)) {
			process.stderr.write('--window takes seconds above 0\n');
			process.exitCode = 1;
			return;
		}

		const logs = (files.length === 0 ? ['-'] : files).map(file => readLog(readFileSync(file === '-' ? 0 : file, 'utf8')));
		const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
		const losses = buildLosses(logs.flatMap(({lines}) => lines), {window});
		process.stdout.write(`${json ? JSON.stringify({...losses, skipped}) : formatLosses(losses, skipped)}\n`);
		if (plot !== undefined) {
			writeFileSync(plot, await formatLossesPlot(losses));
		}
	},
});
