/**
 * Sockets, servers and clients. Independent of budgets; depends only on the
 * protocol layer.
 *
 * @module
 */
export * from './abort-signals.js';
export * from './backlog-drain.js';
export * from './byte-limits.js';
export * from './caller-relay.js';
export * from './caller-server.js';
export * from './clock.js';
export * from './connection-relay.js';
export * from './connection-tracker.js';
export * from './datagram-socket.js';
export * from './engine-client.js';
export * from './fleet-client.js';
export * from './fleet-server.js';
export * from './host-list-client.js';
export * from './http-server.js';
export * from './log-client.js';
export * from './pipeline-limit.js';
export * from './probe-address.js';
export * from './read-delay.js';
export * from './request-body.js';
export * from './service-client.js';
export * from './socket-counters.js';
export * from './upstream-client.js';
