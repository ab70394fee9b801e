/**
 * Replaces the routing policy with a baseline: lowest load in the last reports,
 * which may be outdated.
 *
 * @module
 */
export * from '../../src/coordination/upstreams/routing-policy.js';
export {LeastReportedRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/upstreams/routing-policy.js';
