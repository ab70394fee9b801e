/**
 * Look-up of routes, services and customers in one version of a deployment.
 *
 * @module
 */
import type {
	GatewayCustomer, Deployment, Route, GatewayService,
} from '../protocol/mod.js';

/** Look-up tables of one version of a deployment. */
export type RouteTable = ReturnType<typeof createRouteTable>;

/** @internal */
function stripPort(host: string): string {
	return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Creates the look-up tables of a deployment.
 *
 * @example
 * ```ts
 * const table = createRouteTable(deployment);
 * table.findRoute('beds.example', '/holds/7')?.id;
 * ```
 *
 * @param deployment One version of the deployment
 * @returns The look-up tables
 */
export function createRouteTable(deployment: Deployment) {
	const routesByHost = new Map<string, Route[]>();
	for (const route of deployment.routes) {
		const host = route.host.toLowerCase();
		routesByHost.set(host, [...routesByHost.get(host) ?? [], route]);
	}

	for (const routes of routesByHost.values()) {
		routes.sort((left, right) => right.prefix.length - left.prefix.length);
	}

	const services = new Map<string, GatewayService>(deployment.services.map(service => [service.id, service]));
	const customers = new Map<string, GatewayCustomer>(deployment.customers?.map(customer => [customer.id, customer]));
	const customersByKey = new Map<string, GatewayCustomer>(deployment.customers?.flatMap(customer => customer.keys.map(key => [key, customer] as const)));

	let shortestObjective = Number.POSITIVE_INFINITY;
	for (const {objective} of deployment.routes) {
		shortestObjective = Math.min(shortestObjective, objective);
	}

	return {
		deployment,
		version: deployment.version,
		/** The shortest latency objective of all routes, in milliseconds; infinite if there are no routes. */
		shortestObjective,
		/** True if callers need keys on routes that are not open. */
		shouldRequireKeys: deployment.customers !== undefined,
		/** Returns the host's route with the longest prefix of the path. */
		findRoute(host: string, path: string): Route | undefined {
			return routesByHost.get(stripPort(host))?.find(route => path.startsWith(route.prefix));
		},

		findService: (id: string): GatewayService | undefined => services.get(id),
		findCustomer: (id: string): GatewayCustomer | undefined => customers.get(id),
		findCustomerByKey: (key: string): GatewayCustomer | undefined => customersByKey.get(key),
	};
}
