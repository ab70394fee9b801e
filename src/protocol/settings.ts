/**
 * The settings of entry and upstream daemons.
 *
 * @module
 */
import {isIP} from 'node:net';
import * as z from 'zod';
import {durationSchema, sizeSchema} from './units.js';

const addressSchema = z.strictObject({
	/** An IP address. */
	host: z.string().refine(host => isIP(host) !== 0, 'Expected an IP address: host names are not resolved').default('127.0.0.1'),
	/** With 0, the operating system assigns a port. */
	port: z.number().int().min(0).max(65_535),
});

const urlSchema = z.url({protocol: /^https?$/, error: 'Expected an http or https URL'});

const secretSchema = z.union([
	z.strictObject({file: z.string().min(1)}),
	z.strictObject({environment: z.string().min(1)}),
], 'Expected the source of the secret: "file" or "environment"');

const commonSettings = {
	/** The daemon's name, which is unique in the fleet and stays the same when its host is replaced. */
	id: z.string().regex(/^[a-z\d][a-z\d-]{0,63}$/, 'Expected 1 to 64 lower-case letters, digits or dashes'),
	failureDomain: z.string().min(1),
	fleetKey: secretSchema,
	operatorKey: secretSchema,
	log: z.strictObject({
		url: urlSchema,
		stream: z.string().regex(/^[a-z\d-]+$/).default('fleet'),
		/** Maximum duration of an append or read. */
		timeout: durationSchema.default(3000),
		/** Number of records after which a snapshot is appended. */
		snapshotEvery: z.number().int().positive().default(2000),
		/** How long receipts and runs are remembered. Must be longer than any request is retried. */
		window: durationSchema.default(3_600_000),
	}),
	hostList: z.strictObject({url: urlSchema, every: durationSchema.default(1000)}).optional(),
	/** Address at which peers reach this daemon, if it differs from the listen address. */
	advertise: z.string().regex(/^[\d.:[\]a-f]+:\d+$/, 'Expected an IP address and a port').optional(),
	/** Peers to contact if the log is unavailable at startup, as IP address and port. */
	peers: z.array(z.string().regex(/^[\d.:[\]a-f]+:\d+$/, 'Expected an IP address and a port')).default([]),
	heartbeat: z.strictObject({
		every: durationSchema.default(500),
		/** Time without a response after which a peer is suspected. */
		suspectAfter: durationSchema.default(3000),
	}).prefault({}),
	/** Maximum time that a stop waits for running requests. */
	stopWithin: durationSchema.default(60_000),
};

/** Schema of an entry daemon's settings. */
export const entrySettingsSchema = z.strictObject({
	role: z.literal('entry'),
	...commonSettings,
	listen: z.strictObject({callers: addressSchema, operators: addressSchema, peers: addressSchema}),
	requests: z.strictObject({
		/** Maximum size of the body of a caller's request. */
		largestBody: sizeSchema.default(1_048_576),
		/** Default deadline, for requests that do not specify one. */
		deadline: durationSchema.default(60_000),
		longestDeadline: durationSchema.default(600_000),
		/** Maximum retries as a share of requests. */
		retryShare: z.number().min(0).max(1).default(0.2),
	}).prefault({}),
	grants: z.strictObject({
		/** Duration of demand that a grant should cover, for budgets with `weighs: refusals`. */
		horizon: durationSchema.default(3_600_000),
		/** The same for budgets with `weighs: overspend`. */
		shortHorizon: durationSchema.default(300_000),
		every: durationSchema.default(250),
	}).prefault({}),
});

/** Schema of an upstream daemon's settings. */
export const upstreamSettingsSchema = z.strictObject({
	role: z.literal('upstream'),
	...commonSettings,
	listen: z.strictObject({operators: addressSchema, peers: addressSchema}),
	upstream: z.strictObject({
		work: z.enum(['model', 'service']),
		url: urlSchema,
		/** Models or services that this daemon serves. */
		serves: z.array(z.string()).min(1),
		/** Maximum number of concurrent requests; further requests are queued. */
		capacity: z.number().int().positive().default(64),
		/** Maximum number of queued requests; further requests are refused. */
		queue: z.number().int().nonnegative().default(256),
		/** Time without data after which the connection to the upstream is considered broken. */
		silence: durationSchema.default(5000),
	}),
	/** Size of the memory for finished answers. */
	answers: sizeSchema.default(33_554_432),
	receipts: z.strictObject({every: durationSchema.default(500)}).prefault({}),
});

/** Schema of a daemon's settings. */
export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, upstreamSettingsSchema]);

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type UpstreamSettings = z.infer<typeof upstreamSettingsSchema>;
export type Settings = z.infer<typeof settingsSchema>;
