/**
 * Parsing of quantities with a unit in settings, such as `500ms`, `3s` or `64KB`.
 *
 * @module
 */
import * as z from 'zod';

const durationUnits: Readonly<Record<string, number>> = {
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
			context.addIssue({code: 'custom', message: `Invalid value ${JSON.stringify(value)} for a ${kind}: expected a number with one of the units ${names}`});
			return z.NEVER;
		}

		return parsed;
	});
}

/** Schema of a duration, parsed to milliseconds. */
export const durationSchema = createQuantitySchema('duration', durationUnits);

/** Schema of a size, parsed to bytes. */
export const sizeSchema = createQuantitySchema('size', sizeUnits);

/**
 * Parses a duration.
 *
 * @example
 * ```ts
 * parseDuration('2.5s'); // 2500
 * ```
 *
 * @param text A number with a unit
 * @returns Milliseconds, or undefined if the text is not a duration
 */
export function parseDuration(text: string): number | undefined {
	return parseQuantity(text, durationUnits);
}
