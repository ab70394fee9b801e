/**
 * The settings of daemons that reach upstreams directly: gateways and relays.
 *
 * @module
 */
import * as z from 'zod';

const addressSchema = z.object({host: z.string(), port: z.number().int().min(0).max(65_535)});

/** Schema of a gateway daemon's settings. */
export const gatewaySettingsSchema = z.object({
	role: z.literal('gateway'),
	/** The daemon's name, kept when its process restarts. */
	id: z.string().min(1),
	failureDomain: z.string().min(1),
	listen: z.object({
		callers: addressSchema,
		/** Where the balancer asks for readiness. */
		readiness: addressSchema,
		/** Where other gateways reach this one. */
		peers: addressSchema,
		/** Where it takes other gateways' datagrams. */
		news: addressSchema,
		/** Where metrics are read; port 0 lets the system choose. */
		metrics: addressSchema,
	}),
	/** Addresses of other gateways to ask first: IP number and port. */
	seeds: z.array(z.string()),
	/** Secret that gateways share; empty where the network between them is closed to others. */
	fleetKey: z.string().default(''),
	/** Secret of operators; empty where the address for metrics is closed to others. */
	operatorKey: z.string().default(''),
	/** The store's address: IP number and port. */
	store: z.string(),
	/** Pause between two renewals of an upstream's entry in the store, in milliseconds. */
	upstreamHeartbeat: z.number().positive(),
	/** Time that a stop may take before the process is killed, in milliseconds. */
	stopWithin: z.number().positive(),
	/** Repeated sends as a share of requests, fleet-wide. */
	retryShare: z.number().min(0).max(1),
	/** Repeated sends allowed beyond the share, fleet-wide, in any retry window. */
	retrySlack: z.number().nonnegative(),
});

/** Schema of a relay daemon's settings. */
export const relaySettingsSchema = z.object({
	role: z.literal('relay'),
	id: z.string().min(1),
	failureDomain: z.string().min(1),
	/** Where gateways reach it. */
	listen: addressSchema,
	fleetKey: z.string().default(''),
	/** The store's address: IP number and port. */
	store: z.string(),
});

/** Settings of either. */
export type DirectSettings = GatewaySettings | RelaySettings;
/** Settings of a relay daemon. */
export type RelaySettings = z.infer<typeof relaySettingsSchema>;
/** Settings of a gateway daemon. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
