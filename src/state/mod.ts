/**
 * State folded from the log, and state that one daemon keeps in memory. Depends
 * only on the protocol layer.
 *
 * @module
 */
export * from './configuration.js';
export * from './crash-registry.js';
export * from './evacuations.js';
export * from './fleet-state.js';
export * from './grant-holder.js';
export * from './customer-tokens.js';
export * from './grant-registry.js';
export * from './ledger.js';
export * from './only-origin.js';
export * from './part-crash-registry.js';
export * from './peer-views.js';
export * from './placement.js';
export * from './prompt-cache.js';
export * from './receipt-queue.js';
export * from './recorded-origins.js';
export * from './request-table.js';
export * from './route-table.js';
export * from './run-registry.js';
export * from './shares.js';
export * from './stream-origin.js';
export * from './stream-records.js';
export * from './token-account.js';
export * from './upstream-departures.js';
export * from './upstream-directory.js';
export * from './upstream-limits.js';
export * from './upstream-rests.js';
export * from './upstream-starts.js';
export * from './value-history.js';
