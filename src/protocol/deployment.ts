/**
 * A deployment as a gateway serves it: routes, services, customers and the
 * limits on callers, and the upstreams that stand behind a service.
 *
 * @module
 */
import * as z from 'zod';

/**
 * What may be repeated: an `idempotent` request may run more than once, a
 * `once` request may not, and a `stream` may only be resumed where its route
 * says so.
 */
export const routeKindSchema = z.enum(['idempotent', 'once', 'stream']);

/** A service that gets a share of a route's requests. */
export const routeTargetSchema = z.object({service: z.string(), weight: z.number().nonnegative()});

/** Schema of a route. */
export const routeSchema = z.object({
	id: z.string(),
	host: z.string(),
	/** Beginning of the path, with a slash at both ends. */
	prefix: z.string(),
	kind: routeKindSchema,
	/** Longest time a caller may be kept waiting, in milliseconds. */
	timeout: z.number().positive(),
	/** Time within which an answer, or the first event of a stream, is on time, in milliseconds. */
	objective: z.number().positive(),
	/** 0 is the most urgent. */
	priority: z.number().int().nonnegative(),
	/** Callers need no key. */
	isOpen: z.boolean(),
	/** Upstreams that one request may be sent to. */
	attempts: z.number().int().positive(),
	/** A broken stream may be resumed at another upstream. */
	isResumable: z.boolean(),
	targets: z.array(routeTargetSchema).min(1),
});

/** Schema of a model engine's shape, the same for all engines of a service. */
export const engineShapeSchema = z.object({
	/** Requests that run at once. */
	slots: z.number().int().positive(),
	/** Tokens that running requests and cached prompts share. */
	memory: z.number().positive(),
	/** Most tokens that one event of a stream holds. */
	tokensPerEvent: z.number().int().positive(),
});

/** Schema of a service. */
export const gatewayServiceSchema = z.object({
	id: z.string(),
	/** Connections that one upstream accepts from all callers together. */
	connectionLimit: z.number().int().positive(),
	/** Set for model engines. */
	engine: engineShapeSchema.optional(),
});

/** Schema of a customer. */
export const gatewayCustomerSchema = z.object({
	id: z.string(),
	keys: z.array(z.string()),
	/** Goes before the route's priority; default the route's. */
	priority: z.number().int().nonnegative().optional(),
	/** Tokens bought; undefined for a customer without a budget. */
	bought: z.number().nonnegative().optional(),
});

/** Schema of the limits on what a caller may send. */
export const callerLimitsSchema = z.object({
	/** Bytes. */
	headerBytes: z.number().int().positive(),
	/** Bytes. */
	bodyBytes: z.number().int().positive(),
	/** Milliseconds within which the headers must be in. */
	headerTimeout: z.number().positive(),
	/** Milliseconds that a connection may stay idle. */
	idleTimeout: z.number().positive(),
});

/** Schema of a deployment. */
export const deploymentSchema = z.object({
	/** Rises with each change. */
	version: z.number().int(),
	routes: z.array(routeSchema),
	services: z.array(gatewayServiceSchema),
	/** Undefined where callers need no keys. */
	customers: z.array(gatewayCustomerSchema).optional(),
	limits: callerLimitsSchema,
});

/** Schema of an upstream as it registered itself. */
export const upstreamEntrySchema = z.object({
	/** Names one start of the upstream. */
	id: z.string(),
	service: z.string(),
	/** IP number and port. */
	address: z.string(),
	failureDomain: z.string(),
	slots: z.number().int().positive(),
	isDraining: z.boolean(),
	/** Milliseconds for which it stays slow after its start. */
	warmUp: z.number().nonnegative(),
});

export type RouteKind = z.infer<typeof routeKindSchema>;
export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type Route = z.infer<typeof routeSchema>;
export type EngineShape = z.infer<typeof engineShapeSchema>;
export type GatewayService = z.infer<typeof gatewayServiceSchema>;
export type GatewayCustomer = z.infer<typeof gatewayCustomerSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Deployment = z.infer<typeof deploymentSchema>;
export type UpstreamEntry = z.infer<typeof upstreamEntrySchema>;
