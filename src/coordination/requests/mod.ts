/**
 * Requests on their way to upstreams.
 *
 * @module
 */
export * from './attempt-runner.js';
export type * from './forward-types.js';
export * from './model-runner.js';
export * from './request-executor.js';
export * from './request-forwarder.js';
export * from './request-router.js';
export * from './retry-reservation.js';
export * from './service-runner.js';
export * from './upstream-sender.js';
