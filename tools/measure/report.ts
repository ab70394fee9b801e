/**
 * Percentiles, rounding and printing of measurements.
 *
 * @module
 */
import process from 'node:process';

/**
 * Returns a percentile of a list of values.
 *
 * @example
 * ```ts
 * pickPercentile([1, 2, 3], 50); // 2
 * ```
 *
 * @param values In any order
 * @param percentile From 0 to 100
 * @returns The percentile, or 0 for an empty list
 */
export function pickPercentile(values: readonly number[], percentile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile / 100))] ?? 0;
}

/**
 * Rounds a number to a number of decimals.
 *
 * @example
 * ```ts
 * roundTo(1.2345, 2); // 1.23
 * ```
 *
 * @param value The number to round
 * @param decimals Number of decimals to keep
 * @returns The rounded value
 */
export function roundTo(value: number, decimals: number): number {
	return Number(value.toFixed(decimals));
}

/**
 * Prints a report as JSON or as a table.
 *
 * @example
 * ```ts
 * printReport({rows: []}, false);
 * ```
 *
 * @param report The results; of a report with `rows`, the table shows only these
 * @param asJson True for one JSON document instead of a table
 */
export function printReport(report: Record<string, unknown>, asJson: boolean): void {
	if (asJson) {
		process.stdout.write(`${JSON.stringify(report)}\n`);
		return;
	}

	console.table(report.rows ?? report);
}
