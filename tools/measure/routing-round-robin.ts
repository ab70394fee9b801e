/**
 * Puts a baseline in the place of the chosen routing policy: one upstream after the other.
 *
 * @module
 */
export * from '../../src/coordination/routing-policy.js';
export {RoundRobinRoutingPolicy as PrefixRoutingPolicy} from '../../src/coordination/routing-policy.js';
