/**
 * Commands that only read: `status`, `budget`, `upstream`, `host`, `request`
 * and `metrics`.
 *
 * @module
 */
import {
	command, positional, string, subcommands,
} from 'cmd-ts';
import {sendOperatorRequest} from './operator-client.js';
import {printResult} from './print.js';
import {formatTable, type Cell, type TableRow} from './table.js';
import {buildTarget, targetOptions} from './target.js';

type JsonObject = Record<string, unknown>;

type ListCommandOptions = {
	readonly name: string;
	readonly description: string;
	readonly path: string;
	/** The field of the response that holds the rows. */
	readonly rowsField: string;
	readonly columns: readonly string[];
};

/** @internal */
function pickColumns(row: JsonObject, columns: readonly string[]): TableRow {
	return Object.fromEntries(columns.map(column => [column, formatCell(row[column])]));
}

/** @internal */
function formatCell(value: unknown): Cell {
	return typeof value === 'object' && value !== null ? JSON.stringify(value) : value as Cell;
}

/** @internal */
function formatObject(object: JsonObject): string {
	return formatTable(Object.entries(object).map(([field, value]) => ({member: field, value: formatCell(value)})));
}

/** @internal */
function createListCommand(options: ListCommandOptions) {
	return command({
		name: options.name,
		description: options.description,
		args: targetOptions,
		async handler(args) {
			const result = await sendOperatorRequest<Record<string, JsonObject[]>>(buildTarget(args), options.path);
			printResult(result, {json: args.json, format: document => formatTable((document[options.rowsField] ?? []).map(row => pickColumns(row, options.columns)))});
		},
	});
}

/** @internal */
function createShowCommand(options: {readonly description: string; readonly argumentName: string; readonly path: string}) {
	return command({
		name: 'show',
		description: options.description,
		args: {...targetOptions, id: positional({type: string, displayName: options.argumentName})},
		async handler(args) {
			const result = await sendOperatorRequest<JsonObject>(buildTarget(args), `${options.path}/${encodeURIComponent(args.id)}`);
			printResult(result, {json: args.json, format: formatObject});
		},
	});
}

/** `fireflylane status` */
export const statusCommand = command({
	name: 'status',
	description: 'Show the status of the daemon at --url: version, log, running requests',
	args: targetOptions,
	async handler(args) {
		printResult(await sendOperatorRequest<JsonObject>(buildTarget(args), '/v1/status'), {json: args.json, format: formatObject});
	},
});

/** `fireflylane budget` */
export const budgetCommand = subcommands({
	name: 'budget',
	description: 'Inspect prepaid budgets',
	cmds: {
		list: createListCommand({
			name: 'list', description: 'List budgets, with amounts in tokens', path: '/v1/budgets', rowsField: 'budgets',
			columns: ['id', 'customer', 'weighs', 'bought', 'billed', 'burnt', 'granted', 'remaining', 'locked'],
		}),
		show: createShowCommand({description: 'Show one budget', argumentName: 'BUDGET', path: '/v1/budgets'}),
	},
});

/** `fireflylane upstream` */
export const upstreamCommand = subcommands({
	name: 'upstream',
	description: 'Inspect upstream daemons',
	cmds: {
		list: createListCommand({
			name: 'list', description: 'List upstream daemons', path: '/v1/upstreams', rowsField: 'upstreams',
			columns: ['daemon', 'work', 'serves', 'failureDomain', 'isAlive', 'isLeaving', 'version', 'load'],
		}),
	},
});

/** `fireflylane host` */
export const hostCommand = subcommands({
	name: 'host',
	description: 'Inspect daemons and their hosts',
	cmds: {
		list: createListCommand({
			name: 'list', description: 'List daemons', path: '/v1/hosts', rowsField: 'hosts',
			columns: ['daemon', 'role', 'failureDomain', 'address', 'isAlive', 'isLeaving', 'version'],
		}),
	},
});

/** `fireflylane request` */
export const requestCommand = subcommands({
	name: 'request',
	description: 'Inspect what the log holds about a request',
	cmds: {show: createShowCommand({description: 'Show the bill and the executor of a request', argumentName: 'REQUEST', path: '/v1/requests'})},
});

/** `fireflylane metrics` */
export const metricsCommand = command({
	name: 'metrics',
	description: 'Show request counts and latency percentiles, in milliseconds, of one daemon for each customer and class',
	args: targetOptions,
	async handler(args) {
		const result = await sendOperatorRequest<{rows: Array<JsonObject & {first: JsonObject; total: JsonObject; gap: JsonObject}>}>(buildTarget(args), '/v1/metrics');
		printResult(result, {
			json: args.json,
			format: document => formatTable(document.rows.map(row => ({
				customer: formatCell(row.customer), class: formatCell(row.class), served: formatCell(row.served), tokens: formatCell(row.tokens), refused: formatCell(row.refused),
				firstP50: formatCell(row.first.p50), firstP95: formatCell(row.first.p95), firstP99: formatCell(row.first.p99), totalP99: formatCell(row.total.p99), gapP99: formatCell(row.gap.p99),
			}))),
		});
	},
});
