/**
 * Test fleet of real processes, its clients and fakes, for the demo, the measurements, the proofs and the tests.
 *
 * @module
 */
export * from './caller.js';
export * from './fake-keyed-log.js';
export * from './fleet.js';
export * from './known-red.js';
export * from './process.js';
export * from './tcp-proxy.js';
export * from './unlimited-upstreams.js';
