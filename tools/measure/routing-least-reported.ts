/**
 * Puts a baseline in the place of the chosen routing policy: the least load by lagging reports.
 *
 * @module
 */
export * from '../../src/coordination/routing-policy.js';
export {LeastReportedRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/routing-policy.js';
