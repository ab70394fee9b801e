/**
 * Asks the log for every request. For a proof without its guard.
 *
 * @module
 */
import {LogFirstGrantPolicy} from '../../../src/coordination/grant-policy.js';

export * from '../../../src/coordination/grant-policy.js';

export class AheadGrantPolicy extends LogFirstGrantPolicy {}
