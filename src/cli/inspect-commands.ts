/**
 * Commands that look and change nothing.
 *
 * @module
 */
import {
	command, positional, string, subcommands,
} from 'cmd-ts';
import {askDaemon} from './operator-client.js';
import {printResult} from './print.js';
import {formatTable, type Cell, type TableRow} from './table.js';
import {buildTarget, targetOptions} from './target.js';

type Document = Record<string, unknown>;

type ListCommand = {
	readonly name: string;
	readonly description: string;
	readonly path: string;
	/** The member that holds the rows. */
	readonly member: string;
	readonly columns: readonly string[];
};

/** @internal */
function pickColumns(row: Document, columns: readonly string[]): TableRow {
	return Object.fromEntries(columns.map(column => [column, pickCell(row[column])]));
}

/** @internal */
function pickCell(value: unknown): Cell {
	return typeof value === 'object' && value !== null ? JSON.stringify(value) : value as Cell;
}

/** @internal */
function formatDocument(document: Document): string {
	return formatTable(Object.entries(document).map(([member, value]) => ({member, value: pickCell(value)})));
}

/** @internal */
function createListCommand(list: ListCommand) {
	return command({
		name: list.name,
		description: list.description,
		args: targetOptions,
		async handler(given) {
			const answer = await askDaemon<Record<string, Document[]>>(buildTarget(given), list.path);
			printResult(answer, {json: given.json, format: document => formatTable((document[list.member] ?? []).map(row => pickColumns(row, list.columns)))});
		},
	});
}

/** @internal */
function createShowCommand(options: {readonly description: string; readonly what: string; readonly path: string}) {
	return command({
		name: 'show',
		description: options.description,
		args: {...targetOptions, id: positional({type: string, displayName: options.what})},
		async handler(given) {
			const answer = await askDaemon<Document>(buildTarget(given), `${options.path}/${encodeURIComponent(given.id)}`);
			printResult(answer, {json: given.json, format: formatDocument});
		},
	});
}

/** `fireflylane status` */
export const statusCommand = command({
	name: 'status',
	description: 'Show the daemon that was asked: version, log, running requests',
	args: targetOptions,
	async handler(given) {
		printResult(await askDaemon<Document>(buildTarget(given), '/v1/status'), {json: given.json, format: formatDocument});
	},
});

/** `fireflylane budget` */
export const budgetCommand = subcommands({
	name: 'budget',
	description: 'Look at prepaid budgets',
	cmds: {
		list: createListCommand({
			name: 'list', description: 'List budgets; all amounts in tokens', path: '/v1/budgets', member: 'budgets',
			columns: ['id', 'customer', 'weighs', 'bought', 'billed', 'burnt', 'granted', 'remaining', 'locked'],
		}),
		show: createShowCommand({description: 'Show one budget', what: 'BUDGET', path: '/v1/budgets'}),
	},
});

/** `fireflylane upstream` */
export const upstreamCommand = subcommands({
	name: 'upstream',
	description: 'Look at upstream daemons',
	cmds: {
		list: createListCommand({
			name: 'list', description: 'List upstream daemons', path: '/v1/upstreams', member: 'upstreams',
			columns: ['daemon', 'work', 'serves', 'failureDomain', 'isAlive', 'isLeaving', 'version', 'load'],
		}),
	},
});

/** `fireflylane host` */
export const hostCommand = subcommands({
	name: 'host',
	description: 'Look at daemons and their hosts',
	cmds: {
		list: createListCommand({
			name: 'list', description: 'List daemons', path: '/v1/hosts', member: 'hosts',
			columns: ['daemon', 'role', 'failureDomain', 'address', 'isAlive', 'isLeaving', 'version'],
		}),
	},
});

/** `fireflylane request` */
export const requestCommand = subcommands({
	name: 'request',
	description: 'Look at what the log knows of a request',
	cmds: {show: createShowCommand({description: 'Show the bill and the executor of a request', what: 'REQUEST', path: '/v1/requests'})},
});

/** `fireflylane metrics` */
export const metricsCommand = command({
	name: 'metrics',
	description: 'Show histograms for each customer and class of one daemon, in milliseconds',
	args: targetOptions,
	async handler(given) {
		const answer = await askDaemon<{rows: Array<Document & {first: Document; total: Document; gap: Document}>}>(buildTarget(given), '/v1/metrics');
		printResult(answer, {
			json: given.json,
			format: document => formatTable(document.rows.map(row => ({
				customer: pickCell(row.customer), class: pickCell(row.class), served: pickCell(row.served), tokens: pickCell(row.tokens), refused: pickCell(row.refused),
				firstP50: pickCell(row.first.p50), firstP95: pickCell(row.first.p95), firstP99: pickCell(row.first.p99), totalP99: pickCell(row.total.p99), gapP99: pickCell(row.gap.p99),
			}))),
		});
	},
});
