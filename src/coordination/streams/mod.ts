/**
 * Answers of upstreams on their way to callers, and the origins of streams.
 *
 * @module
 */
export * from './answer-relay.js';
export * from './event-splitter.js';
export * from './origin-recorder.js';
export * from './stall-timeout.js';
export * from './origin-codec.js';
export * from './start-checker.js';
export * from './stream-query-client.js';
export * from './stream-recorder.js';
export * from './stream-resolver.js';
export * from './stream-witnesses.js';
