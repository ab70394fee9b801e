/**
 * Grant policy that claims tokens from the log for each request instead of ahead.
 *
 * For proofs that run without the guard.
 *
 * @module
 */
import {LogFirstGrantPolicy} from '../../../src/coordination/budgets/grant-policy.js';

export * from '../../../src/coordination/budgets/grant-policy.js';

export class AheadGrantPolicy extends LogFirstGrantPolicy {}
