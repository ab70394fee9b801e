/**
 * Least-squares line through measured points.
 *
 * @module
 */

/** A line and its largest error. */
export type FittedLine = {
	/** Growth per unit of size. */
	readonly slope: number;
	readonly intercept: number;
	/** Largest vertical distance of a point from the line, as a share of the point's value. */
	readonly fitError: number;
};

/** @internal */
function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

/**
 * Fits a line by least squares.
 *
 * @example
 * ```ts
 * fitLine([[1, 3], [2, 5], [3, 7]]); // slope 2, intercept 1
 * ```
 *
 * @param points Pairs of size and value
 * @returns The line
 */
export function fitLine(points: ReadonlyArray<readonly [number, number]>): FittedLine {
	const count = points.length;
	const meanX = sum(points.map(([x]) => x)) / count;
	const meanY = sum(points.map(([, y]) => y)) / count;
	const covariance = sum(points.map(([x, y]) => (x - meanX) * (y - meanY)));
	const variance = sum(points.map(([x]) => (x - meanX) ** 2));
	const slope = covariance / variance;
	const intercept = meanY - (slope * meanX);
	const errors = points.map(([x, y]) => Math.abs(y - (intercept + (slope * x))) / Math.max(Math.abs(y), Number.EPSILON));
	return {slope: Number(slope.toPrecision(4)), intercept: Number(intercept.toPrecision(4)), fitError: Number(Math.max(...errors).toFixed(3))};
}
