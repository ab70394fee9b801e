/**
 * Puts a baseline in the place of the chosen routing policy: any upstream.
 *
 * @module
 */
export * from '../../src/coordination/routing-policy.js';
export {RandomRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/routing-policy.js';
