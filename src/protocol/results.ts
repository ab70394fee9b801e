/**
 * The one place that imports `ts-results`, a CommonJS package whose names
 * Node.js cannot bind from an ES module.
 *
 * @module
 */
import results from 'ts-results';

export type {Result} from 'ts-results';

/* eslint-disable @typescript-eslint/naming-convention -- the names that ts-results gives them */
/** Builds a successful {@linkcode Result}. */
export const {Ok} = results;

/** Builds a failed {@linkcode Result}. */
export const {Err} = results;
/* eslint-enable @typescript-eslint/naming-convention */
