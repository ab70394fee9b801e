/**
 * The protocols between daemons, callers, operators and the log: schemas,
 * generated messages, failures and events. This is the lowest layer and imports
 * no other.
 *
 * @module
 */
export * from './addresses.js';
export * from './changes.js';
export * from './chat.js';
export * from './deployment.js';
export * from './event-catalogue.js';
export * from './event-log.js';
export * from './failures.js';
export * from './gateway-settings.js';
export type * from './gateway-wire.js';
export * from './gen/fleet_pb.js';
export type * from './keyed-log.js';
export * from './line-log.js';
export * from './read-settings.js';
export * from './records.js';
export * from './request-id.js';
export * from './results.js';
export * from './settings.js';
export * from './units.js';
