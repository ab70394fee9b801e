/**
 * The software version that began a stream. What two versions write does not fit
 * together, so only upstreams of the same version may continue the stream.
 *
 * @module
 */
import type {UpstreamRegistration} from '../protocol/mod.js';
import type {KnownStart} from './upstream-starts.js';

/** Which upstreams may continue a stream that has begun. */
export type StreamOrigin = {
	/** Service of the upstream that sent the first event. */
	readonly service: string;
	/** Version of that upstream's software; undefined if unknown, so that no upstream may continue the stream. */
	readonly softwareVersion: string | undefined;
	/** Start whose registration names the version; undefined once it is certain that no later start began the stream. */
	readonly start?: KnownStart | undefined;
};

/**
 * Returns true if an upstream may run a request: any upstream if the request
 * continues no stream, otherwise those of the service and version that began it.
 *
 * @example
 * ```ts
 * isFitFor(upstream, {service: 'model', softwareVersion: 'v1.1'});
 * ```
 *
 * @param upstream The upstream
 * @param origin What began the stream; undefined before its first event
 * @returns True if the upstream may run the request
 */
export function isFitFor(upstream: Pick<UpstreamRegistration, 'service' | 'softwareVersion'>, origin: StreamOrigin | undefined): boolean {
	return origin === undefined
		|| (origin.softwareVersion !== undefined && upstream.softwareVersion === origin.softwareVersion && upstream.service === origin.service);
}
