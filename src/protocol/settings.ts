/**
 * The settings of a daemon.
 *
 * @module
 */
import {isIP} from 'node:net';
import * as z from 'zod';
import {sizeSchema, spanSchema} from './units.js';

const addressSchema = z.strictObject({
	/** An IP number. */
	host: z.string().refine(host => isIP(host) !== 0, 'Give an IP number; names are not resolved').default('127.0.0.1'),
	/** 0 lets the system choose. */
	port: z.number().int().min(0).max(65_535),
});

const urlSchema = z.url({protocol: /^https?$/, error: 'Give an http or https address'});

const secretSchema = z.union([
	z.strictObject({file: z.string().min(1)}),
	z.strictObject({environment: z.string().min(1)}),
], 'Name the source of the secret: "file" or "environment"');

const shared = {
	/** The daemon's name, unique in the fleet and kept when its host is replaced. */
	id: z.string().regex(/^[a-z\d][a-z\d-]{0,63}$/, 'Use 1 to 64 lower-case letters, digits or dashes'),
	failureDomain: z.string().min(1),
	fleetKey: secretSchema,
	operatorKey: secretSchema,
	log: z.strictObject({
		url: urlSchema,
		stream: z.string().regex(/^[a-z\d-]+$/).default('fleet'),
		/** How long an append or read may take. */
		timeout: spanSchema.default(3000),
		/** A snapshot is appended after this many records. */
		snapshotEvery: z.number().int().positive().default(2000),
		/** How long receipts and runs stay known; longer than any retry. */
		window: spanSchema.default(3_600_000),
	}),
	hostList: z.strictObject({url: urlSchema, every: spanSchema.default(1000)}).optional(),
	/** Where peers reach this daemon, when that is not where it listens. */
	advertise: z.string().regex(/^[\d.:[\]a-f]+:\d+$/, 'Give an IP number and a port').optional(),
	/** Peers to ask when the log is away at the start: IP number and port. */
	peers: z.array(z.string().regex(/^[\d.:[\]a-f]+:\d+$/, 'Give an IP number and a port')).default([]),
	heartbeat: z.strictObject({
		every: spanSchema.default(500),
		/** A peer that is silent for this long is suspected. */
		suspectAfter: spanSchema.default(3000),
	}).prefault({}),
	/** How long a stop may wait for running requests. */
	stopWithin: spanSchema.default(60_000),
};

/** Schema of an entry daemon's settings. */
export const entrySettingsSchema = z.strictObject({
	role: z.literal('entry'),
	...shared,
	listen: z.strictObject({callers: addressSchema, operators: addressSchema, peers: addressSchema}),
	requests: z.strictObject({
		/** Largest body of a caller's request. */
		largestBody: sizeSchema.default(1_048_576),
		/** Deadline of a request that names none. */
		deadline: spanSchema.default(60_000),
		longestDeadline: spanSchema.default(600_000),
		/** Retries as a share of requests. */
		retryShare: z.number().min(0).max(1).default(0.2),
	}).prefault({}),
	grants: z.strictObject({
		/** Demand that a grant should cover, for budgets that weigh refusals. */
		horizon: spanSchema.default(3_600_000),
		/** The same for budgets that weigh overspend. */
		shortHorizon: spanSchema.default(300_000),
		every: spanSchema.default(250),
	}).prefault({}),
});

/** Schema of an upstream daemon's settings. */
export const upstreamSettingsSchema = z.strictObject({
	role: z.literal('upstream'),
	...shared,
	listen: z.strictObject({operators: addressSchema, peers: addressSchema}),
	upstream: z.strictObject({
		work: z.enum(['model', 'service']),
		url: urlSchema,
		/** Models or services behind this daemon. */
		serves: z.array(z.string()).min(1),
		/** Requests that run at once; more wait in a queue. */
		capacity: z.number().int().positive().default(64),
		/** Requests that may wait; more are refused. */
		queue: z.number().int().nonnegative().default(256),
		/** Silence after which the upstream's connection counts as lost. */
		silence: spanSchema.default(5000),
	}),
	/** Memory for finished answers. */
	answers: sizeSchema.default(33_554_432),
	receipts: z.strictObject({every: spanSchema.default(500)}).prefault({}),
});

/** Schema of a daemon's settings. */
export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, upstreamSettingsSchema]);

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type UpstreamSettings = z.infer<typeof upstreamSettingsSchema>;
export type Settings = z.infer<typeof settingsSchema>;
