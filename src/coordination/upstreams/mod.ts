/**
 * Which upstream may get a request, and which one does.
 *
 * @module
 */
export * from './cold-admission.js';
export * from './engine-memory.js';
export * from './engine-speed.js';
export * from './expiry-grace.js';
export * from './limit-admission.js';
export * from './limit-recorder.js';
export * from './notice-recorder.js';
export * from './outdated-view.js';
export * from './placement-policy.js';
export * from './prompt-source.js';
export * from './request-placement.js';
export * from './route-registry.js';
export * from './routing-policy.js';
export * from './send-window.js';
export * from './share-policy.js';
export * from './stream-cost.js';
export * from './stream-placement-policy.js';
export * from './start-report-client.js';
export * from './upstream-eligibility.js';
export * from './upstream-registry.js';
export * from './urgency.js';
