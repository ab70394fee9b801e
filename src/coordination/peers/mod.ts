/**
 * Membership of the fleet and what its daemons tell each other.
 *
 * @module
 */
export * from './enrolment.js';
export * from './gossip.js';
export * from './gossip-codec.js';
export * from './gossip-rate.js';
export * from './gossip-receivers.js';
export * from './load-codec.js';
export * from './membership.js';
export * from './peer-catch-up.js';
export * from './rendezvous.js';
