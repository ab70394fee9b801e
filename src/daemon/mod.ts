/**
 * The daemons: their interfaces for callers, operators and peers, and their assembly.
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
export * from './run-gateway-or-relay.js';
export * from './upstream-daemon.js';
