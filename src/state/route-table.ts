/**
 * Look-ups in one version of a deployment.
 *
 * @module
 */
import type {
	GatewayCustomer, Deployment, Route, GatewayService,
} from '../protocol/mod.js';

/** Look-ups in one version of a deployment. */
export type RouteTable = ReturnType<typeof createRouteTable>;

/** @internal */
function stripPort(host: string): string {
	return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Creates the look-ups of a deployment.
 *
 * @example
 * ```ts
 * const table = createRouteTable(deployment);
 * table.findRoute('beds.example', '/holds/7')?.id;
 * ```
 *
 * @param deployment One version of the deployment
 * @returns The look-ups
 */
export function createRouteTable(deployment: Deployment) {
	const byHost = new Map<string, Route[]>();
	for (const route of deployment.routes) {
		const host = route.host.toLowerCase();
		byHost.set(host, [...byHost.get(host) ?? [], route]);
	}

	for (const routes of byHost.values()) {
		routes.sort((left, right) => right.prefix.length - left.prefix.length);
	}

	const services = new Map<string, GatewayService>(deployment.services.map(service => [service.id, service]));
	const customers = new Map<string, GatewayCustomer>(deployment.customers?.map(customer => [customer.id, customer]));
	const byKey = new Map<string, GatewayCustomer>(deployment.customers?.flatMap(customer => customer.keys.map(key => [key, customer] as const)));

	return {
		deployment,
		version: deployment.version,
		/** Callers need keys on routes that are not open. */
		needsKeys: deployment.customers !== undefined,
		/** The route of a host with the longest prefix that begins the path. */
		findRoute(host: string, path: string): Route | undefined {
			return byHost.get(stripPort(host))?.find(route => path.startsWith(route.prefix));
		},

		findService: (id: string): GatewayService | undefined => services.get(id),
		findCustomer: (id: string): GatewayCustomer | undefined => customers.get(id),
		findCustomerByKey: (key: string): GatewayCustomer | undefined => byKey.get(key),
	};
}
