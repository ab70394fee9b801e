/**
 * Percentiles and the way a measurement is printed.
 *
 * @module
 */
import process from 'node:process';

/**
 * Picks a percentile.
 *
 * @example
 * ```ts
 * pickPercentile([1, 2, 3], 50); // 2
 * ```
 *
 * @param values In any order
 * @param percentile 0 to 100
 * @returns The value, or 0 for none
 */
export function pickPercentile(values: readonly number[], percentile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile / 100))] ?? 0;
}

/**
 * Rounds to a number of decimals.
 *
 * @example
 * ```ts
 * roundTo(1.2345, 2); // 1.23
 * ```
 *
 * @param value The value
 * @param decimals Decimals kept
 * @returns The rounded value
 */
export function roundTo(value: number, decimals: number): number {
	return Number(value.toFixed(decimals));
}

/**
 * Prints a document, as JSON or as a table.
 *
 * @example
 * ```ts
 * printDocument({rows: []}, false);
 * ```
 *
 * @param document What was measured
 * @param isJson One JSON document instead of a table
 */
export function printDocument(document: Record<string, unknown>, isJson: boolean): void {
	if (isJson) {
		process.stdout.write(`${JSON.stringify(document)}\n`);
		return;
	}

	console.table(document.rows ?? document);
}
