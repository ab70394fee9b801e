/**
 * Replaces the routing policy with a baseline: random choice.
 *
 * @module
 */
export * from '../../src/coordination/routing-policy.js';
export {RandomRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/routing-policy.js';
