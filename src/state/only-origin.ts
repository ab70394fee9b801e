/**
 * The only origin that the streams of a route can have, from the histories of
 * routes and services.
 *
 * @module
 */
import type {StreamOrigin} from './stream-origin.js';
import type {ValueHistory} from './value-history.js';

/** The only origin of a route's streams, and since when, in milliseconds of the clock. */
export type OnlyOrigin = {readonly origin: StreamOrigin; readonly since: number};

/** Options of {@linkcode findOnlyOrigin}. */
export type FindOnlyOriginOptions = {
	/** The services of each route. */
	readonly routeHistory: Pick<ValueHistory, 'findOnly'>;
	/** The software versions of each service. */
	readonly versionHistory: Pick<ValueHistory, 'findOnly'>;
};

/**
 * Finds the only service of a route and the only software version of that
 * service.
 *
 * @example
 * ```ts
 * findOnlyOrigin('beds.example/letters/', {routeHistory, versionHistory})?.origin.softwareVersion; // 'v1'
 * ```
 *
 * @param routeKey The key of the route in its history
 * @param options The histories
 * @returns The origin, and since when both have been the only ones; undefined if there are several
 */
export function findOnlyOrigin(routeKey: string, {routeHistory, versionHistory}: FindOnlyOriginOptions): OnlyOrigin | undefined {
	const service = routeHistory.findOnly(routeKey);
	const version = service && versionHistory.findOnly(service.value);
	return service && version && {origin: {service: service.value, softwareVersion: version.value}, since: Math.max(service.since, version.since)};
}
