/**
 * How much a daemon accepts, what it measures, and when callers may retry.
 *
 * @module
 */
export * from './admission.js';
export * from './connection-admission.js';
export * from './connection-close-decision.js';
export * from './domain-load.js';
export * from './event-loop-monitor.js';
export * from './fair-shares.js';
export * from './fleet-retry-budgets.js';
export * from './hand-over-decision.js';
export * from './load-meter.js';
export * from './loop-meter.js';
export * from './metrics.js';
export * from './peer-breaker.js';
export * from './peer-room.js';
export * from './pressure-counter.js';
export * from './remaining-time.js';
export * from './retry-after-estimator.js';
export * from './retry-budget.js';
export * from './retry-schedule.js';
export * from './route-times.js';
export * from './rotation-decision.js';
export * from './start-admission.js';
export * from './traffic-counter.js';
export * from './work-queue.js';
