/**
 * Real processes for the demo, the measurements and the proofs.
 *
 * @module
 */
export * from './caller.js';
export * from './fake-keyed-log.js';
export * from './fleet.js';
export * from './known-red.js';
export * from './process.js';
export * from './relay.js';
