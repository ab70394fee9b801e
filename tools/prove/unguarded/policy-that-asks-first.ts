/**
 * Asks the log for every request. For a proof without its guard.
 *
 * @module
 */
export * from '../../../src/coordination/grant-policy.js';

import {LogFirstGrantPolicy} from '../../../src/coordination/grant-policy.js';

export class AheadGrantPolicy extends LogFirstGrantPolicy {}
