/**
 * The servers of a gateway for its load balancer and for its metrics.
 *
 * @module
 */
import type {EventLog, GatewaySettings} from '../protocol/mod.js';
import {startHttpServer, type ByteLimits} from '../transport/mod.js';
import {addQuarantineRoutes, type AddQuarantineRoutesOptions} from './quarantine-interface.js';
import {createSharedText} from './shared-text.js';

/** Options of {@linkcode startStatusServers}. */
export type StartStatusServersOptions = {
	/** Path at which the load balancer checks whether the gateway accepts connections. */
	readonly readinessPath: string;
	readonly isReady: () => boolean;
	/** Called with the answer to each readiness check. */
	readonly onReadinessCheck: (isReady: boolean) => void;
	readonly formatMetrics: (readinessResponses: number) => string;
	readonly quarantine: AddQuarantineRoutesOptions['quarantine'];
	readonly partQuarantine: AddQuarantineRoutesOptions['partQuarantine'];
	readonly events: EventLog;
	/** Account of requests. */
	readonly requestLimits: Pick<ByteLimits, 'openHolder'>;
};

/** Callers of these servers, load balancers and scrapers, have a connection or two each. */
const maxConnections = 64;

/** The running servers. */
export type StatusServers = Awaited<ReturnType<typeof startStatusServers>>;

/**
 * Starts the servers.
 *
 * @example
 * ```ts
 * const servers = await startStatusServers(settings, options);
 * servers.closeAllConnections();
 * ```
 *
 * @param settings The addresses and the operators' key
 * @param options What the servers report
 * @returns The running servers
 * @throws {Error} If a server cannot listen on its address
 */
export async function startStatusServers({listen, operatorKey}: GatewaySettings, options: StartStatusServersOptions) {
	const {quarantine, partQuarantine, events, requestLimits} = options;
	let readinessResponses = 0;
	const limits = {
		maxUnanswered: 1,
		requestLimits,
		maxConnections,
		onEvict() {
			events.write('connectionsEvicted', {reason: 'too-many', connections: 1});
		},
	};
	const readiness = await startHttpServer(listen.readiness, service => {
		service.get(options.readinessPath, (_request, response) => {
			readinessResponses += 1;
			const isReady = options.isReady();
			options.onReadinessCheck(isReady);
			response.statusCode = isReady ? 200 : 503;
			response.end();
		});
	}, limits);
	const getMetrics = createSharedText(() => options.formatMetrics(readinessResponses));
	const metrics = await startHttpServer(listen.metrics, service => {
		addQuarantineRoutes(service, {
			operatorKey, quarantine, partQuarantine, events,
		});
		service.get('/metrics', (_request, response) => {
			response.setHeader('content-type', 'text/plain; version=0.0.4');
			response.end(getMetrics());
		});
	}, limits);

	return {
		readinessUrl: readiness.url,
		metricsUrl: metrics.url,
		closeAllConnections(): void {
			readiness.closeAllConnections();
			metrics.closeAllConnections();
		},
	};
}
