/**
 * The settings of gateway and relay daemons. A gateway connects to upstreams
 * directly, without upstream daemons.
 *
 * @module
 */
import * as z from 'zod';

const addressSchema = z.object({host: z.string(), port: z.number().int().min(0).max(65_535)});

/** Schema of the capacity of a gateway's host; what is not named is not measured. */
const capacitySchema = z.object({
	/** Processor time per elapsed time. */
	processorCores: z.number().positive().optional(),
	memoryBytes: z.number().positive().optional(),
	/** Capacity of the network link in each direction. */
	linkBytesPerSecond: z.number().positive().optional(),
	/** Maximum number of open file descriptors. */
	descriptors: z.number().int().positive().optional(),
});

/** Schema of a gateway daemon's settings. */
export const gatewaySettingsSchema = z.object({
	role: z.literal('gateway'),
	/** The daemon's name, which stays the same when its process restarts. */
	id: z.string().min(1),
	failureDomain: z.string().min(1),
	listen: z.object({
		callers: addressSchema,
		/** Address of the readiness endpoint for the load balancer. */
		readiness: addressSchema,
		/** Address for requests from other gateways. */
		peers: addressSchema,
		/** Address for gossip datagrams from other gateways. */
		news: addressSchema,
		/** Address for connections that other gateways hand over; without it, none are taken. */
		handOver: addressSchema.optional(),
		/** Address of the metrics endpoint; with port 0 the operating system assigns a port. */
		metrics: addressSchema,
	}),
	/** Addresses of the gateways to contact first, as IP address and port. */
	seeds: z.array(z.string()),
	/** Secret shared by the gateways; may be empty if only they have access to the network between them. */
	fleetKey: z.string().default(''),
	/** Secret of the operators; may be empty if only they have access to the metrics address. */
	operatorKey: z.string().default(''),
	/** IP address and port of the store. */
	store: z.string(),
	/** Interval at which upstreams renew their registration in the store, in milliseconds. */
	upstreamHeartbeat: z.number().positive(),
	/** True if the whole fleet starts for the first time; a process that is restarted must not have it. */
	isFirstStart: z.boolean().default(false),
	/** True if streams of services whose engines state their slowness are placed by expected delay and memory, and not by cached prompts first. */
	shouldPlaceByDelay: z.boolean().default(false),
	/** Time for which an upstream that leaves still serves, in milliseconds. */
	upstreamDrain: z.number().positive().optional(),
	/** Time after which a stopping process is killed, in milliseconds. */
	stopWithin: z.number().positive(),
	/** Maximum retries as a share of requests, fleet-wide. */
	retryShare: z.number().min(0).max(1),
	/** Retries allowed in addition to the share in any retry window, fleet-wide. */
	retrySlack: z.number().nonnegative(),
	/** Maximum requests to a cold upstream in any second as a multiple of the rate that it tolerates, fleet-wide. */
	coldOverage: z.number().min(1).default(1),
	/** Requests to a cold upstream allowed in addition to that multiple in any second, fleet-wide. */
	coldSlack: z.number().nonnegative().default(0),
	/** Number of unanswered requests of a caller's connection at which no further ones are read. Read at the start. */
	maxUnansweredRequests: z.number().int().positive().default(8),
	/** Without it, only the lag of the event loop counts as overload. Read at the start. */
	capacity: capacitySchema.optional(),
});

/** Schema of a relay daemon's settings. */
export const relaySettingsSchema = z.object({
	role: z.literal('relay'),
	id: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Address for requests from gateways. */
	listen: addressSchema,
	fleetKey: z.string().default(''),
	/** IP address and port of the store. */
	store: z.string(),
});

/** Settings of a gateway or relay daemon. */
export type GatewayOrRelaySettings = GatewaySettings | RelaySettings;
/** Settings of a relay daemon. */
export type RelaySettings = z.infer<typeof relaySettingsSchema>;
/** Settings of a gateway daemon. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
