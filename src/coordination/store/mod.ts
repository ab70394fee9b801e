/**
 * Reading and appending the logs of the store.
 *
 * @module
 */
export * from './fenced-log.js';
export * from './intents.js';
export * from './keyed-follower.js';
export * from './log-follower.js';
export * from './log-writer.js';
export * from './order-sender.js';
export * from './receipt-reporter.js';
export * from './relayed-log.js';
export * from './snapshotter.js';
