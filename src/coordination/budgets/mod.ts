/**
 * Grants, loans and claims of tokens.
 *
 * @module
 */
export * from './budget-manager.js';
export * from './budget-owners.js';
export * from './grant-manager.js';
export * from './grant-policy.js';
export * from './grant-recovery.js';
export * from './grant-report-client.js';
export * from './grant-size.js';
export * from './grant-writer.js';
export * from './loan-ahead.js';
export * from './loan-calls.js';
export * from './loan-lender.js';
export * from './loan-manager.js';
export * from './loan-policy.js';
export * from './loan-returns.js';
export * from './loan-search.js';
export * from './loan-size.js';
export * from './loan-totals.js';
export * from './reclaimer.js';
export * from './recovery-decisions.js';
export * from './repayment-client.js';
export * from './settler.js';
export * from './token-borrower.js';
export * from './token-lending.js';
export type * from './token-loan.js';
