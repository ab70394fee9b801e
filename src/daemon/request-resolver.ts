/**
 * Finds what a caller's request needs: its route, service and customer.
 *
 * @module
 */
import type {IncomingMessage} from 'node:http';
import {listPartKeys, type PartKey} from '../coordination/mod.js';
import {
	Err, Ok, createFailure, type Failure, type GatewayCustomer, type GatewayService, type GatewayWire, type RequestMetadata, type Result, type Route,
} from '../protocol/mod.js';
import type {RouteTable} from '../state/mod.js';

/** Options of {@linkcode resolveRequest}. */
export type ResolveRequestOptions = {
	readonly wire: Pick<GatewayWire, 'readRequest'>;
	/** The routes in force; undefined before the first deployment is known. */
	readonly table: RouteTable | undefined;
};

/** A request whose route, service and customer are known. */
export type ResolvedRequest = {
	readonly metadata: RequestMetadata;
	readonly route: Route;
	readonly service: GatewayService;
	readonly customer: GatewayCustomer | undefined;
	/** The parts of the prompt that other requests may contain too. */
	readonly parts: readonly PartKey[];
};

/** Retry delay for a caller of a gateway that has just started. */
export const notReadyRetryAfterMs = 1000;

/** @internal Picks a service by weight. The choice is derived from the request ID, so a repeated lookup returns the same service. */
function pickService(route: Route, id: string): string {
	const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
	let hash = 0;
	for (const character of id) {
		hash = ((hash * 31) + character.codePointAt(0)!) % 1_000_003;
	}

	let remainingWeight = (hash / 1_000_003) * total;
	for (const target of route.targets) {
		remainingWeight -= target.weight;
		if (remainingWeight < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)!.service;
}

/** @internal */
function identifyCustomer(table: RouteTable, route: Route, key: string | undefined): Result<GatewayCustomer | undefined, Failure> {
	const customer = key === undefined ? undefined : table.findCustomerByKey(key);
	const isAllowed = customer !== undefined || !table.shouldRequireKeys || route.isOpen;
	return isAllowed
		? Ok(customer)
		: Err(createFailure('unknown-key', 'The request contains no valid customer key'));
}

/**
 * Finds the route, service and customer of a request.
 *
 * @example
 * ```ts
 * resolveRequest(request, {wire, table: findRouteTable()});
 * ```
 *
 * @param request The request
 * @param options The header mapping, and the routes in force
 * @returns What the request needs, or why it is refused
 */
export function resolveRequest(request: Pick<IncomingMessage, 'headers' | 'url'>, {wire, table}: ResolveRequestOptions): Result<ResolvedRequest, Failure> {
	if (!table) {
		return Err(createFailure('not-ready', 'This gateway has no configuration yet', {retryAfterMs: notReadyRetryAfterMs}));
	}

	const metadata = wire.readRequest(request.headers);
	if (metadata.err) {
		return metadata;
	}

	const path = (request.url ?? '/').split('?', 1)[0]!;
	const route = table.findRoute(request.headers.host ?? '', path);
	if (!route) {
		return Err(createFailure('unknown-route', `No route matches host "${request.headers.host ?? ''}" and path "${path}"`));
	}

	const customer = identifyCustomer(table, route, metadata.val.key);
	if (customer.err) {
		return customer;
	}

	const id = pickService(route, metadata.val.id ?? '');
	const service = table.findService(id);
	return service
		? Ok({
			metadata: metadata.val, route, service, customer: customer.val, parts: listPartKeys(id, metadata.val.generation),
		})
		: Err(createFailure('no-upstream', `Service "${id}" is not configured`, {retryAfterMs: notReadyRetryAfterMs}));
}
