/**
 * Replaces the routing policy with a baseline: round-robin.
 *
 * @module
 */
export * from '../../src/coordination/upstreams/routing-policy.js';
export {RoundRobinRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/upstreams/routing-policy.js';
