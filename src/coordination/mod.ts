/**
 * Coordination between daemons: log, grants, membership, routing, retries and
 * shutdown. Uses the state, transport and protocol layers.
 *
 * @module
 */
export * from './budgets/mod.js';
export * from './load/mod.js';
export * from './peers/mod.js';
export * from './quarantine/mod.js';
export * from './requests/mod.js';
export * from './store/mod.js';
export * from './streams/mod.js';
export * from './upstreams/mod.js';
