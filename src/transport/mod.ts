/**
 * Sockets, servers and clients; knows no budgets. Calls only the protocol
 * layer.
 *
 * @module
 */
export * from './bound.js';
export * from './caller-server.js';
export * from './clock.js';
export * from './connection-register.js';
export * from './datagram-socket.js';
export * from './engine-client.js';
export * from './fleet-client.js';
export * from './fleet-server.js';
export * from './host-list-client.js';
export * from './http-server.js';
export * from './log-client.js';
export * from './probe-address.js';
export * from './service-client.js';
export * from './upstream-client.js';
