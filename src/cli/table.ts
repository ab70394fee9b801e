/**
 * Formats tables as text.
 *
 * @module
 */

/** A cell of a table. */
export type Cell = string | number | boolean | undefined;

/** A row of a table: cells by column name. */
export type TableRow = Readonly<Record<string, Cell>>;

const columnSeparator = '  ';

/** @internal */
function formatCell(cell: Cell): string {
	if (typeof cell === 'boolean') {
		return cell ? 'yes' : 'no';
	}

	return cell === undefined ? '-' : String(cell);
}

/**
 * Formats rows as a table with a header line.
 *
 * @example
 * ```ts
 * formatTable([{budget: 'b1', tokens: 1000}]);
 * // budget  tokens
 * // b1      1000
 * ```
 *
 * @param rows The rows; the fields of the first one are the columns
 * @returns Lines of text
 */
export function formatTable(rows: readonly TableRow[]): string {
	const columns = Object.keys(rows[0] ?? {});
	if (columns.length === 0) {
		return '(none)';
	}

	const lines = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
	return lines.map(line => line.map((text, index) => text.padEnd(widths[index]!)).join(columnSeparator).trimEnd()).join('\n');
}
