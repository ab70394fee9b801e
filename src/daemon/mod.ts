/**
 * The daemon: interfaces to callers, operators and peers, and the wiring.
 *
 * @module
 */
export * from './core.js';
export * from './entry-daemon.js';
export * from './gateway-daemon.js';
export * from './gateway-state.js';
export * from './main.js';
export * from './relay-daemon.js';
export * from './relay-interface.js';
export * from './run-direct-daemon.js';
export * from './upstream-daemon.js';
