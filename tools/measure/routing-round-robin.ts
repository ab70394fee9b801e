/**
 * Replaces the routing policy with a baseline: round-robin.
 *
 * @module
 */
export * from '../../src/coordination/routing-policy.js';
export {RoundRobinRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/routing-policy.js';
