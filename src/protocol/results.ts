/**
 * Re-exports `ts-results`. Only this module imports it, because it is a CommonJS
 * package and Node.js does not detect its named exports.
 *
 * @module
 */
import results from 'ts-results';

export type {Result} from 'ts-results';

/* eslint-disable @typescript-eslint/naming-convention -- names defined by ts-results */
/** Creates a successful {@linkcode Result}. */
export const {Ok} = results;

/** Creates a failed {@linkcode Result}. */
export const {Err} = results;
/* eslint-enable @typescript-eslint/naming-convention */
