/**
 * Replaces the routing policy with a baseline: random choice.
 *
 * @module
 */
export * from '../../src/coordination/upstreams/routing-policy.js';
export {RandomRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/upstreams/routing-policy.js';
