/**
 * A deployment as served by a gateway: routes, services, customers, limits on
 * callers, and the upstreams that serve each service.
 *
 * @module
 */
import {isIPv4, isIPv6} from 'node:net';
import * as z from 'zod';

/** IP address and port, an IPv6 address in brackets. Only one form of a port: two addresses of one process must be equal. */
const upstreamAddressPattern = /^(?:(?<host4>[\d.]+)|\[(?<host6>[\da-f:.]+)]):(?<port>[1-9]\d{0,4})$/i;
/** The ID of an upstream is sent in a header, which holds no control characters, and a log record has at most 255 bytes for it. */
const upstreamIdPattern = /^[\u0021-\u007E]{1,255}$/;
const maxPort = 65_535;
/** Each running request has a connection of its own, and an address has no more ports. */
const maxSlots = 65_536;
/** Warm-ups take seconds. One of more than a day is a time in another unit, and would keep the upstream cold for good. */
const maxWarmUpMs = 24 * 60 * 60 * 1000;
/** Names are written to log lines and to gossip, whose datagrams hold about 1300 bytes. */
const maxNameLength = 255;
const nameSchema = z.string().min(1).max(maxNameLength);

/** @internal */
function isUpstreamAddress(text: string): boolean {
	const {host4, host6, port} = upstreamAddressPattern.exec(text)?.groups ?? {};
	return (isIPv4(host4 ?? '') || isIPv6(host6 ?? '')) && Number(port) <= maxPort;
}

/**
 * Whether a request can be repeated: an `idempotent` request may run more than
 * once, a `once` request must not, and a `stream` may be resumed only if its
 * route allows it.
 */
export const routeKindSchema = z.enum(['idempotent', 'once', 'stream']);

/** A service that receives a share of a route's requests. */
export const routeTargetSchema = z.object({service: z.string(), weight: z.number().nonnegative()});

/** Schema of a route. */
export const routeSchema = z.object({
	id: z.string(),
	host: z.string(),
	/** Path prefix, with a leading and a trailing slash. */
	prefix: z.string(),
	kind: routeKindSchema,
	/** Maximum time that a caller waits for its answer, in milliseconds. */
	timeout: z.number().positive(),
	/** Latency objective for the answer, or for the first event of a stream, in milliseconds. */
	objective: z.number().positive(),
	/** 0 is the most urgent. */
	priority: z.number().int().nonnegative(),
	/** True if callers need no key. */
	isOpen: z.boolean(),
	/** Maximum number of upstreams that a request is sent to. */
	attempts: z.number().int().positive(),
	/** True if an interrupted stream may be resumed on another upstream. */
	isResumable: z.boolean(),
	targets: z.array(routeTargetSchema).min(1),
});

/** Schema of the capacity of a model engine, which is the same for all engines of a service. */
export const engineShapeSchema = z.object({
	/** Requests that the engine runs concurrently. */
	slots: z.number().int().positive(),
	/** Memory shared by running requests and cached prompts, in tokens. */
	memory: z.number().positive(),
	/** Maximum number of tokens in one event of a stream. */
	tokensPerEvent: z.number().int().positive(),
	/** True if an engine can fetch the cached part of a prompt from another engine. */
	canFetchPrompts: z.boolean().default(false),
});

/** Schema of how upstreams of a service start. */
export const coldStartSchema = z.object({
	/** Requests per second that an upstream tolerates while it is cold. */
	rate: z.number().positive(),
	/** Time for which an upstream is cold, in milliseconds. */
	duration: z.number().nonnegative(),
});

/** Schema of a service. */
export const gatewayServiceSchema = z.object({
	id: z.string(),
	/** Maximum number of connections that an upstream accepts in total. */
	connectionLimit: z.number().int().positive(),
	/** Set only for services of model engines. */
	engine: engineShapeSchema.optional(),
	/** Set only for services whose upstreams tolerate few requests while they are cold. */
	coldStart: coldStartSchema.optional(),
});

/** Schema of a customer. */
export const gatewayCustomerSchema = z.object({
	id: z.string(),
	keys: z.array(z.string()),
	/** Overrides the route's priority; defaults to the route's. */
	priority: z.number().int().nonnegative().optional(),
	/** Prepaid tokens; undefined for a customer without a budget. */
	bought: z.number().nonnegative().optional(),
});

/** Schema of the limits on caller requests and connections. */
export const callerLimitsSchema = z.object({
	/** Maximum size of the headers. */
	headerBytes: z.number().int().positive(),
	/** Maximum size of the body. */
	bodyBytes: z.number().int().positive(),
	/** Maximum time to receive the headers, in milliseconds. */
	headerTimeout: z.number().positive(),
	/** Maximum idle time of a connection, in milliseconds. */
	idleTimeout: z.number().positive(),
});

/** Schema of a deployment. */
export const deploymentSchema = z.object({
	/** Increases with each change. */
	version: z.number().int(),
	routes: z.array(routeSchema),
	services: z.array(gatewayServiceSchema),
	/** Undefined if callers need no keys. */
	customers: z.array(gatewayCustomerSchema).optional(),
	limits: callerLimitsSchema,
});

/** Schema of the registration that an upstream writes for itself. */
export const upstreamRegistrationSchema = z.object({
	/** Unique to one start of the upstream. */
	id: z.string().regex(upstreamIdPattern, 'Not 1 to 255 printable ASCII characters'),
	service: nameSchema,
	/** IP address and port. */
	address: z.string().refine(isUpstreamAddress, 'Not an IP address and a port from 1 to 65535'),
	failureDomain: nameSchema,
	slots: z.number().int().positive().max(maxSlots),
	isDraining: z.boolean(),
	/** Time after its start during which the upstream is slow, in milliseconds. */
	warmUp: z.number().nonnegative().max(maxWarmUpMs),
	/** Version of the upstream's software; undefined if it does not say. */
	softwareVersion: nameSchema.optional(),
	/** When it started, in milliseconds of Unix time by its own clock; undefined if it does not say. */
	startedAt: z.number().int().optional(),
	/** Increases with each renewal; undefined if it does not say. */
	sequence: z.number().int().optional(),
});

export type RouteKind = z.infer<typeof routeKindSchema>;
export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type Route = z.infer<typeof routeSchema>;
export type EngineShape = z.infer<typeof engineShapeSchema>;
export type GatewayService = z.infer<typeof gatewayServiceSchema>;
export type GatewayCustomer = z.infer<typeof gatewayCustomerSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Deployment = z.infer<typeof deploymentSchema>;
export type UpstreamRegistration = z.infer<typeof upstreamRegistrationSchema>;
