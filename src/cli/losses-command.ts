/**
 * `fireflylane losses`: reports lost requests and tokens from the daemons' logs.
 *
 * @module
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {
	command, flag, number, option, optional, restPositionals, string,
} from 'cmd-ts';
import type {CustomerLosses} from './budget-counter.js';
import {parseLogAndCountSkipped} from './log-line.js';
import {buildLossReport, type LossReport} from './loss-report.js';
import {renderLossPlot} from './loss-plot.js';
import {formatTable, type TableRow} from './table.js';

const defaultWindowSeconds = 2;
/** Reasons listed in the table; `--json` lists all of them. */
const maxReasonsShown = 12;
/** Customers listed in the table of requests, those served least often first. */
const maxCustomersShown = 12;

/** @internal */
function buildWindowRows({windows}: LossReport): TableRow[] {
	const outcomes = [...new Set(windows.flatMap(window => Object.keys(window.outcomes)))].sort();
	return windows.map(({from, outcomes: counts}) => ({second: from, ...Object.fromEntries(outcomes.map(outcome => [outcome, counts[outcome] ?? 0]))}));
}

/** @internal */
function formatShare(tokens: number, {bought}: CustomerLosses): string {
	return bought ? `${tokens} (${(tokens / bought * 100).toFixed(1)}%)` : String(tokens);
}

/** @internal */
function buildCustomerRows({customers}: LossReport): TableRow[] {
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
function buildOutcomeRows({outcomes}: LossReport): TableRow[] {
	return outcomes.slice(0, maxCustomersShown).map(item => ({
		customer: item.customer,
		requests: item.requests,
		served: item.served,
		'relative to all': item.relativeShare.toFixed(2),
		gateways: item.gateways,
		'most at one': `${(item.largestGatewayShare * 100).toFixed(0)}%`,
	}));
}

/** @internal */
function formatLossReport(report: LossReport, skipped: number): string {
	return [
		`Since ${report.since}; ${skipped} lines without an event were skipped`,
		formatTable(buildWindowRows(report)),
		'Not served:',
		formatTable(report.reasons.slice(0, maxReasonsShown).map(item => ({...item}))),
		'Customers, in tokens (short: number of requests with insufficient tokens; left with dead: granted to daemons that died, not known to be used):',
		formatTable(buildCustomerRows(report)),
		'Customers, in requests (relative to all: share served, divided by that of all customers; most at one: share that arrived at one gateway):',
		formatTable(buildOutcomeRows(report)),
		'Traffic, in bytes:',
		formatTable(report.traffic.map(({kind, crossDomainBytes, localBytes}) => ({kind, 'between domains': crossDomainBytes, 'within a domain': localBytes}))),
	].join('\n\n');
}

/** `fireflylane losses` */
export const lossesCommand = command({
	name: 'losses',
	description: 'Report where requests and tokens were lost, from the logs of several daemons; contacts no daemon',
	args: {
		files: restPositionals({type: string, displayName: 'FILE', description: 'log files of gateways; - or none reads the standard input'}),
		window: option({
			long: 'window', type: number, defaultValue: () => defaultWindowSeconds, description: 'length of the time window that a row covers, in seconds',
		}),
		json: flag({long: 'json', description: 'print one JSON document'}),
		plot: option({long: 'plot', type: optional(string), description: 'also write a chart to this SVG file'}),
	},
	async handler({files, window: windowSeconds, json, plot: plotFile}) {
		if (!(windowSeconds > 0)) {
			process.stderr.write('--window must be a number of seconds greater than 0\n');
			process.exitCode = 1;
			return;
		}

		const logs = (files.length === 0 ? ['-'] : files).map(file => parseLogAndCountSkipped(readFileSync(file === '-' ? 0 : file, 'utf8')));
		const skipped = logs.reduce((sum, log) => sum + log.skipped, 0);
		const report = buildLossReport(logs.flatMap(({lines}) => lines), {windowSeconds});
		process.stdout.write(`${json ? JSON.stringify({...report, skipped}) : formatLossReport(report, skipped)}\n`);
		if (plotFile !== undefined) {
			writeFileSync(plotFile, await renderLossPlot(report));
		}
	},
});
