/**
 * Requests and parts of prompts that crash upstreams.
 *
 * @module
 */
export * from './crash-detector.js';
export * from './logged-crashes.js';
export * from './part-announcements.js';
export * from './part-blame.js';
export * from './part-keys.js';
export * from './part-quarantine.js';
export * from './part-trials.js';
export * from './quarantine.js';
export * from './quarantine-recorder.js';
