/**
 * What is folded from the log, and what one daemon keeps in memory. Calls
 * only the protocol layer.
 *
 * @module
 */
export * from './configuration.js';
export * from './crash-book.js';
export * from './fleet-state.js';
export * from './grant-book.js';
export * from './grant-holder.js';
export * from './ledger.js';
export * from './peer-views.js';
export * from './placement.js';
export * from './prompt-cache.js';
export * from './receipt-book.js';
export * from './request-table.js';
export * from './route-table.js';
export * from './run-register.js';
export * from './shares.js';
export * from './token-account.js';
export * from './upstream-directory.js';
