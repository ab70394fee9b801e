/**
 * Quantities in settings carry their unit: `500ms`, `3s`, `64KB`.
 *
 * @module
 */
import * as z from 'zod';

const spanUnits: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, min: 60_000, h: 3_600_000,
};
const sizeUnits: Readonly<Record<string, number>> = {
	// eslint-disable-next-line @typescript-eslint/naming-convention
	B: 1, KB: 1024, MB: 1_048_576,
};
const quantityPattern = /^(\d+(?:\.\d+)?)([A-Za-z]+)$/;

/** @internal */
function parseQuantity(text: string, units: Readonly<Record<string, number>>): number | undefined {
	const match = quantityPattern.exec(text);
	const factor = units[match?.[2] ?? ''];
	return match && factor ? Number(match[1]) * factor : undefined;
}

/** @internal */
function createQuantitySchema(kind: string, units: Readonly<Record<string, number>>) {
	const names = Object.keys(units).join(', ');
	return z.union([z.string(), z.number()]).transform((value, context) => {
		const parsed = parseQuantity(String(value), units);
		if (parsed === undefined) {
			context.addIssue({code: 'custom', message: `Cannot read ${JSON.stringify(value)} as a ${kind}: write a number with one of the units ${names}`});
			return z.NEVER;
		}

		return parsed;
	});
}

/** Schema of a span of time, read into milliseconds. */
export const spanSchema = createQuantitySchema('span of time', spanUnits);

/** Schema of a size, read into bytes. */
export const sizeSchema = createQuantitySchema('size', sizeUnits);

/**
 * Reads a span of time.
 *
 * @example
 * ```ts
 * readSpan('2.5s'); // 2500
 * ```
 *
 * @param text A number with a unit
 * @returns Milliseconds, or undefined when the text is no span
 */
export function readSpan(text: string): number | undefined {
	return parseQuantity(text, spanUnits);
}
